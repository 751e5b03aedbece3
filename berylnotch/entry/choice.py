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

#: Prompt tokens that an engine reads in one step, by the users' sheet of engines.
CHUNK_TOKENS = 1024

#: Time to read that many, in ms, by the same sheet.
CHUNK_MS = 17.0

#: Time of a step beside what it reads, in ms, and for each request that runs in it,
#: by the same sheet.
STEP_MS = 4.5
STEP_REQUEST_MS = 0.18

#: Prompt tokens in a ms that one engine takes over from another.
FETCH_TOKENS_PER_MS = 1500.0

#: Prompt tokens in a ms that an engine takes from a store.
STORE_TOKENS_PER_MS = 100.0

#: Cost of a request that is under way at an engine, in ms: what each adds to the
#: steps of the others.
LOAD_MS = 5.0

#: Cost of a copy of a shared prompt, beside its transfer, in ms: it displaces another
#: prompt.
COPY_MS = 80.0

#: Part of the queue of unread prompts that an urgent request waits for; engines
#: admit it before the others.
URGENT_PART = 0.3

#: Cost, in ms for 1,000 tokens, of reading a shared prompt that another engine has
#: read or reads: it takes the time of that many other prompts.
READ_AGAIN_MS_PER_K = 240.0

#: Advantage, in ms, of the engine that all routers compute as home of a prompt
#: which none holds.
HOME_MS = 80.0

#: Cost of running on weights older than the newest named, in ms.
OLD_WEIGHTS_MS = 400.0

#: Cost of an answer that comes after its target latency, in ms: three times that of
#: older weights, as a late answer is worth so much less.
LATE_MS = 1200.0

#: Part of the target latency up to which an answer is surely in time.
SURELY_IN_TIME = 0.5

#: Cost of another failure domain, in ms: the longer way.
DOMAIN_MS = 1.5

#: Cost of a failure in a row at a target, in ms.
FAILURE_MS = 30.0

#: Cost of a target that fails each request, in ms; one that fails some costs a part.
ALWAYS_FAILS_MS = 400.0

#: Random draws for each target of a sample, before all targets are looked at: with
#: half of them usable, one sample in a thousand is not complete by then.
DRAWS_PER_SAMPLE = 6

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
    outdated_s : callable
        Returns for how long there is a newer version than a given one, in seconds.
    fresh_s : float
        Such a time up to which the older weights are as good.
    stale_s : float
        Such a time from which the older weights are not used any more.
    target_latency_s : float
        Time in which the first event should come.
    shared_id : str
        Identity of the shared part of the prompt, empty if there is none.
    shared_tokens : int
        Tokens of it.
    prompt_tokens : int
        Tokens of the whole prompt.
    is_urgent : bool
        Whether engines admit the request before most others.
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
    holding : callable
        Tells whether a target probably holds the shared part.
    is_saved : callable
        Tells whether a store probably holds it, for use by a target.
    """

    now: float
    model: str = ""
    wanted_version: int = 0
    outdated_s: Callable[[int], float] = lambda version: 0.0
    fresh_s: float = 0.0
    stale_s: float = float("inf")
    target_latency_s: float = 0.0
    shared_id: str = ""
    shared_tokens: int = 0
    prompt_tokens: int = 0
    is_urgent: bool = False
    failure_domain: str = ""
    excluded: Collection[str] = ()
    sample: int = 0
    draw: Callable[[int], int] = lambda count: 0
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
    is_cold : bool
        Whether it has to read the shared part as well.
    delay_ms : float
        Expected time until it has read the prompt.
    """

    target: Target
    delay_ms: float
    source: Target | None = None
    unread: int = 0
    is_cold: bool = False


def choose(targets: Collection[Target], placing: Placing) -> Choice | None:
    """Return the target with the least expected delay, or None.

    A long shared prompt that no engine holds goes to an engine that every router
    computes alike, so that it is read once. Later requests follow it, and the
    queue of unread prompts moves them on to other engines, which copy it.
    """
    targets = list(targets)
    if not placing.has_home:
        return _choose_anywhere(targets, placing)
    usable = _usable(targets, placing)
    if not usable:
        return None
    home = min(usable, key=lambda t: mix(t.target_id, placing.shared_id))
    holders = _Holders(targets, placing)
    if placing.sample:
        usable.sort(key=lambda t: mix(t.target_id, placing.shared_id))
        usable = usable[: placing.sample] + [
            t
            for t in usable[placing.sample :]
            if holders.holding(t) is not Holding.NONE
        ]
    choices = [_price(t, placing, holders) for t in usable]

    def cost_ms(choice: Choice) -> float:
        cost = _worth_ms(choice, placing)
        if holders.holding(choice.target) is not Holding.NONE:
            return cost
        if choice.source is not None:
            return cost + COPY_MS
        if choice.is_cold and holders.is_known(choice.target):
            cost += READ_AGAIN_MS_PER_K * placing.shared_tokens / 1000
        return cost - HOME_MS if choice.target is home else cost

    return min(choices, key=lambda c: (cost_ms(c), c.target is not home))


