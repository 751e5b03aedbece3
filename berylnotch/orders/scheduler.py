"""Choice of the next orders that the leader issues, and the rules for orders."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from attrs import field, frozen

from berylnotch.control.commands import IssueOrder

#: Largest number of engines of a service that load weights at the same time.
MAX_LOADING = 2
#: Consecutive failures of an engine after which no further order is issued until an
#: operator starts a new rollout.
MAX_FAILURES = 3
#: Back-off in milliseconds after an engine's failure, multiplied by the number of its
#: consecutive failures.
FAILURE_BACKOFF_MS = 10_000


@frozen
class Engine:
    """State of an engine that determines whether it may get an order.

    Parameters
    ----------
    name : str
        Name of the target.
    service : str
        Service that the engine belongs to.
    version : str
        Weights version; empty if the engine holds no weights or is loading them.
    is_live : bool
        Whether the control state reports the engine as live.
    is_draining : bool
        Whether an operator drains the engine.
    has_running_order : bool
        Whether an order to the engine has no result yet.
    checks_orders : bool
        Whether the engine refuses an order with an old fencing token.
    failures : int
        Number of consecutive failed orders.
    finished_ms : int
        Unix time in milliseconds at which the newest order got its result, 0 if there
        is none.
    """

    name: str
    service: str
    version: str
    is_live: bool = True
    is_draining: bool = False
    has_running_order: bool = False
    checks_orders: bool = False
    failures: int = 0
    finished_ms: int = 0

    @property
    def is_serving(self) -> bool:
        """Whether the engine gets requests."""
        is_available = self.is_live and not self.is_draining
        return is_available and bool(self.version) and not self.has_running_order


@frozen
class OrderState:
    """All engines and the weights versions that their services have to hold.

    Parameters
    ----------
    engines : tuple of Engine
        In the order of the configuration.
    versions : mapping of str to str
        Version that each service with a rollout has to hold.
    dependencies : mapping of str to tuple of str
        Services that each service requires or optionally uses.
    last_issued_ms : int
        Unix time in milliseconds at which the newest order was issued.
    loads_per_min : float
        Loads per minute that the weight store allows.
    """

    engines: tuple[Engine, ...] = ()
    versions: Mapping[str, str] = field(factory=dict)
    dependencies: Mapping[str, tuple[str, ...]] = field(factory=dict)
    last_issued_ms: int = 0
    loads_per_min: float = 30.0


@frozen
class Leadership:
    """When this controller became leader, and the longest lease of a leader.

    ``since_ms`` is a Unix time in milliseconds, ``lease_ms`` a duration in
    milliseconds.
    """

    since_ms: int
    lease_ms: int


def refusal(engine: Engine, engines: Iterable[Engine]) -> str:
    """Return the reason why an engine must not be ordered to load, if any.

    The reason is an empty string if the order is allowed.

    Parameters
    ----------
    engine : Engine
        The engine to order.
    engines : iterable of Engine
        All engines of its service, itself included.
    """
    if engine.has_running_order:
        return f"{engine.name} has an order that runs"
    if not engine.is_live:
        return f"{engine.name} is not live"
    others = [other for other in engines if other.name != engine.name]
    loading_count = sum(other.has_running_order for other in others)
    if loading_count >= MAX_LOADING:
        return f"{loading_count} engines of {engine.service} load already"
    if engine.is_serving and not any(other.is_serving for other in others):
        return f"{engine.name} is the last engine of {engine.service} that serves"
    return ""


def next_orders(
    now_ms: int, state: OrderState, leadership: Leadership
) -> tuple[IssueOrder, ...]:
    """Return the orders that the leader may issue now.

    At most one order is returned, because each order changes which orders are allowed
    after it. The rate of the weight store limits the rate of orders.

    Parameters
    ----------
    now_ms : int
        Unix time in milliseconds, as in `Proposal.at_ms`.
    state : OrderState
        State after all committed commands.
    leadership : Leadership
        Leadership of the calling controller.
    """
    if now_ms - state.last_issued_ms < 60_000 / state.loads_per_min:
        return ()
    for engine in _sort_outdated_engines(state):
        if not may_send(now_ms, engine, leadership) or _is_backing_off(now_ms, engine):
            continue
        service_engines = [e for e in state.engines if e.service == engine.service]
        if not refusal(engine, service_engines):
            version = state.versions[engine.service]
            return (IssueOrder(engine.name, engine.service, version),)
    return ()


def may_send(now_ms: int, engine: Engine, leadership: Leadership) -> bool:
    """Tell whether this leader may send an order to an engine.

    An engine that does not check fencing tokens would also obey a previous leader. A
    previous leader stops sending orders when its lease ends, so orders to such an
    engine wait until that lease must have ended.
    """
    is_lease_over = now_ms - leadership.since_ms >= leadership.lease_ms
    return engine.checks_orders or is_lease_over


def blocked_services(state: OrderState) -> Mapping[str, str]:
    """Return the services whose rollout has to wait, with the reason."""
    blocked = {}
    for service in state.versions:
        reason = _service_refusal(service, state)
        if reason:
            blocked[service] = reason
    return blocked


def _sort_outdated_engines(state: OrderState) -> Iterator[Engine]:
    """Yield the outdated engines whose rollout may go on, non-serving ones first."""
    blocked = blocked_services(state)
    outdated = [
        engine
        for engine in state.engines
        if _is_outdated(engine, state) and engine.service not in blocked
    ]
    # Engines that do not serve come first: loading weights on them does not reduce the
    # capacity of the service.
    yield from sorted(outdated, key=lambda engine: engine.is_serving)


def _is_outdated(engine: Engine, state: OrderState) -> bool:
    desired_version = state.versions.get(engine.service)
    return desired_version is not None and engine.version != desired_version


def _service_refusal(service: str, state: OrderState) -> str:
    """Return the reason why a service's rollout has to wait, if any.

    A dependency's engine that is not live, or failed too often, does not block, since
    its rollout cannot finish by itself.
    """
    for name in sorted(_dependencies(service, state)):
        is_unfinished = any(
            engine.service == name and _is_outdated(engine, state)
            for engine in state.engines
            if engine.is_live and engine.failures < MAX_FAILURES
        )
        if is_unfinished:
            return f"waits for the rollout of {name}"
    return ""


def _dependencies(service: str, state: OrderState) -> set[str]:
    """Return the direct and indirect dependencies of a service."""
    dependencies: set[str] = set()
    queue = [service]
    while queue:
        for name in state.dependencies.get(queue.pop(), ()):
            if name not in dependencies:
                dependencies.add(name)
                queue.append(name)
    return dependencies


def _is_backing_off(now_ms: int, engine: Engine) -> bool:
    """Tell whether earlier failures forbid an order to an engine now."""
    if engine.failures >= MAX_FAILURES:
        return True
    return now_ms - engine.finished_ms < engine.failures * FAILURE_BACKOFF_MS
