"""Which engines load newly named weights next."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from attrs import frozen

from berylnotch.membership.listing import ListedTarget

#: Part of a service's engines that loads weights at the same time while there is
#: little to do; beyond it each load takes longer.
LOADING_PART = 0.4

#: The same while the engines are busy: those that stay serve cold for a while.
BUSY_LOADING_PART = 0.2

#: Requests under way at each serving engine from which a service counts as busy, and
#: the same as a part of an engine's slots; the larger one counts.
BUSY_REQUESTS, BUSY_SLOTS_PART = 4.0, 0.25

#: The same from which no further engine is taken away.
FULL_REQUESTS, FULL_SLOTS_PART = 14.0, 0.5

#: Part of the time that operators allow on older weights after which an engine loads,
#: however busy it is; the rest is for the loads themselves.
HURRY_PART = 0.4


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
    outdated_s: Callable[[str, int], float] = lambda model, version: 0.0,
    hurry_s: float = float("inf"),
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
    outdated_s : callable
        Returns for how long there is a newer version than a model's version.
    hurry_s : float
        Such a time from which an engine loads, however busy it is.
    """
    loads: list[WeightsLoad] = []
    by_service: dict[str, list[ListedTarget]] = {}
    for target in targets:
        if target.models and not target.is_leaving:
            by_service.setdefault(target.service, []).append(target)
    for service in sorted(by_service):
        engines = by_service[service]
        is_late = any(
            outdated_s(model.name, model.version) > hurry_s
            for engine in engines
            for model in engine.models
            if engine.target_id not in held_back
        )
        room = _room(engines, loading, held_back, {} if is_late else busy)
        outdated = _outdated(engines, wanted, {*loading, *held_back}, busy)
        loads.extend(outdated[:room])
    return tuple(loads)


def _room(
    engines: list[ListedTarget],
    loading: Collection[str],
    held_back: Collection[str],
    busy: Mapping[str, int],
) -> int:
    """Return how many more engines may load."""
    healthy = [e for e in engines if e.target_id not in held_back]
    under_way = sum(engine.target_id in loading for engine in healthy)
    serving = max(1, len(healthy) - under_way)
    requests = sum(busy.get(engine.target_id, 0) for engine in healthy) / serving
    slots = max((engine.slots for engine in healthy), default=0)
    if requests >= max(FULL_REQUESTS, FULL_SLOTS_PART * slots) and under_way:
        return 0
    is_busy = requests >= max(BUSY_REQUESTS, BUSY_SLOTS_PART * slots)
    part = BUSY_LOADING_PART if is_busy else LOADING_PART
    most = max(1, int(len(healthy) * part))
    if len(healthy) > 1:
        most = min(most, len(healthy) - 1)
    return max(0, most - under_way)


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
