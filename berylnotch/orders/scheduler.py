"""Which orders the leader issues next, and which orders are allowed at all."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

from attrs import field, frozen

from berylnotch.control.commands import IssueOrder

#: Most engines of a service that load weights at the same time.
MAX_LOADING = 2
#: Failures of an engine in a row, after which only an operator goes on.
MAX_FAILURES = 3
#: Wait after the n-th failure of an engine in a row, n times, in milliseconds.
FAILURE_WAIT_MS = 10_000


@frozen
class Engine:
    """An engine as the scheduler sees it.

    Parameters
    ----------
    name : str
        Target's name.
    service : str
        Its service.
    version : str
        Weights version, empty if it holds none or loads.
    is_live : bool
        Whether it can be reached.
    is_draining : bool
        Whether an operator keeps new work away from it.
    is_ordered : bool
        Whether an order to it has no result yet.
    checks_orders : bool
        Whether it refuses an order with an old fencing number.
    failures : int
        Orders that failed in a row.
    finished_ms : int
        When its newest order had a result, 0 if never.
    """

    name: str
    service: str
    version: str
    is_live: bool = True
    is_draining: bool = False
    is_ordered: bool = False
    checks_orders: bool = False
    failures: int = 0
    finished_ms: int = 0

    @property
    def is_serving(self) -> bool:
        """Whether it gets requests."""
        ready = self.is_live and not self.is_draining
        return ready and bool(self.version) and not self.is_ordered


@frozen
class OrderState:
    """All engines and what their services shall hold.

    Parameters
    ----------
    engines : tuple of Engine
        In the order of the text.
    versions : mapping of str to str
        Version that each service in a rollout shall hold.
    dependencies : mapping of str to tuple of str
        Services that each service requires or may use.
    newest_issue_ms : int
        When the newest order was issued.
    loads_per_min : float
        Rate of the weight store.
    """

    engines: tuple[Engine, ...] = ()
    versions: Mapping[str, str] = field(factory=dict)
    dependencies: Mapping[str, tuple[str, ...]] = field(factory=dict)
    newest_issue_ms: int = 0
    loads_per_min: float = 30.0


@frozen
class Leadership:
    """Since when this controller leads, and how long a lease can last."""

    since_ms: int
    lease_ms: int


def refusal(engine: Engine, engines: Iterable[Engine]) -> str:
    """Return why an engine must not be ordered to load, or an empty string.

    Parameters
    ----------
    engine : Engine
        The engine to order.
    engines : iterable of Engine
        All engines of its service, itself included.
    """
    if engine.is_ordered:
        return f"{engine.name} has an order that runs"
    if not engine.is_live:
        return f"{engine.name} is not live"
    others = [other for other in engines if other.name != engine.name]
    loading = sum(other.is_ordered for other in others)
    if loading >= MAX_LOADING:
        return f"{loading} engines of {engine.service} load already"
    if engine.is_serving and not any(other.is_serving for other in others):
        return f"{engine.name} is the last engine of {engine.service} that serves"
    return ""


def next_orders(
    now_ms: int, state: OrderState, leadership: Leadership
) -> tuple[IssueOrder, ...]:
    """Return the orders that the leader may issue now.

    At most one is returned, because each changes what the next one may do;
    the weight store's rate paces them.

    Parameters
    ----------
    now_ms : int
        Unix time, as in `Proposal.at_ms`.
    state : OrderState
        State after everything that is committed.
    leadership : Leadership
        Of the controller that asks.
    """
    if now_ms - state.newest_issue_ms < 60_000 / state.loads_per_min:
        return ()
    for engine in _candidates(state):
        if not may_send(now_ms, engine, leadership) or _waits(now_ms, engine):
            continue
        service = [e for e in state.engines if e.service == engine.service]
        if not refusal(engine, service):
            version = state.versions[engine.service]
            return (IssueOrder(engine.name, engine.service, version),)
    return ()


def may_send(now_ms: int, engine: Engine, leadership: Leadership) -> bool:
    """Tell whether this leader may send an order to an engine.

    An engine that ignores fencing numbers would also obey a previous leader.
    That one stops when its lease ends, so its lease is waited out.
    """
    waited = now_ms - leadership.since_ms >= leadership.lease_ms
    return engine.checks_orders or waited


def blocked_services(state: OrderState) -> Mapping[str, str]:
    """Return the services whose rollout has to wait, with the reason."""
    found = {}
    for service in state.versions:
        reason = _service_refusal(service, state)
        if reason:
            found[service] = reason
    return found


def _candidates(state: OrderState) -> Iterator[Engine]:
    blocked = blocked_services(state)
    outdated = [
        engine
        for engine in state.engines
        if _is_outdated(engine, state) and engine.service not in blocked
    ]
    # Engines that serve nothing come first: loading them costs no capacity.
    yield from sorted(outdated, key=lambda engine: engine.is_serving)


def _is_outdated(engine: Engine, state: OrderState) -> bool:
    wanted = state.versions.get(engine.service)
    return wanted is not None and engine.version != wanted


def _service_refusal(service: str, state: OrderState) -> str:
    for name in sorted(_dependencies(service, state)):
        unfinished = any(
            engine.service == name and _is_outdated(engine, state)
            for engine in state.engines
            if engine.is_live and engine.failures < MAX_FAILURES
        )
        if unfinished:
            return f"waits for the rollout of {name}"
    return ""


def _dependencies(service: str, state: OrderState) -> set[str]:
    found: set[str] = set()
    queue = [service]
    while queue:
        for name in state.dependencies.get(queue.pop(), ()):
            if name not in found:
                found.add(name)
                queue.append(name)
    return found


def _waits(now_ms: int, engine: Engine) -> bool:
    if engine.failures >= MAX_FAILURES:
        return True
    return now_ms - engine.finished_ms < engine.failures * FAILURE_WAIT_MS
