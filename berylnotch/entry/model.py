"""What a choice of a target goes by, and what it gives."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

from attrs import field, frozen

from berylnotch.entry.targets import Target
from berylnotch.placement.chains import NO_CHAIN, Chain
from berylnotch.placement.costs import EngineCosts
from berylnotch.placement.mirror import NO_RUN, Run


@frozen
class Placing:
    """What a choice goes by.

    Parameters
    ----------
    now : float
        Boot time.
    model : str
        Model of the request, empty for plain services.
    wanted_version : int
        Newest named version of the model's weights.
    outdated_s : callable
        Returns for how long there is a newer version than a given one, in seconds.
    fresh_s : float
        Such a time up to which the older weights are as good.
    stale_s : float
        Such a time from which no request may begin on the older weights.
    target_latency_s : float
        Time in which the first event should come.
    chain : Chain
        What the prompt shares with others.
    prompt_tokens : int
        Tokens of the whole prompt.
    wait_part : float
        Part of the queue at an engine that the request waits for; engines admit urgent
        ones before the others.
    overshoot_ms : float
        Time by which first events came later than expected, at worst.
    failure_domain : str
        Where the router is.
    excluded : collection of str
        Targets that must not be chosen.
    sample : int
        Targets that are compared, 0 for all. With many routers, whose knowledge of
        each other is some tenths of a second old, all would choose the same best
        one at the same time.
    draw : callable
        Returns a random number below a given one.
    run : callable
        Returns the levels of the chain that a target probably holds.
    holders : callable
        Returns the targets that may hold a level or read it.
    saved : callable
        Returns how many levels a store probably holds, for use by a target.
    walk : callable or None
        Returns the targets in the order that a key decides, alike at all routers;
        None to compare their hashes.
    weights_samples : callable
        Returns a target for each set of weights that is in use.
    costs : EngineCosts
        Times of the engines.
    """

    now: float
    model: str = ""
    wanted_version: int = 0
    outdated_s: Callable[[int], float] = lambda version: 0.0
    fresh_s: float = 0.0
    stale_s: float = float("inf")
    target_latency_s: float = 0.0
    chain: Chain = NO_CHAIN
    prompt_tokens: int = 0
    wait_part: float = 1.0
    overshoot_ms: float = 0.0
    failure_domain: str = ""
    excluded: Collection[str] = ()
    sample: int = 0
    draw: Callable[[int], int] = lambda count: 0
    run: Callable[[Target], Run] = lambda target: NO_RUN
    holders: Callable[[], Collection[Target]] = lambda: ()
    saved: Callable[[Target], int] = lambda target: 0
    walk: Callable[[str], Iterator[Target]] | None = None
    weights_samples: Callable[[], Collection[Target]] = lambda: ()
    costs: EngineCosts = field(factory=EngineCosts)


@frozen
class Choice:
    """A chosen target.

    Parameters
    ----------
    target : Target
        Where the request goes.
    delay_ms : float
        Expected time until it has read the prompt.
    queue_ms : float
        Part of it that prompts before this one take, if nothing goes before them.
    drawback_ms : float
        What speaks against the target beside the delay, as a delay.
    source : Target or None
        Engine from which it takes what it does not hold, if a ready one does.
    unread : int
        Prompt tokens that it probably has to read.
    copied : int
        Shared tokens that it takes over from another engine.
    read_again : int
        Shared tokens that it reads though another engine holds them.
    """

    target: Target
    delay_ms: float
    queue_ms: float = 0.0
    drawback_ms: float = 0.0
    source: Target | None = None
    unread: int = 0
    copied: int = 0
    read_again: int = 0
