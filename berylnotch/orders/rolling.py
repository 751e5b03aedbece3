"""Which engines load newly named weights next."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from attrs import frozen

from berylnotch.membership.listing import ListedTarget

#: Part of a service's engines that loads weights at the same time; beyond it each
#: load takes longer.
LOADING_PART = 0.4


@frozen
class WeightsLoad:
    """An engine and the weights that it shall load."""

    target_id: str
    model: str
    version: int


def next_loads(
    targets: Collection[ListedTarget],
    wanted: Mapping[str, int],
    loading: Collection[str],
    held_back: Collection[str],
    busy: Mapping[str, int],
) -> tuple[WeightsLoad, ...]:
    """Return the loads that may begin now.

    An engine goes straight to the newest version named. At most a part of a
    service's engines loads at once, and at least one keeps serving. Engines
    furthest behind go first.

    Parameters
    ----------
    targets : collection of ListedTarget
        All targets.
    wanted : mapping of str to int
        Newest named version of each model.
    loading : collection of str
        Targets that load now.
    held_back : collection of str
        Targets that wait after a failure, or cannot be reached.
    busy : mapping of str to int
        Requests under way at each target. An idle one loads sooner, since an
        engine finishes its requests first.
    """
    loads: list[WeightsLoad] = []
    by_service: dict[str, list[ListedTarget]] = {}
    for target in targets:
        if target.models and not target.is_leaving:
            by_service.setdefault(target.service, []).append(target)
    for service in sorted(by_service):
        engines = by_service[service]
        room = _room(engines, loading, held_back)
        outdated = _outdated(engines, wanted, {*loading, *held_back}, busy)
        loads.extend(outdated[:room])
    return tuple(loads)


def _room(
    engines: list[ListedTarget], loading: Collection[str], held_back: Collection[str]
) -> int:
    most = max(1, int(len(engines) * LOADING_PART))
    if len(engines) > 1:
        most = min(most, len(engines) - 1)
    return most - sum(engine.target_id in loading for engine in engines)


def _outdated(
    engines: list[ListedTarget],
    wanted: Mapping[str, int],
    excluded: set[str],
    busy: Mapping[str, int],
) -> list[WeightsLoad]:
    behind = []
    for engine in engines:
        if engine.target_id in excluded:
            continue
        for model in engine.models:
            missing = wanted.get(model.name, 0) - model.version
            if missing > 0:
                load = WeightsLoad(engine.target_id, model.name, wanted[model.name])
                order = (-missing, busy.get(engine.target_id, 0), engine.target_id)
                behind.append((order, load))
    return [load for _, load in sorted(behind, key=lambda item: item[0])]
