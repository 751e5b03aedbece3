"""Selection of the candidate targets that are compared for a request.

In a fleet with hundreds of engines and routers, each choice compares only a few
engines. If every router compared all engines, all of them would choose the same best
engine at the same moment, and each choice would take long.

The home of a prompt is the engine that every router computes by consistent hashing of
the prompt's path.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from itertools import islice

from berylnotch.entry.model import ChoiceInputs
from berylnotch.entry.targets import Target
from berylnotch.placement.mixing import rendezvous_weight

#: Maximum number of engines that hold a part of a prompt and are compared for it.
MAX_HOLDERS = 12

#: Maximum number of engines that are examined along the consistent-hash ring, from the
#: position of a prompt, to find the prompt's home or an engine to copy the prompt from.
MAX_RING_STEPS = 64

#: Seconds after a weight load during which an engine's cache holds few of the prompts
#: that are in use.
RECENT_LOAD_S = 2.0

#: Maximum number of random draws for each target of a sample. If half of the targets
#: are usable, one sample in a thousand is incomplete after these draws, and all targets
#: are examined instead.
DRAWS_PER_SAMPLED_TARGET = 6

#: Ratio of the highest to the lowest speed factor of a service's targets from which the
#: targets count as unlike. Below it, differences may be errors of the estimates.
MIN_UNLIKE_RATIO = 1.3

#: Number of engines that are compared while the engines are unlike, and the number of
#: targets that are compared while these are also busy. All routers learn of a fast
#: target at the same time and would choose it until the next load update. In a
#: simulation with load reports 0.2 s old at 0.75 of the capacity, 0.94 of the requests
#: were in time with 2, 0.85 to 0.9 with 3, and 0.58 with all 12 engines.
UNLIKE_SAMPLE, BUSY_UNLIKE_SAMPLE = 3, 2

#: Fraction of the slots of plain targets from which these count as busy. Engines are
#: busy if another prompt as long as the request's waits at each on average.
BUSY_PLAIN_FRACTION = 0.3


def long_prompt_candidates(
    targets: Collection[Target], inputs: ChoiceInputs
) -> tuple[Target | None, list[Target]]:
    """Return the home of a long prompt and the targets to compare for it.

    In a fleet with many routers, the targets to compare are a sample that the prompt's
    hash determines, the engines that hold a part of the prompt, and a random sample. An
    engine of the random sample copies the prompt while the other candidates are busy.

    Returns
    -------
    home : Target or None
        Home of the prompt, None if no target is usable.
    candidates : list of Target
        Targets to compare.
    """
    path = inputs.chain.path
    if not inputs.sample or inputs.ring_walk is None:
        usable = usable_targets(targets, inputs)
        if inputs.sample:
            usable.sort(key=lambda t: rendezvous_weight(t.target_id, path))
            holders = [
                t
                for t in usable[inputs.sample :]
                if inputs.cached_levels(t).ready_or_pending
            ]
            usable = usable[: inputs.sample] + holders
        home = min(
            usable, key=lambda t: rendezvous_weight(t.target_id, path), default=None
        )
        return home, usable
    eligible = (t for t in inputs.ring_walk(path) if is_eligible(t, inputs))
    nearest = list(islice(eligible, inputs.sample))
    home = nearest[0] if nearest else None
    included_ids = {t.target_id for t in nearest}
    holders = [
        t
        for t in inputs.holders()
        if t.target_id not in included_ids and is_eligible(t, inputs)
    ]
    included_ids.update(t.target_id for t in holders)
    sampled = [
        t for t in sampled_targets(targets, inputs) if t.target_id not in included_ids
    ]
    return home, nearest + holders + sampled


def homes_by_version(
    targets: Collection[Target], inputs: ChoiceInputs
) -> dict[int | None, Target]:
    """Return the home of a prompt among the eligible engines by weights version."""
    homes: dict[int | None, Target] = {}
    versions = {t.version(inputs.model) for t in inputs.weights_samples()}
    for target in _ring_order(targets, inputs):
        version = target.version(inputs.model)
        if version not in homes and is_eligible(target, inputs):
            homes[version] = target
            if len(homes) >= len(versions):
                break
    return homes


def ring_copy_source(
    targets: Collection[Target], inputs: ChoiceInputs, receiver: Target
) -> Target | None:
    """Return the engine from which a receiver copies a prompt, None if no engine can.

    The source is the first other engine with the same weights after the prompt's
    position on the consistent-hash ring. If the receiver is the home of the prompt, the
    source is the engine that was the home before, if there was such an engine. An
    engine that has just loaded its weights holds few prompts, so it is returned only if
    no other engine is available.
    """
    version = receiver.version(inputs.model)
    second_choice = None
    for target in _ring_order(targets, inputs):
        if target is receiver or target.version(inputs.model) != version:
            continue
        if not _is_available_source(target, inputs):
            continue
        is_preferred = inputs.is_preferred_source
        if is_preferred is not None and not is_preferred(target):
            if inputs.is_permitted(target):
                second_choice = second_choice or target
            continue
        if inputs.now - target.weights_at > RECENT_LOAD_S:
            return target
        second_choice = second_choice or target
    return second_choice


def excluded_sources(targets: Collection[Target], inputs: ChoiceInputs) -> list[Target]:
    """Return the engines that may not serve a long prompt, but from which it is copied.

    These are the engines of the other versions during a rollout. Without them, each
    prompt would be processed again at the candidate's engines.
    """
    if inputs.is_permitted is None:
        return []
    holders = inputs.holders() if inputs.sample and inputs.ring_walk else targets
    return [
        target
        for target in holders
        if inputs.is_preferred_source(target)
        and not inputs.is_permitted(target)
        and target.target_id not in inputs.excluded
        and _is_available_source(target, inputs)
    ]


def _is_available_source(target: Target, inputs: ChoiceInputs) -> bool:
    is_failing = target.is_suspect or target.ejection.is_blocked(inputs.now)
    return not (is_failing or target.is_loading or target.is_leaving)


def _ring_order(targets: Collection[Target], inputs: ChoiceInputs) -> Iterable[Target]:
    """Return the targets in the prompt's hash order, which all routers share."""
    path = inputs.chain.path
    if inputs.ring_walk is not None:
        return islice(inputs.ring_walk(path), MAX_RING_STEPS)
    return sorted(targets, key=lambda t: rendezvous_weight(t.target_id, path))


