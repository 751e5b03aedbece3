"""Expected delay and additional costs of a target for a request, in ms."""

from __future__ import annotations

from typing import Any

from berylnotch.entry.model import Choice, Placing
from berylnotch.entry.targets import Target
from berylnotch.placement.cache_model import CachedLevels

#: Cost of each request in flight at an engine, in ms: the time by which it lengthens
#: the steps of the other requests.
REQUEST_IN_FLIGHT_MS = 5.0

#: Multiple of the expected delay within which an engine certainly begins a request.
LATEST_START_FACTOR = 1.5

#: Cost of running on weights older than the newest named version, in ms.
OUTDATED_WEIGHTS_MS = 400.0

#: Cost of an answer that misses its target latency, in ms: three times that of
#: outdated weights, because a late answer is worth that much less to the caller.
LATE_MS = 1200.0

#: Fraction of the target latency up to which an expected delay has no risk of being
#: late.
SAFE_LATENCY_FRACTION = 0.5

#: Cost of a target in another failure domain, in ms, for the longer network path.
OTHER_DOMAIN_MS = 1.5

#: Cost of each consecutive failure of a target, in ms.
FAILURE_MS = 30.0

#: Cost of a target that fails every request, in ms; a lower failure rate costs the
#: corresponding fraction.
FULL_FAILURE_RATE_MS = 400.0

#: Cost of each request beyond the slots of a plain target, in ms, since it waits for a
#: free slot.
QUEUED_MS = 60.0


class Holders:
    """Cached parts of one prompt at each target, as far as the router knows.

    Parameters
    ----------
    targets : list of Target
        Targets that are compared.
    placing : Placing
        Inputs to the choice.
    """

    def __init__(self, targets: list[Target], placing: Placing) -> None:
        self._placing = placing
        self._chain = placing.chain
        self._runs = {t.target_id: placing.run(t) for t in targets}
        #: Tokens that are not shared, so that any engine has to read them.
        self.own_tokens = max(0, placing.prompt_tokens - self._chain.shared_tokens)
        #: Largest number of levels that an engine holds or reads, by weights version.
        self._known_levels: dict[int | None, int] = {}
        #: Engine that has read the most levels, by weights version.
        self._sources: dict[int | None, Target] = {}
        for target in targets:
            self._add(target)

    def run(self, target: Target) -> CachedLevels:
        """Return the levels that a target holds."""
        return self._runs[target.target_id]

    def known_tokens(self, target: Target) -> int:
        """Return the most shared tokens that an engine with the same weights holds."""
        version = target.version(self._placing.model)
        return self._chain.total(self._known_levels.get(version, 0))

    def source(self, target: Target) -> tuple[Target | None, int]:
        """Return an engine that a target may copy from, and its number of levels."""
        source = self._sources.get(target.version(self._placing.model))
        if source is None or source is target:
            return None, 0
        return source, self.run(source).ready

    def _add(self, target: Target) -> None:
        run = self.run(target)
        if not run.ready_or_pending:
            return
        version = target.version(self._placing.model)
        self._known_levels[version] = max(
            self._known_levels.get(version, 0), run.ready_or_pending
        )
        if target.is_loading or target.ejection.blocks(self._placing.now):
            return
        best = self._sources.get(version)
        if run.ready and (best is None or _is_better_source(run, self.run(best))):
            self._sources[version] = target


def _is_better_source(run: CachedLevels, other: CachedLevels) -> bool:
    """Return whether an engine holds more levels, or as many that were used later.

    Engines reuse the memory of the least recently used prompts first, so recently used
    levels are less likely to have been evicted.
    """
    return (run.ready, run.used_at) > (other.ready, other.used_at)


def price(target: Target, placing: Placing, holders: Holders) -> Choice:
    """Return the expected delay at a target, and how it obtains the prompt."""
    chain, costs = placing.chain, placing.costs
    held = chain.total(holders.run(target).ready_or_pending)
    own_tokens = holders.own_tokens
    # The unread tokens of levels that the target is still reading are counted in its
    # queue already.
    delay = costs.read_ms(own_tokens, target.load)
    if held >= chain.shared_tokens:
        return priced(target, placing, delay, unread=own_tokens)
    source, levels = holders.source(target)
    copied = chain.total(levels) - held
    saved = chain.total(placing.saved(target)) - held
    if source is not None and copied > 0 and copied >= saved:
        is_far = source.listed.failure_domain != target.listed.failure_domain
        delay += costs.copy_ms(copied, is_far)
        cached = held + copied
    else:
        source, copied = None, 0
        cached = held + max(0, saved)
        delay += costs.store_ms(max(0, saved))
    uncached = chain.shared_tokens - cached
    delay += costs.read_ms(uncached, target.load)
    read_again = max(0, holders.known_tokens(target) - cached)
    return priced(
        target,
        placing,
        delay,
        source=source,
        unread=own_tokens + uncached,
        copied=copied,
        read_again=read_again,
    )


def begins_in_time(choice: Choice, placing: Placing) -> bool:
    """Return whether an engine begins before its weights are too old to be used."""
    if not placing.model:
        return True
    outdated_s = placing.outdated_s(choice.target.version(placing.model) or 0)
    if not outdated_s:
        return True
    latest_ms = max(
        LATEST_START_FACTOR * choice.delay_ms, choice.delay_ms + placing.overshoot_ms
    )
    return outdated_s + latest_ms / 1000 < placing.stale_s


def priced(
    target: Target, placing: Placing, prompt_ms: float, **changes: Any
) -> Choice:
    """Return a choice with its expected delay and additional cost.

    Parameters
    ----------
    target : Target
        The target.
    placing : Placing
        Inputs to the choice.
    prompt_ms : float
        Time for the request's own prompt, without the queue before it.
    **changes
        Further fields of the choice.
    """
    drawback = _drawback_ms(target, placing)
    if not placing.model:
        return Choice(target, prompt_ms + 1000 * target.latency_s, 0.0, drawback)
    costs = placing.costs
    queue = costs.read_ms(target.total_unread, target.load)
    delay = costs.base_ms + placing.wait_part * queue + prompt_ms
    return Choice(target, delay, queue, drawback, **changes)


def _drawback_ms(target: Target, placing: Placing) -> float:
    """Return the cost of a target beside its expected delay, in ms."""
    cost = FAILURE_MS * target.ejection.failures
    cost += (
        FULL_FAILURE_RATE_MS * target.failure_rate + REQUEST_IN_FLIGHT_MS * target.load
    )
    if target.listed.failure_domain != placing.failure_domain:
        cost += OTHER_DOMAIN_MS
    if not placing.model:
        over = target.load + 1 - max(1, target.listed.slots)
        cost += QUEUED_MS * max(0, over)
    return cost


def worth_ms(choice: Choice, placing: Placing) -> float:
    """Return the total cost of a choice in ms.

    It is the sum of the expected delay, the additional cost of the target, and the
    lower value of an answer that is late or comes from outdated weights.
    """
    cost = choice.delay_ms + choice.drawback_ms
    if not placing.model:
        return cost
    version = choice.target.version(placing.model) or 0
    if placing.outdated_s(version) > placing.fresh_s:
        cost += OUTDATED_WEIGHTS_MS
    latency_ms = 1000 * placing.target_latency_s
    if latency_ms:
        over = (choice.delay_ms / latency_ms - SAFE_LATENCY_FRACTION) / (
            1 - SAFE_LATENCY_FRACTION
        )
        cost += LATE_MS * min(1.0, max(0.0, over))
    return cost
