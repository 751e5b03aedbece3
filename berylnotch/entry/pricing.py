"""Expected delay and drawbacks of a target for a request, in ms."""

from __future__ import annotations

from typing import Any

from berylnotch.entry.model import Choice, Placing
from berylnotch.entry.targets import Target
from berylnotch.placement.mirror import Run

#: Cost of a request that is under way at an engine, in ms: what each adds to the
#: steps of the others.
LOAD_MS = 5.0

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

#: Cost of a request beyond the slots of a plain target, in ms: it waits for one.
QUEUED_MS = 60.0


class Holders:
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
        if run.ready and (best is None or _is_surer(run, self.run(best))):
            self._sources[version] = target


def _is_surer(run: Run, other: Run) -> bool:
    """Tell whether an engine holds more, or more surely: memory is used again soon."""
    return (run.ready, run.used_at) > (other.ready, other.used_at)


def price(target: Target, placing: Placing, holders: Holders) -> Choice:
    """Return the expected delay at a target, and how it gets the prompt."""
    chain, costs = placing.chain, placing.costs
    held = chain.total(holders.run(target).coming)
    own = holders.own_tokens
    # What it still reads of the parts that are coming is in its queue already.
    delay = costs.read_ms(own, target.load)
    if held >= chain.shared_tokens:
        return priced(target, placing, delay, unread=own)
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
    return priced(
        target,
        placing,
        delay,
        source=source,
        unread=own + rest,
        copied=copied,
        read_again=again,
    )


def begins_in_time(choice: Choice, placing: Placing) -> bool:
    """Tell whether an engine begins before its weights are too old to be used."""
    if not placing.model:
        return True
    outdated_s = placing.outdated_s(choice.target.version(placing.model) or 0)
    if not outdated_s:
        return True
    latest_ms = max(
        BEGIN_FACTOR * choice.delay_ms, choice.delay_ms + placing.overshoot_ms
    )
    return outdated_s + latest_ms / 1000 < placing.stale_s


def priced(target: Target, placing: Placing, own_ms: float, **changes: Any) -> Choice:
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


def worth_ms(choice: Choice, placing: Placing) -> float:
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
