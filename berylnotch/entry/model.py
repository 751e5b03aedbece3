"""Provides the classes for the inputs and the result of the choice of a target."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from attrs import field, frozen

from berylnotch.entry.targets import Target
from berylnotch.placement.cache_model import NO_CACHED_LEVELS, CachedLevels
from berylnotch.placement.chains import EMPTY_CHAIN, PrefixChain
from berylnotch.placement.costs import EngineCosts


@frozen
class ChoiceInputs:
    """Inputs of the choice of a target for one request.

    Parameters
    ----------
    now : float
        Boot time, in seconds.
    model : str
        Model of the request, empty for plain services.
    wanted_version : int
        Newest announced version of the model's weights.
    outdated_s : callable
        Returns the seconds since a version newer than its argument was announced.
    fresh_s : float
        Longest time, in seconds, after a newer version was announced during which older
        weights have no extra cost.
    stale_s : float
        Time, in seconds, after a newer version was announced from which no request may
        begin on older weights.
    target_latency_s : float
        Time within which the first event should arrive, in seconds; 0 if the route
        has no target latency.
    chain : PrefixChain
        Shared prefixes of the prompt.
    prompt_tokens : int
        Number of tokens of the whole prompt.
    queue_share : float
        Fraction of an engine's queue that is processed before the request. Engines
        admit urgent requests before the others.
    max_overshoot_ms : float
        Longest recent time, in ms, by which first events arrived later than expected.
    failure_domain : str
        Failure domain of the router.
    excluded : collection of str
        Identities of the targets that must not be chosen.
    sample : int
        Number of targets to compare, 0 for all. Load reports from other routers are
        some tenths of a second old. If each of many routers compared all targets, all
        of them would choose the same best target at the same time.
    draw : callable
        Returns a random integer from 0 up to, but not including, its argument.
    cached_levels : callable
        Returns the levels of the chain that a target probably holds.
    holders : callable
        Returns the targets that probably hold or are processing a level of the chain.
    stored_levels : callable
        Returns the number of levels that a store probably holds for the weights of a
        target.
    max_silence_s : float
        Time in seconds without any answer after which a target that was ejected for
        late answers counts as failed.
    ring_walk : callable or None
        Returns the targets in their order on the consistent-hash ring, beginning at the
        position of a key. The order is the same at all routers. With None the hashes of
        the targets are compared.
    weights_samples : callable
        Returns one target for each set of weights that is in use.
    software_version : str or None
        Software version that the target must have, because it began the stream; empty
        if that version is unknown, None if any version may serve the request.
    is_permitted : callable or None
        Returns whether a rollout lets the request use a target; None without a limit.
    is_preferred_source : callable or None
        Returns whether a target is a source of cached prefixes before the other
        permitted ones, also if it is not permitted itself; None without a limit.
    costs : EngineCosts
        Processing and transfer costs of the engines.
    usual_latency_s : float
        Mean answer time of a plain service, in seconds; 0 if it is unknown.
    """

    now: float
    model: str = ""
    wanted_version: int = 0
    outdated_s: Callable[[int], float] = lambda version: 0.0
    fresh_s: float = 0.0
    stale_s: float = float("inf")
    target_latency_s: float = 0.0
    chain: PrefixChain = EMPTY_CHAIN
    prompt_tokens: int = 0
    queue_share: float = 1.0
    max_overshoot_ms: float = 0.0
    failure_domain: str = ""
    excluded: Collection[str] = ()
    max_silence_s: float = float("inf")
    sample: int = 0
    draw: Callable[[int], int] = lambda count: 0
    cached_levels: Callable[[Target], CachedLevels] = lambda target: NO_CACHED_LEVELS
    holders: Callable[[], Collection[Target]] = lambda: ()
    stored_levels: Callable[[Target], int] = lambda target: 0
    ring_walk: Callable[[str], Iterator[Target]] | None = None
    weights_samples: Callable[[], Collection[Target]] = lambda: ()
    software_version: str | None = None
    is_permitted: Callable[[Target], bool] | None = None
    is_preferred_source: Callable[[Target], bool] | None = None
    costs: EngineCosts = field(factory=EngineCosts)
    usual_latency_s: float = 0.0


@frozen
class Choice:
    """A target with its expected delay and the plan for the prompt.

    Parameters
    ----------
    target : Target
        Target that the request is sent to.
    delay_ms : float
        Expected time, in ms, until the target has processed the prompt or, for a plain
        target, has responded.
    queue_ms : float
        Time, in ms, that the target needs for the prompts queued there, if no urgent
        request overtakes them. The request waits for a fraction of this time.
    drawback_ms : float
        Disadvantages of the target other than the delay, expressed in ms.
    source : Target or None
        Engine from which the target copies the prefix that it does not hold.
    uncached_tokens : int
        Prompt tokens that the target probably has to process.
    copied_tokens : int
        Shared tokens that the target copies from another engine.
    reprocessed_tokens : int
        Shared tokens that the target processes although another engine holds or is
        processing them.
    speed_factor : float
        Factor of the target's speed in ``delay_ms`` and ``queue_ms``.
    """

    target: Target
    delay_ms: float
    queue_ms: float = 0.0
    drawback_ms: float = 0.0
    source: Target | None = None
    uncached_tokens: int = 0
    copied_tokens: int = 0
    reprocessed_tokens: int = 0
    speed_factor: float = 1.0