def usable_targets(targets: Collection[Target], inputs: ChoiceInputs) -> list[Target]:
    """Return the targets that can serve a request, fallbacks if there are no others."""
    usable = [t for t in targets if _can_serve(t, inputs)]
    if not usable:
        # If all targets are slow at once, a late answer is better than a refusal.
        return [
            t
            for t in targets
            if t.is_usable_if_slow(inputs.now, inputs.max_silence_s)
            and is_suitable(t, inputs)
        ]
    return [t for t in usable if not _is_fallback(t, inputs)] or usable


def is_eligible(target: Target, inputs: ChoiceInputs) -> bool:
    """Tell whether a target can serve the request and is not only a fallback."""
    return _can_serve(target, inputs) and not _is_fallback(target, inputs)


def _is_fallback(target: Target, inputs: ChoiceInputs) -> bool:
    """Tell whether a target gets the request only if no other target can serve it.

    A fallback is a target that several routers have ejected after failures and that
    this router does not probe, or, for long prompts, an engine that is being emptied.
    """
    if target.is_emptying and inputs.chain.has_affinity:
        return True
    return target.is_avoided(inputs.now)


def sampled_targets(targets: Collection[Target], inputs: ChoiceInputs) -> list[Target]:
    """Return the usable targets, or a random sample of them if the inputs set its size.

    Most targets are usable, so a few draws usually complete the sample without a scan
    of all targets. While targets differ in speed, the sample has a size of its own.
    """
    count = _sample_size(targets, inputs)
    if not count or len(targets) <= count:
        return usable_targets(targets, inputs)
    targets = list(targets)
    sampled: dict[int, Target] = {}
    for _ in range(DRAWS_PER_SAMPLED_TARGET * count):
        index = inputs.draw(len(targets))
        target = targets[index]
        if is_eligible(target, inputs):
            sampled[index] = target
            if len(sampled) == count:
                return list(sampled.values())
    remaining = usable_targets(targets, inputs)
    count = min(count, len(remaining))
    return [remaining.pop(inputs.draw(len(remaining))) for _ in range(count)]


def are_unlike(targets: Collection[Target]) -> bool:
    """Tell whether some targets of a service are clearly slower than others."""
    factors = [target.speed.factor for target in targets]
    return bool(factors) and max(factors) >= MIN_UNLIKE_RATIO * min(factors)


def _sample_size(targets: Collection[Target], inputs: ChoiceInputs) -> int:
    """Return the number of targets to compare, 0 for all."""
    sample = inputs.sample
    if not are_unlike(targets):
        return sample
    if inputs.model:
        waiting = sum(target.total_unread for target in targets)
        is_busy = waiting >= inputs.prompt_tokens * len(targets)
        unlike = UNLIKE_SAMPLE
    else:
        slots = sum(max(1, target.listed.slots) for target in targets)
        is_busy = sum(t.load for t in targets) >= BUSY_PLAIN_FRACTION * slots
        # Plain targets without a queue are told apart only by their speed.
        unlike = sample
    size = BUSY_UNLIKE_SAMPLE if is_busy else unlike
    return min(sample, size) if sample else size


def _can_serve(target: Target, inputs: ChoiceInputs) -> bool:
    return target.is_usable(inputs.now) and is_suitable(target, inputs)


def is_allowed(target: Target, inputs: ChoiceInputs) -> bool:
    """Tell whether earlier attempts, the stream and rollouts let a target be used."""
    if target.target_id in inputs.excluded:
        return False
    version = inputs.software_version
    if version is not None and not target.has_software(version, inputs.now):
        return False
    return inputs.is_permitted is None or inputs.is_permitted(target)


def is_suitable(target: Target, inputs: ChoiceInputs) -> bool:
    """Tell whether a target may serve the request as soon as it is usable."""
    if not is_allowed(target, inputs):
        return False
    if not inputs.model:
        return True
    version = target.version(inputs.model)
    if version is None:
        return False
    return inputs.outdated_s(version) < inputs.stale_s
