"""Choice of the target for a request.

It answers this load: long prompts that share beginnings as the branches of a tree do,
mixed with many short ones. An engine reads one prompt after the other, so a long
prompt of which it holds little delays all that comes after; and its memory holds few.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Iterator
from itertools import islice
from typing import Any

from attrs import field, frozen

from berylnotch.entry.targets import Target
from berylnotch.placement.chains import NO_CHAIN, Chain
from berylnotch.placement.costs import EngineCosts
from berylnotch.placement.mirror import NO_RUN, Run
from berylnotch.placement.mixing import mix

#: Cost of a request that is under way at an engine, in ms: what each adds to the
#: steps of the others.
LOAD_MS = 5.0

#: Cost of a copy, beside its transfer, in ms for 1,000 tokens: it displaces another
#: prompt.
COPY_MS_PER_K = 6.0

#: Cost, in ms for 1,000 tokens, of reading a shared prompt that another engine has
#: read or reads: it takes the time of that many other prompts.
READ_AGAIN_MS_PER_K = 240.0

#: Advantage, in ms, of the engine that all routers compute as home of a prompt
#: which none holds.
HOME_MS = 80.0

#: Shared tokens of a short prompt from which it has a home too, and the advantage of
#: that, as a multiple of the time to read them.
MIN_AFFINITY_TOKENS = 128
AFFINITY_FACTOR = 2.0

#: Engines that hold a part of a prompt and are compared for it, at the most.
MAX_HOLDERS = 12

#: Multiple of the expected delay after which a request has surely begun.
BEGIN_FACTOR = 1.5

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
    failure_domain: str = ""
    excluded: Collection[str] = ()
    sample: int = 0
    draw: Callable[[int], int] = lambda count: 0
    run: Callable[[Target], Run] = lambda target: NO_RUN
    holders: Callable[[], Collection[Target]] = lambda: ()
    saved: Callable[[Target], int] = lambda target: 0
    walk: Callable[[str], Iterator[Target]] | None = None
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


def choose(targets: Collection[Target], placing: Placing) -> Choice | None:
    """Return the target with the least expected delay, or None.

    A long prompt that no engine holds goes to an engine that every router computes
    alike, so that it is read once. Later requests follow the longest run of its parts,
    and the queue of unread prompts moves them on to other engines, which copy it.
    """
    if not placing.chain.has_home:
        return _choose_anywhere(targets, placing)
    home, usable = _near(targets, placing)
    holders = _Holders(usable, placing)
    choices = [_price(t, placing, holders) for t in usable]
    choices = [c for c in choices if _begins_in_time(c, placing)]

    def cost_ms(choice: Choice) -> float:
        cost = _worth_ms(choice, placing) + COPY_MS_PER_K * choice.copied / 1000
        cost += READ_AGAIN_MS_PER_K * choice.read_again / 1000
        is_first = choice.target is home and choice.unread > holders.own_tokens
        return cost - HOME_MS if is_first else cost

    return min(choices, key=lambda c: (cost_ms(c), c.target is not home), default=None)


def _near(
    targets: Collection[Target], placing: Placing
) -> tuple[Target | None, list[Target]]:
    """Return the home of a prompt, and the targets to compare for it.

    With many routers these are a sample that the prompt decides, the engines that hold
    a part of it, and a random sample, which takes a copy while those are busy.
    """
    path = placing.chain.path
    if not placing.sample or placing.walk is None:
        usable = _usable(targets, placing)
        if placing.sample:
            usable.sort(key=lambda t: mix(t.target_id, path))
            held = [t for t in usable[placing.sample :] if placing.run(t).coming]
            usable = usable[: placing.sample] + held
        home = min(usable, key=lambda t: mix(t.target_id, path), default=None)
        return home, usable
    fit = (t for t in placing.walk(path) if _is_free(t, placing))
    near = list(islice(fit, placing.sample))
    home = near[0] if near else None
    known = {t.target_id for t in near}
    held = [
        t
        for t in placing.holders()
        if t.target_id not in known and _is_free(t, placing)
    ]
    known.update(t.target_id for t in held)
    drawn = [t for t in _drawn(targets, placing) if t.target_id not in known]
    return home, near + held + drawn


def _choose_anywhere(targets: Collection[Target], placing: Placing) -> Choice | None:
    """Return the best target for a request that belongs to no engine, or None.

    A short prompt leans to an engine that all routers compute alike from its shared
    parts, as far as the time to read them counts.
    """
    usable = _drawn(targets, placing)
    unread, costs = placing.prompt_tokens, placing.costs
    choices = [
        _choice(t, placing, costs.read_ms(unread, t.load), unread=unread)
        for t in usable
    ]
    choices = [c for c in choices if _begins_in_time(c, placing)]
    home, gain_ms = None, 0.0
    if placing.model and placing.chain.shared_tokens >= MIN_AFFINITY_TOKENS:
        path = placing.chain.path
        gain_ms = AFFINITY_FACTOR * costs.read_ms(placing.chain.shared_tokens, 0)
        home = min(usable, key=lambda t: mix(t.target_id, path), default=None)

    def cost_ms(choice: Choice) -> float:
        return _worth_ms(choice, placing) - (gain_ms if choice.target is home else 0.0)

    return min(
        choices,
        key=lambda c: (cost_ms(c), mix(c.target.target_id, "")),
        default=None,
    )


def _usable(targets: Collection[Target], placing: Placing) -> list[Target]:
    """Return the candidates, without those to avoid if there are others."""
    usable = [t for t in targets if _is_candidate(t, placing)]
    return [t for t in usable if not _is_unfit(t, placing)] or usable


def _is_free(target: Target, placing: Placing) -> bool:
    return _is_candidate(target, placing) and not _is_unfit(target, placing)


def _is_unfit(target: Target, placing: Placing) -> bool:
    """Tell whether others are to be preferred, as far as there are any."""
    if target.is_emptying and placing.chain.has_home:
        return True
    return target.is_avoided(placing.now)


def _drawn(targets: Collection[Target], placing: Placing) -> list[Target]:
    """Return the usable targets, or a random sample of them if one is asked for.

    Most targets are usable, so a few draws do without a look at all of them.
    """
    if not placing.sample or len(targets) <= placing.sample:
        return _usable(targets, placing)
    targets = list(targets)
    drawn: dict[int, Target] = {}
    for _ in range(DRAWS_PER_SAMPLE * placing.sample):
        position = placing.draw(len(targets))
        target = targets[position]
        if _is_free(target, placing):
            drawn[position] = target
            if len(drawn) == placing.sample:
                return list(drawn.values())
    left = _usable(targets, placing)
    count = min(placing.sample, len(left))
    return [left.pop(placing.draw(len(left))) for _ in range(count)]


class _Holders:
    """Which targets hold how much of a prompt, by what the router knows."""

    def __init__(self, targets: list[Target], placing: Placing) -> None:
        self._placing = placing
        self._chain = placing.chain
        self._runs = {t.target_id: placing.run(t) for t in targets}
        #: Tokens that each engine has to read.
        self.own_tokens = max(0, placing.prompt_tokens - self._chain.shared_tokens)
        #: Most levels that an engine holds or reads, by version of its weights.
        self._known: dict[int | None, int] = {}
        #: Engine that has read the most, by version of its weights.
        self._sources: dict[int | None, Target] = {}
        for target in targets:
            self._count(target)

    def run(self, target: Target) -> Run:
        """Return the levels that a target holds."""
        return self._runs[target.target_id]

    def known_tokens(self, target: Target) -> int:
        """Return the shared tokens that some engine with the same weights holds."""
        version = target.version(self._placing.model)
        return self._chain.total(self._known.get(version, 0))

    def source(self, target: Target) -> tuple[Target | None, int]:
        """Return an engine from which a target may copy, and the levels there."""
        source = self._sources.get(target.version(self._placing.model))
        if source is None or source is target:
            return None, 0
        return source, self.run(source).ready

    def _count(self, target: Target) -> None:
        run = self.run(target)
        if not run.coming:
            return
        version = target.version(self._placing.model)
        self._known[version] = max(self._known.get(version, 0), run.coming)
        if target.is_loading or target.ejection.blocks(self._placing.now):
            return
        best = self._sources.get(version)
        if run.ready and (best is None or run.ready > self.run(best).ready):
            self._sources[version] = target


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
    chain, costs = placing.chain, placing.costs
    held = chain.total(holders.run(target).coming)
    own = holders.own_tokens
    # What it still reads of the parts that are coming is in its queue already.
    delay = costs.read_ms(own, target.load)
    if held >= chain.shared_tokens:
        return _choice(target, placing, delay, unread=own)
    source, levels = holders.source(target)
    copied = chain.total(levels) - held
    saved = chain.total(placing.saved(target)) - held
    if source is not None and copied > 0 and copied >= saved:
        is_far = source.listed.failure_domain != target.listed.failure_domain
        delay += costs.copy_ms(copied, is_far)
        got = held + copied
    else:
        source, copied = None, 0
        got = held + max(0, saved)
        delay += costs.store_ms(max(0, saved))
    rest = chain.shared_tokens - got
    delay += costs.read_ms(rest, target.load)
    again = max(0, holders.known_tokens(target) - got)
    return _choice(
        target,
        placing,
        delay,
        source=source,
        unread=own + rest,
        copied=copied,
        read_again=again,
    )


def _begins_in_time(choice: Choice, placing: Placing) -> bool:
    """Tell whether an engine begins before its weights are too old to be used."""
    if not placing.model:
        return True
    outdated_s = placing.outdated_s(choice.target.version(placing.model) or 0)
    if not outdated_s:
        return True
    return outdated_s + BEGIN_FACTOR * choice.delay_ms / 1000 < placing.stale_s


def _is_candidate(target: Target, placing: Placing) -> bool:
    if target.target_id in placing.excluded or not target.is_usable(placing.now):
        return False
    if not placing.model:
        return True
    version = target.version(placing.model)
    if version is None:
        return False
    return placing.outdated_s(version) < placing.stale_s


def _choice(target: Target, placing: Placing, own_ms: float, **changes: Any) -> Choice:
    """Return a choice by the time for the prompt itself and what is before it."""
    drawback = _drawback_ms(target, placing)
    if not placing.model:
        return Choice(target, own_ms + 1000 * target.latency_s, 0.0, drawback)
    costs = placing.costs
    queue = costs.read_ms(target.total_unread, target.load)
    delay = costs.base_ms + placing.wait_part * queue + own_ms
    return Choice(target, delay, queue, drawback, **changes)


def _drawback_ms(target: Target, placing: Placing) -> float:
    """Return what speaks against a target beside the delay there, in ms."""
    cost = FAILURE_MS * target.ejection.failures
    cost += ALWAYS_FAILS_MS * target.failure_rate + LOAD_MS * target.load
    if target.listed.failure_domain != placing.failure_domain:
        cost += DOMAIN_MS
    if not placing.model:
        over = target.load + 1 - max(1, target.listed.slots)
        cost += QUEUED_MS * max(0, over)
    return cost


def _worth_ms(choice: Choice, placing: Placing) -> float:
    """Return the delay of a choice, and what it loses in worth as a delay, in ms."""
    cost = choice.delay_ms + choice.drawback_ms
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
