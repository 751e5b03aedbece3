"""Choice of the target for a request."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from attrs import frozen

from berylnotch.entry.targets import Target
from berylnotch.placement.mixing import mix

#: Shared prompt tokens from which it pays to send requests to the engine that
#: holds them: reading so many takes longer than an engine's usual step.
MIN_HOME_TOKENS = 1024

#: Cost of a request that is under way at an engine, in ms: what each adds to the
#: steps of the others.
LOAD_MS = 6.0

#: Cost of an engine that does not hold a shared prompt, in ms for 1,000 tokens,
#: when another engine hands it over.
FETCH_MS_PER_K = 3.0

#: Cost of running on weights older than the newest named, in ms.
OLD_WEIGHTS_MS = 400.0

#: Cost of another failure domain, in ms: the longer way.
DOMAIN_MS = 1.5


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
    allows_old : bool
        Whether older weights may still be used.
    shared_id : str
        Identity of the shared part of the prompt, empty if there is none.
    shared_tokens : int
        Tokens of it.
    failure_domain : str
        Where the router is.
    excluded : collection of str
        Targets that must not be chosen.
    """

    now: float
    model: str = ""
    wanted_version: int = 0
    allows_old: bool = True
    shared_id: str = ""
    shared_tokens: int = 0
    failure_domain: str = ""
    excluded: Collection[str] = ()

    @property
    def has_home(self) -> bool:
        """Whether the request belongs to the engine that holds its prompt."""
        return bool(self.shared_id) and self.shared_tokens >= MIN_HOME_TOKENS


@frozen
class Choice:
    """A chosen target, and the target that probably holds the shared prompt.

    ``home`` is None if the chosen one is the home, or the request has none.
    """

    target: Target
    home: Target | None


def choose(targets: Iterable[Target], placing: Placing) -> Choice | None:
    """Return the cheapest usable target, or None.

    A long shared prompt has an order of engines that every router computes alike,
    so each part of the traffic keeps to few engines without any exchange. Engines
    that are away for a moment keep their place in it. The load moves requests to
    the next engine, which takes the cache entries from the first.
    """
    listed = [t for t in targets if not t.listed.is_leaving]
    usable = [t for t in listed if _is_candidate(t, placing)]
    if not usable:
        return None
    if not placing.has_home:
        best = min(usable, key=lambda t: (_cost_ms(t, placing), mix(t.target_id, "")))
        return Choice(best, None)
    order = sorted(usable, key=lambda t: mix(t.target_id, placing.shared_id))
    home = order[0]
    miss_ms = FETCH_MS_PER_K * placing.shared_tokens / 1000

    def cost_ms(target: Target) -> float:
        return _cost_ms(target, placing) + (0.0 if target is home else miss_ms)

    best = min(order, key=cost_ms)
    return Choice(best, None if best is home else home)


def _is_candidate(target: Target, placing: Placing) -> bool:
    if target.target_id in placing.excluded or not target.is_usable(placing.now):
        return False
    if not placing.model:
        return True
    version = target.version(placing.model)
    if version is None:
        return False
    return placing.allows_old or version >= placing.wanted_version


def _cost_ms(target: Target, placing: Placing) -> float:
    cost = LOAD_MS * target.load
    if placing.model and (target.version(placing.model) or 0) < placing.wanted_version:
        cost += OLD_WEIGHTS_MS
    if not placing.model:
        # A plain target queues what exceeds its slots.
        over = target.load - max(1, target.listed.slots)
        cost += max(0, over + 1) * 10 * LOAD_MS
    if target.listed.failure_domain != placing.failure_domain:
        cost += DOMAIN_MS
    if target.ejection.failures:
        cost += 5 * LOAD_MS * target.ejection.failures
    return cost
