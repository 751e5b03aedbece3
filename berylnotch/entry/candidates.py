"""Selection of the candidate targets that are compared for a request.

In a fleet with hundreds of engines and routers, each choice compares only a few
engines. If every router compared all engines, all of them would choose the same best
engine at the same moment, and each comparison would take long.

The home of a prompt is the engine that every router computes by consistent hashing of
the prompt's path.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from itertools import islice

from berylnotch.entry.model import Placing
from berylnotch.entry.targets import Target
from berylnotch.placement.mixing import rendezvous_weight

#: Maximum number of engines that hold a part of a prompt and are compared for it.
MAX_HOLDERS = 12

#: Maximum number of engines that are examined along the consistent-hash ring, from the
#: position of a prompt, to find its home or an engine to copy it from.
MAX_RING_STEPS = 64

#: Seconds after a weight load during which an engine's cache holds few of the prompts
#: that are in use.
RECENT_LOAD_S = 2.0

#: Random draws for each target of a sample before all targets are examined. If half of
#: the targets are usable, one sample in a thousand is still incomplete after them.
DRAWS_PER_SAMPLED_TARGET = 6


def long_prompt_candidates(
    targets: Collection[Target], placing: Placing
) -> tuple[Target | None, list[Target]]:
    """Return the home of a long prompt and the targets to compare for it.

    In a fleet with many routers, these are a sample that the prompt's hash determines,
    the engines that hold a part of the prompt, and a random sample. An engine of the
    random sample copies the prompt while the other candidates are busy.

    Returns
    -------
    home : Target or None
        Home of the prompt, None if no target is usable.
    candidates : list of Target
        Targets to compare.
    """
    path = placing.chain.path
    if not placing.sample or placing.walk is None:
        usable = usable_targets(targets, placing)
        if placing.sample:
            usable.sort(key=lambda t: rendezvous_weight(t.target_id, path))
            holders = [
                t for t in usable[placing.sample :] if placing.run(t).ready_or_pending
            ]
            usable = usable[: placing.sample] + holders
        home = min(
            usable, key=lambda t: rendezvous_weight(t.target_id, path), default=None
        )
        return home, usable
    eligible = (t for t in placing.walk(path) if is_eligible(t, placing))
    nearest = list(islice(eligible, placing.sample))
    home = nearest[0] if nearest else None
    included_ids = {t.target_id for t in nearest}
    holders = [
        t
        for t in placing.holders()
        if t.target_id not in included_ids and is_eligible(t, placing)
    ]
    included_ids.update(t.target_id for t in holders)
    sampled = [
        t for t in sampled_targets(targets, placing) if t.target_id not in included_ids
    ]
    return home, nearest + holders + sampled


def homes_by_version(
    targets: Collection[Target], placing: Placing
) -> dict[int | None, Target]:
    """Return the home of a prompt among the eligible engines by weights version."""
    homes: dict[int | None, Target] = {}
    versions = {t.version(placing.model) for t in placing.weights_samples()}
    for target in _ring_order(targets, placing):
        version = target.version(placing.model)
        if version not in homes and is_eligible(target, placing):
            homes[version] = target
            if len(homes) >= len(versions):
                break
    return homes


def ring_copy_source(
    targets: Collection[Target], placing: Placing, receiver: Target
) -> Target | None:
    """Return the engine from which a receiver copies a prompt, None if there is none.

    It is the engine with the same weights that follows the prompt's position on the
    consistent-hash ring. If the receiver is the home, this is the previous home, if
    there was one. An engine that has just loaded its weights holds few prompts, so it
    is returned only if there is no other.
    """
    version = receiver.version(placing.model)
    recently_loaded = None
    for target in _ring_order(targets, placing):
        if target is receiver or target.version(placing.model) != version:
            continue
        is_unavailable = target.is_suspect or target.ejection.blocks(placing.now)
        if is_unavailable or target.is_loading or target.is_leaving:
            continue
        if placing.now - target.weights_at > RECENT_LOAD_S:
            return target
        recently_loaded = recently_loaded or target
    return recently_loaded


def _ring_order(targets: Collection[Target], placing: Placing) -> Iterable[Target]:
    """Return the targets in the prompt's hash order, which all routers share."""
    path = placing.chain.path
    if placing.walk is not None:
        return islice(placing.walk(path), MAX_RING_STEPS)
    return sorted(targets, key=lambda t: rendezvous_weight(t.target_id, path))


def usable_targets(targets: Collection[Target], placing: Placing) -> list[Target]:
    """Return the targets that can serve a request; fallbacks only without others."""
    usable = [t for t in targets if _can_serve(t, placing)]
    return [t for t in usable if not _is_fallback(t, placing)] or usable


def is_eligible(target: Target, placing: Placing) -> bool:
    """Tell whether a target can serve the request and is not only a fallback."""
    return _can_serve(target, placing) and not _is_fallback(target, placing)


def _is_fallback(target: Target, placing: Placing) -> bool:
    """Tell whether a target gets the request only if no other target can serve it.

    A fallback is a target that several routers have ejected after failures and that
    this router does not probe, or, for long prompts, an engine that is being emptied.
    """
    if target.is_emptying and placing.chain.has_affinity:
        return True
    return target.is_avoided(placing.now)


def sampled_targets(targets: Collection[Target], placing: Placing) -> list[Target]:
    """Return the usable targets, or a random sample of them if a sample is requested.

    Most targets are usable, so a few draws usually complete the sample without a scan
    of all targets.
    """
    if not placing.sample or len(targets) <= placing.sample:
        return usable_targets(targets, placing)
    targets = list(targets)
    sampled: dict[int, Target] = {}
    for _ in range(DRAWS_PER_SAMPLED_TARGET * placing.sample):
        index = placing.draw(len(targets))
        target = targets[index]
        if is_eligible(target, placing):
            sampled[index] = target
            if len(sampled) == placing.sample:
                return list(sampled.values())
    remaining = usable_targets(targets, placing)
    count = min(placing.sample, len(remaining))
    return [remaining.pop(placing.draw(len(remaining))) for _ in range(count)]


def _can_serve(target: Target, placing: Placing) -> bool:
    if target.target_id in placing.excluded or not target.is_usable(placing.now):
        return False
    if not placing.model:
        return True
    version = target.version(placing.model)
    if version is None:
        return False
    return placing.outdated_s(version) < placing.stale_s
