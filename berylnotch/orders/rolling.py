"""Choice of the engines that load newly announced weights next."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from attrs import frozen

from berylnotch.membership.listing import ListedTarget

#: Largest fraction of a service's engines that loads weights at the same time while
#: the service is not busy. With more concurrent loads each load takes longer.
MAX_LOADING_FRACTION = 0.4

#: Largest fraction of a service's engines that loads weights at the same time while the
#: service is busy. The fraction is smaller, because an engine serves with a cold cache
#: for a while after it has loaded weights.
MAX_BUSY_LOADING_FRACTION = 0.2

#: Mean number of in-flight requests per serving engine at which a service counts as
#: busy, as a number and as a fraction of an engine's slots. The larger number applies.
BUSY_REQUESTS, BUSY_SLOTS_FRACTION = 4.0, 0.25

#: Mean number of in-flight requests per serving engine at which no further engine
#: begins to load while another engine loads, as a number and as a fraction of an
#: engine's slots. The larger number applies.
FULL_REQUESTS, FULL_SLOTS_FRACTION = 14.0, 0.5

#: Fraction of the setting ``weights_s``, the time limit for superseded weights, after
#: which engines load regardless of the service's in-flight requests. The rest of the
#: limit is left for the loads.
URGENT_SHARE = 0.4


@frozen
class WeightsLoad:
    """An engine and the weights that it has to load."""

    target_id: str
    model: str
    version: int


def next_loads(
    targets: Collection[ListedTarget],
    desired_versions: Mapping[str, int],
    loading: Collection[str],
    unavailable: Collection[str],
    in_flight: Mapping[str, int],
    outdated_s: Callable[[str, int], float] = lambda model, version: 0.0,
    overdue_after_s: float = float("inf"),
) -> tuple[WeightsLoad, ...]:
    """Return the loads that may begin now.

    An engine skips intermediate versions and loads the newest announced one. At most
    a fraction of a service's engines loads at once, and at least one engine keeps
    serving. The engines that are the most versions behind load first.

    Parameters
    ----------
    targets : collection of ListedTarget
        All targets.
    desired_versions : mapping of str to int
        Newest announced version of each model.
    loading : collection of str
        Targets that are loading weights.
    unavailable : collection of str
        Targets that back off after a failure or cannot be reached.
    in_flight : mapping of str to int
        Number of in-flight requests at each target. An idle engine loads sooner,
        because an engine finishes its requests before it loads.
    outdated_s : callable
        Returns the seconds since a newer version than the given one was announced
        for a model, 0 if none was.
    overdue_after_s : float
        Seconds after which engines with superseded weights load regardless of the
        service's in-flight requests.
    """
    loads: list[WeightsLoad] = []
    by_service: dict[str, list[ListedTarget]] = {}
    for target in targets:
        if target.models and not target.is_leaving:
            by_service.setdefault(target.service, []).append(target)
    for service in sorted(by_service):
        engines = by_service[service]
        is_overdue = any(
            outdated_s(model.name, model.version) > overdue_after_s
            for engine in engines
            for model in engine.models
            if engine.target_id not in unavailable
        )
        max_new_loads = _count_allowed_loads(
            engines, loading, unavailable, {} if is_overdue else in_flight
        )
        pending = _list_pending_loads(
            engines, desired_versions, {*loading, *unavailable}, in_flight
        )
        loads.extend(pending[:max_new_loads])
    return tuple(loads)


def _count_allowed_loads(
    engines: list[ListedTarget],
    loading: Collection[str],
    unavailable: Collection[str],
    in_flight: Mapping[str, int],
) -> int:
    """Return how many more engines of a service may begin to load."""
    healthy = [e for e in engines if e.target_id not in unavailable]
    loading_count = sum(engine.target_id in loading for engine in healthy)
    serving_count = max(1, len(healthy) - loading_count)
    requests_per_engine = (
        sum(in_flight.get(engine.target_id, 0) for engine in healthy) / serving_count
    )
    slots = max((engine.slots for engine in healthy), default=0)
    if (
        requests_per_engine >= max(FULL_REQUESTS, FULL_SLOTS_FRACTION * slots)
        and loading_count
    ):
        return 0
    is_busy = requests_per_engine >= max(BUSY_REQUESTS, BUSY_SLOTS_FRACTION * slots)
    fraction = MAX_BUSY_LOADING_FRACTION if is_busy else MAX_LOADING_FRACTION
    max_loading = max(1, int(len(healthy) * fraction))
    if len(healthy) > 1:
        max_loading = min(max_loading, len(healthy) - 1)
    return max(0, max_loading - loading_count)


def _list_pending_loads(
    engines: list[ListedTarget],
    desired_versions: Mapping[str, int],
    excluded: set[str],
    in_flight: Mapping[str, int],
) -> list[WeightsLoad]:
    """Return the loads of outdated engines, the most urgent first."""
    pending = []
    for engine in engines:
        if engine.target_id in excluded:
            continue
        for model in engine.models:
            versions_behind = desired_versions.get(model.name, 0) - model.version
            if versions_behind > 0:
                load = WeightsLoad(
                    engine.target_id, model.name, desired_versions[model.name]
                )
                sort_key = (
                    -versions_behind,
                    in_flight.get(engine.target_id, 0),
                    engine.target_id,
                )
                pending.append((sort_key, load))
    return [load for _, load in sorted(pending, key=lambda item: item[0])]
