"""Computes the expected delay and the additional costs of a target, in ms."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from berylnotch.entry.model import Choice, ChoiceInputs
from berylnotch.entry.targets import Target
from berylnotch.placement.cache_model import CachedLevels

#: Cost of each request in flight at an engine, in ms. It is the time by which such a
#: request lengthens the steps of the others.
REQUEST_IN_FLIGHT_MS = 5.0

#: Multiple of the expected delay within which an engine certainly begins a request.
LATEST_START_FACTOR = 1.5

#: Cost of running on weights older than the newest announced version, in ms.
OUTDATED_WEIGHTS_MS = 400.0

#: Cost of an answer that misses its target latency, in ms. It is three times the cost
#: of outdated weights, because lateness reduces the value of an answer to the caller
#: that much more.
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

#: Cost, in ms, of each request beyond the slots of a plain target, because such a
#: request waits for a free slot.
QUEUED_MS = 60.0

#: Weight of the learned speed in the expected answer time of a plain target, in recent
#: answers that this router got itself.
LEARNED_LATENCY_WEIGHT = 2.0


class PromptHoldings:
    """Cached parts of one prompt at each target, as far as the router knows.

    Parameters
    ----------
    targets : list of Target
        Targets that are compared.
    inputs : ChoiceInputs
        Inputs to the choice.
    sources : list of Target, optional
        Further engines from which the targets may copy.
    """

    def __init__(
        self,
        targets: list[Target],
        inputs: ChoiceInputs,
        sources: Iterable[Target] = (),
    ) -> None:
        targets = [*targets, *sources]
        self._inputs = inputs
        self._chain = inputs.chain
        self._cached_levels = {t.target_id: inputs.cached_levels(t) for t in targets}
        #: Number of tokens that are not shared. Every engine has to process them.
        self.own_tokens = max(0, inputs.prompt_tokens - self._chain.shared_tokens)
        #: Largest number of levels that an engine holds or is processing, by weights
        #: version.
        self._known_levels: dict[int | None, int] = {}
        #: Engine that has processed the most levels, by weights version.
        self._sources: dict[int | None, Target] = {}
        for target in targets:
            self._add(target)

    def cached_levels(self, target: Target) -> CachedLevels:
        """Return the levels that a target probably holds."""
        return self._cached_levels[target.target_id]

    def known_tokens(self, target: Target) -> int:
        """Return the most shared tokens that an engine with the same weights holds."""
        version = target.version(self._inputs.model)
        return self._chain.total(self._known_levels.get(version, 0))

    def source(self, target: Target) -> tuple[Target | None, int]:
        """Return an engine that a target may copy from, and its number of levels."""
        source = self._sources.get(target.version(self._inputs.model))
        if source is None or source is target:
            return None, 0
        return source, self.cached_levels(source).ready

    def _add(self, target: Target) -> None:
        cached = self.cached_levels(target)
        if not cached.ready_or_pending:
            return
        version = target.version(self._inputs.model)
        self._known_levels[version] = max(
            self._known_levels.get(version, 0), cached.ready_or_pending
        )
        if target.is_loading or target.ejection.is_blocked(self._inputs.now):
            return
        best_source = self._sources.get(version)
        if cached.ready and (
            best_source is None
            or _is_better_source(cached, self.cached_levels(best_source))
        ):
            self._sources[version] = target


def _is_better_source(cached: CachedLevels, other: CachedLevels) -> bool:
    """Return whether an engine has more levels, or as many that were used later.

    Engines evict the least recently used prompts first, so recently used levels are
    more likely to be still in the cache.
    """
    return (cached.ready, cached.used_at) > (other.ready, other.used_at)


def estimate_choice(
    target: Target, inputs: ChoiceInputs, holdings: PromptHoldings
) -> Choice:
    """Return the expected delay at a target, and how it obtains the prompt."""
    chain, costs = inputs.chain, inputs.costs
    held_tokens = chain.total(holdings.cached_levels(target).ready_or_pending)
    own_tokens = holdings.own_tokens
    # Tokens of levels that the target is still processing already count in its prompt
    # queue.
    delay_ms = costs.prefill_ms(own_tokens, target.load)
    if held_tokens >= chain.shared_tokens:
        return make_choice(target, inputs, delay_ms, uncached_tokens=own_tokens)
    source, source_levels = holdings.source(target)
    copied_tokens = chain.total(source_levels) - held_tokens
    stored_tokens = chain.total(inputs.stored_levels(target)) - held_tokens
    if source is not None and copied_tokens > 0 and copied_tokens >= stored_tokens:
        is_far = source.listed.failure_domain != target.listed.failure_domain
        delay_ms += costs.copy_ms(copied_tokens, is_far)
        cached_tokens = held_tokens + copied_tokens
    else:
        source, copied_tokens = None, 0
        cached_tokens = held_tokens + max(0, stored_tokens)
        delay_ms += costs.store_ms(max(0, stored_tokens))
    uncached_tokens = chain.shared_tokens - cached_tokens
    delay_ms += costs.prefill_ms(uncached_tokens, target.load)
    reprocessed_tokens = max(0, holdings.known_tokens(target) - cached_tokens)
    return make_choice(
        target,
        inputs,
        delay_ms,
        source=source,
        uncached_tokens=own_tokens + uncached_tokens,
        copied_tokens=copied_tokens,
        reprocessed_tokens=reprocessed_tokens,
    )


def begins_in_time(choice: Choice, inputs: ChoiceInputs) -> bool:
    """Return whether an engine begins a request before its weights become too old."""
    if not inputs.model:
        return True
    outdated_s = inputs.outdated_s(choice.target.version(inputs.model) or 0)
    if not outdated_s:
        return True
    latest_ms = max(
        LATEST_START_FACTOR * choice.delay_ms, choice.delay_ms + inputs.max_overshoot_ms
    )
    return outdated_s + latest_ms / 1000 < inputs.stale_s


def make_choice(
    target: Target, inputs: ChoiceInputs, prompt_ms: float, **changes: Any
) -> Choice:
    """Return a choice with its expected delay and additional cost.

    Parameters
    ----------
    target : Target
        The target.
    inputs : ChoiceInputs
        Inputs to the choice.
    prompt_ms : float
        Time, in ms, in which a target of the usual speed processes the request's own
        prompt, without the prompt queue.
    **changes
        Further fields of the choice.
    """
    drawback_ms, factor = _drawback_ms(target, inputs), target.speed.factor
    if not inputs.model:
        latency_ms = 1000 * _plain_latency_s(target, inputs)
        return Choice(
            target, prompt_ms + latency_ms, 0.0, drawback_ms, speed_factor=factor
        )
    costs = inputs.costs
    queue_ms = factor * costs.prefill_ms(target.total_unread, target.load)
    delay_ms = factor * costs.base_ms + inputs.queue_share * queue_ms
    delay_ms += factor * prompt_ms
    return Choice(
        target, delay_ms, queue_ms, drawback_ms, speed_factor=factor, **changes
    )


def _plain_latency_s(target: Target, inputs: ChoiceInputs) -> float:
    """Return the expected answer time of a plain target, in seconds.

    The router's own average of a target of unusual speed counts only as much as it
    rests on recent answers. It also differs between routers, so that not all of them
    choose the same target.
    """
    speed, usual_s = target.speed, inputs.usual_latency_s
    if speed.is_usual or not usual_s:
        return target.latency_s
    weight = speed.measured_weight(inputs.now)
    learned_s = speed.factor * usual_s
    return (weight * target.latency_s + LEARNED_LATENCY_WEIGHT * learned_s) / (
        weight + LEARNED_LATENCY_WEIGHT
    )


def _drawback_ms(target: Target, inputs: ChoiceInputs) -> float:
    """Return the cost of a target in addition to its expected delay, in ms."""
    cost_ms, factor = FAILURE_MS * target.ejection.failures, target.speed.factor
    cost_ms += (
        FULL_FAILURE_RATE_MS * target.failure_rate
        + REQUEST_IN_FLIGHT_MS * target.load * factor
    )
    if target.listed.failure_domain != inputs.failure_domain:
        cost_ms += OTHER_DOMAIN_MS
    if not inputs.model:
        excess_requests = target.load + 1 - max(1, target.listed.slots)
        cost_ms += QUEUED_MS * max(0, excess_requests) * factor
    return cost_ms


def total_cost_ms(choice: Choice, inputs: ChoiceInputs) -> float:
    """Return the total cost of a choice in ms.

    It is the sum of the expected delay, the additional cost of the target, and the
    lower value of an answer that is late or comes from outdated weights.
    """
    cost_ms = choice.delay_ms + choice.drawback_ms
    if not inputs.model:
        return cost_ms
    version = choice.target.version(inputs.model) or 0
    if inputs.outdated_s(version) > inputs.fresh_s:
        cost_ms += OUTDATED_WEIGHTS_MS
    latency_ms = 1000 * inputs.target_latency_s
    if latency_ms:
        late_fraction = (choice.delay_ms / latency_ms - SAFE_LATENCY_FRACTION) / (
            1 - SAFE_LATENCY_FRACTION
        )
        cost_ms += LATE_MS * min(1.0, max(0.0, late_fraction))
    return cost_ms
