"""Chooses the target for a request by expected delay and prefix-cache hits.

The traffic consists of long prompts, whose shared prefixes form a tree, and of many
short prompts. An engine processes one prompt after the other, so a long
prompt with a small cache hit delays all prompts behind it, and the memory of an engine
holds only a few long prompts.

The home of a prompt is the engine that every router computes for it by consistent
hashing, without communication.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from attrs import evolve

from berylnotch.entry.candidates import (
    are_unlike,
    excluded_sources,
    homes_by_version,
    is_allowed,
    is_suitable,
    long_prompt_candidates,
    ring_copy_source,
    sampled_targets,
    usable_targets,
)
from berylnotch.entry.model import Choice, ChoiceInputs
from berylnotch.entry.pricing import (
    PromptHoldings,
    begins_in_time,
    estimate_choice,
    make_choice,
    total_cost_ms,
)
from berylnotch.entry.targets import Target
from berylnotch.placement.mixing import rendezvous_weight

#: Cost of a copied prefix in addition to its transfer, in ms for 1,000 tokens, because
#: the copy evicts another prompt from the cache.
COPY_COST_MS_PER_1K = 6.0

#: Cost, in ms for 1,000 tokens, of processing a shared prefix that another engine has
#: processed or is processing. In this time, the engine could process the same number of
#: tokens of other prompts, and these prompts are delayed.
REPROCESSING_COST_MS_PER_1K = 240.0

#: Cost reduction, in ms, for the home of a prompt while the home still has to process
#: shared tokens of the prompt.
HOME_BONUS_MS = 80.0

#: Minimum number of shared tokens with which a short prompt has a home.
MIN_AFFINITY_TOKENS = 128

#: Cost, in ms for 1,000 tokens, of processing the shared prefix of a short prompt at an
#: engine other than the prompt's home. If the home has not processed the prefix yet,
#: the prefix is processed twice, because the home still has to process it later.
OFF_HOME_COST_MS_PER_1K = 120.0

#: Multiple of the target latency from which the best of few compared targets is not
#: good enough, so that all are compared. With a multiple of 1, routers compare all
#: targets most of the time at 0.75 of the capacity, and all choose the same.
LATE_SAMPLE_FACTOR = 2.0


def choose(targets: Collection[Target], inputs: ChoiceInputs) -> Choice | None:
    """Return the target with the lowest expected cost, None if no target is usable.

    A long prompt that no engine holds goes to its home, so that the prompt is processed
    once. Later requests go to the engine that holds the longest prefix of the prompt.
    When the prompt queue of that engine grows, requests go to other engines, and these
    copy the prefix.
    """
    if not inputs.chain.has_affinity:
        return _choose_for_short_prompt(targets, inputs)
    home, usable = long_prompt_candidates(targets, inputs)
    holdings = PromptHoldings(usable, inputs, excluded_sources(targets, inputs))
    choices = [estimate_choice(t, inputs, holdings) for t in usable]
    choices = [c for c in choices if begins_in_time(c, inputs)]

    def cost_ms(choice: Choice) -> float:
        total_ms = (
            total_cost_ms(choice, inputs)
            + COPY_COST_MS_PER_1K * choice.copied_tokens / 1000
        )
        total_ms += REPROCESSING_COST_MS_PER_1K * choice.reprocessed_tokens / 1000
        has_home_bonus = (
            choice.target is home and choice.uncached_tokens > holdings.own_tokens
        )
        return total_ms - HOME_BONUS_MS if has_home_bonus else total_ms

    return min(choices, key=lambda c: (cost_ms(c), c.target is not home), default=None)


def _choose_for_short_prompt(
    targets: Collection[Target], inputs: ChoiceInputs
) -> Choice | None:
    """Return the best target for a request without a long shared prefix, or None.

    The home of a short prompt is computed from its shared parts among the engines with
    the same weights. Other engines try to copy the shared parts from the home, even if
    the home may not hold them. A failed attempt costs less than processing the parts,
    and routers need not notify each other about the engines that hold short prompts.
    """
    usable = sampled_targets(targets, inputs)
    homes: dict[int | None, Target] = {}
    if inputs.model and inputs.chain.shared_tokens >= MIN_AFFINITY_TOKENS:
        homes = homes_by_version(targets, inputs)
        included_ids = {target.target_id for target in usable}
        usable += [t for t in homes.values() if t.target_id not in included_ids]
    best = _best_for_short_prompt(usable, inputs, homes)
    latest_ms = 1000 * LATE_SAMPLE_FACTOR * inputs.target_latency_s or math.inf
    if (best is None or best.delay_ms > latest_ms) and are_unlike(targets):
        # The few targets that were compared may all be slow.
        best = _best_for_short_prompt(usable_targets(targets, inputs), inputs, homes)
    if best is None or not homes:
        return best
    return evolve(best, source=ring_copy_source(targets, inputs, best.target))


def _best_for_short_prompt(
    targets: Iterable[Target], inputs: ChoiceInputs, homes: dict[int | None, Target]
) -> Choice | None:
    """Return the choice with the lowest cost, None if no target begins in time."""
    uncached_tokens, costs = inputs.prompt_tokens, inputs.costs
    choices = [
        make_choice(
            t,
            inputs,
            costs.prefill_ms(uncached_tokens, t.load),
            uncached_tokens=uncached_tokens,
        )
        for t in targets
    ]
    choices = [c for c in choices if begins_in_time(c, inputs)]
    off_home_ms = OFF_HOME_COST_MS_PER_1K * inputs.chain.shared_tokens / 1000

    def cost_ms(choice: Choice) -> float:
        home = homes.get(choice.target.version(inputs.model), choice.target)
        return total_cost_ms(choice, inputs) + (
            off_home_ms if home is not choice.target else 0
        )

    return min(
        choices,
        key=lambda c: (cost_ms(c), rendezvous_weight(c.target.target_id, "")),
        default=None,
    )


def delay_until_usable_s(
    targets: Iterable[Target], inputs: ChoiceInputs
) -> float | None:
    """Return the seconds until a target may be usable, None if there is no target."""
    usable_times = [
        target.usable_at(inputs.now)
        for target in targets
        if not target.is_leaving and is_allowed(target, inputs)
    ]
    if not usable_times:
        return None
    return max(0.0, min(usable_times) - inputs.now)


def delay_until_token_s(
    targets: Iterable[Target], inputs: ChoiceInputs
) -> float | None:
    """Return the seconds until a limited target may take the request.

    None means that waiting for tokens does not help, because no target with a limit is
    suitable for the request.
    """
    available_times = [
        target.usable_at(inputs.now)
        for target in targets
        if target.limit is not None
        and not (target.is_leaving or target.is_loading)
        and is_suitable(target, inputs)
    ]
    if not available_times:
        return None
    return max(0.0, min(available_times) - inputs.now)
