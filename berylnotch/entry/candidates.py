"""Which targets are compared for a request.

It answers this load: hundreds of engines and of routers, which would all choose the
same best engine if each compared all, and would take long to do so.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from itertools import islice

from berylnotch.entry.model import Placing
from berylnotch.entry.targets import Target
from berylnotch.placement.mixing import mix

#: Engines that hold a part of a prompt and are compared for it, at the most.
MAX_HOLDERS = 12

#: Engines along a prompt's ring that are looked at for a home or a copy.
MAX_ALONG_RING = 64

#: Seconds after a load for which an engine holds little of what is in use.
FRESH_S = 2.0

#: Random draws for each target of a sample, before all targets are looked at: with
#: half of them usable, one sample in a thousand is not complete by then.
DRAWS_PER_SAMPLE = 6


def near_targets(
    targets: Collection[Target], placing: Placing
) -> tuple[Target | None, list[Target]]:
    """Return the home of a prompt, and the targets to compare for it.

    With many routers these are a sample that the prompt decides, the engines that hold
    a part of it, and a random sample, which takes a copy while those are busy.
    """
    path = placing.chain.path
    if not placing.sample or placing.walk is None:
        usable = usable_targets(targets, placing)
        if placing.sample:
            usable.sort(key=lambda t: mix(t.target_id, path))
            held = [t for t in usable[placing.sample :] if placing.run(t).coming]
            usable = usable[: placing.sample] + held
        home = min(usable, key=lambda t: mix(t.target_id, path), default=None)
        return home, usable
    fit = (t for t in placing.walk(path) if is_free(t, placing))
    near = list(islice(fit, placing.sample))
    home = near[0] if near else None
    known = {t.target_id for t in near}
    held = [
        t for t in placing.holders() if t.target_id not in known and is_free(t, placing)
    ]
    known.update(t.target_id for t in held)
    drawn = [t for t in drawn_targets(targets, placing) if t.target_id not in known]
    return home, near + held + drawn


def homes_by_weights(
    targets: Collection[Target], placing: Placing
) -> dict[int | None, Target]:
    """Return the home of a prompt among the free engines of each version of weights."""
    homes: dict[int | None, Target] = {}
    versions = {t.version(placing.model) for t in placing.weights_samples()}
    for target in _along_ring(targets, placing):
        version = target.version(placing.model)
        if version not in homes and is_free(target, placing):
            homes[version] = target
            if len(homes) >= len(versions):
                break
    return homes


def ring_source(
    targets: Collection[Target], placing: Placing, taker: Target
) -> Target | None:
    """Return the engine next to a prompt's place on the ring from which to copy it.

    For the home this is the engine that was the home before it, if any was. One that
    has just loaded its weights holds little yet.
    """
    version = taker.version(placing.model)
    fresh = None
    for target in _along_ring(targets, placing):
        if target is taker or target.version(placing.model) != version:
            continue
        is_dark = target.is_suspect or target.ejection.blocks(placing.now)
        if is_dark or target.is_loading or target.is_leaving:
            continue
        if placing.now - target.weights_at > FRESH_S:
            return target
        fresh = fresh or target
    return fresh


def _along_ring(targets: Collection[Target], placing: Placing) -> Iterable[Target]:
    """Return the targets in the order that a prompt decides, alike at all routers."""
    path = placing.chain.path
    if placing.walk is not None:
        return islice(placing.walk(path), MAX_ALONG_RING)
    return sorted(targets, key=lambda t: mix(t.target_id, path))


def usable_targets(targets: Collection[Target], placing: Placing) -> list[Target]:
    """Return the candidates, without those to avoid if there are others."""
    usable = [t for t in targets if _is_candidate(t, placing)]
    return [t for t in usable if not _is_unfit(t, placing)] or usable


def is_free(target: Target, placing: Placing) -> bool:
    """Tell whether a target may get the request and nothing speaks against it."""
    return _is_candidate(target, placing) and not _is_unfit(target, placing)


def _is_unfit(target: Target, placing: Placing) -> bool:
    """Tell whether others are to be preferred, as far as there are any."""
    if target.is_emptying and placing.chain.has_home:
        return True
    return target.is_avoided(placing.now)


def drawn_targets(targets: Collection[Target], placing: Placing) -> list[Target]:
    """Return the usable targets, or a random sample of them if one is asked for.

    Most targets are usable, so a few draws do without a look at all of them.
    """
    if not placing.sample or len(targets) <= placing.sample:
        return usable_targets(targets, placing)
    targets = list(targets)
    drawn: dict[int, Target] = {}
    for _ in range(DRAWS_PER_SAMPLE * placing.sample):
        position = placing.draw(len(targets))
        target = targets[position]
        if is_free(target, placing):
            drawn[position] = target
            if len(drawn) == placing.sample:
                return list(drawn.values())
    left = usable_targets(targets, placing)
    count = min(placing.sample, len(left))
    return [left.pop(placing.draw(len(left))) for _ in range(count)]


def _is_candidate(target: Target, placing: Placing) -> bool:
    if target.target_id in placing.excluded or not target.is_usable(placing.now):
        return False
    if not placing.model:
        return True
    version = target.version(placing.model)
    if version is None:
        return False
    return placing.outdated_s(version) < placing.stale_s
