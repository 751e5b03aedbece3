"""Choice of the target for a request.

It answers this load: long prompts that share an opening, mixed with many short
ones. An engine reads one prompt after the other, so a long prompt that it does not
hold delays all that comes after; and its memory holds few openings.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from attrs import frozen

from berylnotch.entry.prompts import Holding
from berylnotch.entry.targets import Target
from berylnotch.placement.mixing import mix

#: Shared prompt tokens from which it pays to send requests to the engine that
#: holds them: reading so many takes longer than an engine's usual step.
MIN_HOME_TOKENS = 1024

#: Prompt tokens that an engine reads in a ms, by the users' sheet of engines.
READ_TOKENS_PER_MS = 60.0

#: Prompt tokens in a ms that one engine takes over from another.
FETCH_TOKENS_PER_MS = 1500.0

#: Prompt tokens in a ms that an engine takes from a store.
STORE_TOKENS_PER_MS = 100.0

#: Cost of a request that is under way at an engine, in ms: what each adds to the
#: steps of the others.
LOAD_MS = 5.0

#: Cost of an engine that does not hold the shared prompt, beside its transfer, in
#: ms: the copy displaces another prompt.
COPY_MS = 80.0

#: Advantage, in ms, of the engine that all routers compute as home of a prompt
#: which none holds.
HOME_MS = 80.0

#: Cost of running on weights older than the newest named, in ms.
OLD_WEIGHTS_MS = 400.0

#: Cost of another failure domain, in ms: the longer way.
DOMAIN_MS = 1.5

#: Cost of a failure in a row at a target, in ms.
FAILURE_MS = 30.0

#: Cost of a target that fails each request, in ms; one that fails some costs a part.
ALWAYS_FAILS_MS = 400.0

#: Cost of a request beyond the slots of a plain target, in ms: it waits for one.
QUEUED_MS = 60.0


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
    prompt_tokens : int
        Tokens of the whole prompt.
    failure_domain : str
        Where the router is.
    excluded : collection of str
        Targets that must not be chosen.
    holding : callable
        Tells whether a target probably holds the shared part.
    is_saved : callable
        Tells whether a store probably holds it, for use by a target.
    """

    now: float
    model: str = ""
    wanted_version: int = 0
    allows_old: bool = True
    shared_id: str = ""
    shared_tokens: int = 0
    prompt_tokens: int = 0
    failure_domain: str = ""
    excluded: Collection[str] = ()
    holding: Callable[[Target], Holding] = lambda target: Holding.NONE
    is_saved: Callable[[Target], bool] = lambda target: False

    @property
    def has_home(self) -> bool:
        """Whether the request belongs to an engine that holds its prompt."""
        return bool(self.shared_id) and self.shared_tokens >= MIN_HOME_TOKENS


@frozen
class Choice:
    """A chosen target.

    Parameters
    ----------
    target : Target
        Where the request goes.
    source : Target or None
        Engine from which it takes the shared part, if it does not hold it and a
        ready one does.
    unread : int
        Prompt tokens that it probably has to read.
    """

    target: Target
    source: Target | None = None
    unread: int = 0


def choose(targets: Iterable[Target], placing: Placing) -> Choice | None:
    """Return the target with the least expected delay, or None.

    A long shared prompt that no engine holds goes to an engine that every router
    computes alike, so that it is read once. Later requests follow it, and the
    queue of unread prompts moves them on to other engines, which copy it.
    """
    usable = [t for t in targets if _is_candidate(t, placing)]
    if not usable:
        return None
    if not placing.has_home:
        best = min(usable, key=lambda t: (_queue_ms(t, placing), mix(t.target_id, "")))
        return Choice(best, unread=placing.prompt_tokens)
    home = min(usable, key=lambda t: mix(t.target_id, placing.shared_id))
    held = {t.target_id: placing.holding(t) for t in usable}
    holders = [t for t in usable if held[t.target_id] is Holding.READY]
    choices = [_price(t, placing, home, holders, held[t.target_id]) for t in usable]
    return min(choices, key=lambda priced: (priced[0], priced[1].target is not home))[1]


def usable_in_s(targets: Iterable[Target], placing: Placing) -> float | None:
    """Return seconds until the first target may be usable, None if unknown."""
    times = [
        target.usable_at(placing.now)
        for target in targets
        if not target.is_leaving and target.target_id not in placing.excluded
    ]
    if not times:
        return None
    return max(0.0, min(times) - placing.now)


def _price(
    target: Target,
    placing: Placing,
    home: Target,
    holders: list[Target],
    holding: Holding,
) -> tuple[float, Choice]:
    """Return the expected delay at a target, in ms, and how it gets the prompt."""
    own = max(0, placing.prompt_tokens - placing.shared_tokens)
    cost = _queue_ms(target, placing) + own / READ_TOKENS_PER_MS
    if holding is not Holding.NONE:
        # What it still reads of the shared part is in its queue already.
        return cost, Choice(target, unread=own)
    version = target.version(placing.model)
    source = next((t for t in holders if t.version(placing.model) == version), None)
    if source is not None:
        cost += COPY_MS + placing.shared_tokens / FETCH_TOKENS_PER_MS
        return cost, Choice(target, source=source, unread=own)
    if target is home:
        cost -= HOME_MS
    if placing.is_saved(target):
        cost += placing.shared_tokens / STORE_TOKENS_PER_MS
        return cost, Choice(target, unread=own)
    cost += placing.shared_tokens / READ_TOKENS_PER_MS
    return cost, Choice(target, unread=placing.prompt_tokens)


def _is_candidate(target: Target, placing: Placing) -> bool:
    if target.target_id in placing.excluded or not target.is_usable(placing.now):
        return False
    if not placing.model:
        return True
    version = target.version(placing.model)
    if version is None:
        return False
    return placing.allows_old or version >= placing.wanted_version


def _queue_ms(target: Target, placing: Placing) -> float:
    """Return the expected delay at a target before it reads the prompt, in ms."""
    cost = FAILURE_MS * target.ejection.failures
    cost += ALWAYS_FAILS_MS * target.failure_rate
    if target.listed.failure_domain != placing.failure_domain:
        cost += DOMAIN_MS
    if not placing.model:
        over = target.load + 1 - max(1, target.listed.slots)
        cost += 1000 * target.latency_s
        return cost + LOAD_MS * target.load + QUEUED_MS * max(0, over)
    cost += LOAD_MS * target.load + target.total_unread / READ_TOKENS_PER_MS
    if (target.version(placing.model) or 0) < placing.wanted_version:
        cost += OLD_WEIGHTS_MS
    return cost
