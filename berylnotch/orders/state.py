"""Construction of the scheduler's input from the control state."""

from __future__ import annotations

from berylnotch.control.commands import LifeState, Subject
from berylnotch.control.view import View
from berylnotch.fleet.model import ServiceKind, Target
from berylnotch.orders.book import OrderBook
from berylnotch.orders.scheduler import Engine, OrderState


def order_state(view: View, book: OrderBook) -> OrderState:
    """Return the input of `next_orders`."""
    fleet = view.fleet
    services = fleet.services.values()
    return OrderState(
        engines=tuple(
            build_engine(view, book, target)
            for target in fleet.targets.values()
            if fleet.services[target.service].kind is ServiceKind.LANGUAGE
        ),
        versions={name: rollout.version for name, rollout in book.rollouts.items()},
        dependencies={s.name: s.requires + s.optional for s in services},
        last_issued_ms=max(
            (order.issued_ms for order in book.orders.values()), default=0
        ),
        loads_per_min=fleet.weight_loads_per_min,
    )


def build_engine(view: View, book: OrderBook, target: Target) -> Engine:
    """Return the scheduler's record of an engine, built from the target's state."""
    order = book.orders.get(target.name)
    return Engine(
        name=target.name,
        service=target.service,
        version=view.weights(target.name),
        is_live=view.life_state(Subject.TARGET, target.name) is LifeState.LIVE,
        is_draining=view.is_draining(Subject.TARGET, target.name),
        has_running_order=book.is_running(target.name),
        checks_orders=target.checks_orders,
        failures=order.failures if order else 0,
        finished_ms=order.finished_ms if order else 0,
    )