def _choose_anywhere(targets: list[Target], placing: Placing) -> Choice | None:
    """Return the best target for a request that belongs to no engine, or None."""
    usable = _drawn(targets, placing)
    unread = placing.prompt_tokens
    choices = [
        Choice(t, _queue_ms(t, placing) + _read_ms(t, unread), unread=unread)
        for t in usable
    ]
    return min(
        choices,
        key=lambda c: (_worth_ms(c, placing), mix(c.target.target_id, "")),
        default=None,
    )


def _usable(targets: list[Target], placing: Placing) -> list[Target]:
    """Return the candidates, without those to avoid if there are others."""
    usable = [t for t in targets if _is_candidate(t, placing)]
    return [t for t in usable if not t.is_avoided(placing.now)] or usable


def _drawn(targets: list[Target], placing: Placing) -> list[Target]:
    """Return the usable targets, or a random sample of them if one is asked for.

    Most targets are usable, so a few draws do without a look at all of them.
    """
    if not placing.sample or len(targets) <= placing.sample:
        return _usable(targets, placing)
    drawn: dict[int, Target] = {}
    for _ in range(DRAWS_PER_SAMPLE * placing.sample):
        position = placing.draw(len(targets))
        target = targets[position]
        if _is_candidate(target, placing) and not target.is_avoided(placing.now):
            drawn[position] = target
            if len(drawn) == placing.sample:
                return list(drawn.values())
    left = _usable(targets, placing)
    count = min(placing.sample, len(left))
    return [left.pop(placing.draw(len(left))) for _ in range(count)]


class _Holders:
    """Which targets hold a shared prompt, by what the router knows."""

    def __init__(self, targets: list[Target], placing: Placing) -> None:
        self._model = placing.model
        self._now = placing.now
        self._held = {t.target_id: placing.holding(t) for t in targets}
        self._holders = [t for t in targets if self.holding(t) is not Holding.NONE]

    def holding(self, target: Target) -> Holding:
        """Return whether a target holds the prompt."""
        return self._held[target.target_id]

    def is_known(self, target: Target) -> bool:
        """Tell whether an engine with the same weights holds or reads the prompt."""
        version = target.version(self._model)
        return any(t.version(self._model) == version for t in self._holders)

    def source(self, target: Target) -> Target | None:
        """Return an engine from which a target may take the prompt over."""
        version = target.version(self._model)
        for holder in self._holders:
            is_ready = self.holding(holder) is Holding.READY
            if is_ready and holder.version(self._model) == version:
                if not holder.is_loading and not holder.ejection.blocks(self._now):
                    return holder
        return None


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


def _price(target: Target, placing: Placing, holders: _Holders) -> Choice:
    """Return the expected delay at a target, and how it gets the prompt."""
    own = max(0, placing.prompt_tokens - placing.shared_tokens)
    delay = _queue_ms(target, placing) + _read_ms(target, own)
    if holders.holding(target) is not Holding.NONE:
        # What it still reads of the shared part is in its queue already.
        return Choice(target, delay, unread=own)
    source = holders.source(target)
    if source is not None:
        delay += placing.shared_tokens / FETCH_TOKENS_PER_MS
        return Choice(target, delay, source=source, unread=own)
    if placing.is_saved(target):
        delay += placing.shared_tokens / STORE_TOKENS_PER_MS
        return Choice(target, delay, unread=own)
    delay += _read_ms(target, placing.shared_tokens)
    return Choice(target, delay, unread=placing.prompt_tokens, is_cold=True)


def _read_ms(target: Target, tokens: int) -> float:
    """Return the time in which an engine reads so many prompt tokens."""
    step_ms = CHUNK_MS + STEP_MS + STEP_REQUEST_MS * target.load
    return tokens / CHUNK_TOKENS * step_ms


def _is_candidate(target: Target, placing: Placing) -> bool:
    if target.target_id in placing.excluded or not target.is_usable(placing.now):
        return False
    if not placing.model:
        return True
    version = target.version(placing.model)
    if version is None:
        return False
    return placing.outdated_s(version) < placing.stale_s


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
    queue_ms = _read_ms(target, target.total_unread)
    cost += LOAD_MS * target.load
    cost += URGENT_PART * queue_ms if placing.is_urgent else queue_ms
    return cost


def _worth_ms(choice: Choice, placing: Placing) -> float:
    """Return the delay of a choice, and what it loses in worth as a delay, in ms."""
    cost = choice.delay_ms
    if not placing.model:
        return cost
    version = choice.target.version(placing.model) or 0
    if placing.outdated_s(version) > placing.fresh_s:
        cost += OLD_WEIGHTS_MS
    latency_ms = 1000 * placing.target_latency_s
    if latency_ms:
        over = (choice.delay_ms / latency_ms - SURELY_IN_TIME) / (1 - SURELY_IN_TIME)
        cost += LATE_MS * min(1.0, max(0.0, over))
    return cost
