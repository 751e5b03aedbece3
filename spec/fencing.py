"""Model of orders to an engine that ignores fencing tokens.

Bounds: an old leader and its successor, each with one order; time in ticks. The
successor may be elected before the old leader's lease has expired. An order on the
network arrives within ``MAX_DELAY`` ticks or never, since its connection is closed
after that time. The old leader may pause at any step and continue later.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

#: Length of the old leader's lease, in ticks.
LEASE = 3

#: Maximum network delay of an order, in ticks.
MAX_DELAY = 2

#: Ticks after the election at which the model stops.
MAX_TICKS = LEASE + MAX_DELAY + 4


class Mutation(Enum):
    """Seeded protocol fault, if any; every fault must give a counterexample."""

    NONE = "none"
    LEASE_CHECKED_TOO_EARLY = "lease checked before the blocking connect"
    NO_WAIT = "previous lease not waited out"
    NO_READ_BACK = "order considered done without reading back"


class Order(NamedTuple):
    """Order on the network; ``age`` is in ticks, -1 if there is no order."""

    age: int = -1


class State(NamedTuple):
    """State of the system.

    ``lease_ticks`` is the remaining lease time of the old leader.
    ``ticks_since_election`` is -1 until the successor is elected.
    ``old_leader_step`` is the progress of the old leader in sending its order: idle,
    connecting, connected or sent. ``engine`` names the leader whose order the engine
    executed last.
    """

    lease_ticks: int
    ticks_since_election: int
    old_leader_step: str
    old_order: Order
    new_order: Order
    engine: str
    is_done: bool


def fencing(mutation: Mutation = Mutation.NONE) -> Protocol:
    """Return the model, with a seeded fault if ``mutation`` is not ``NONE``."""
    return Protocol(
        name="fencing",
        candidate=False,
        fields=State._fields,
        initial=State(LEASE, -1, "idle", Order(), Order(), "none", False),
        transitions=lambda values: list(_transitions(State(*values), mutation)),
        invariants={"finished_order_stays": _finished_order_stays},
    )


def _finished_order_stays(state: dict) -> bool:
    return not state["is_done"] or state["engine"] == "new"


def _transitions(state: State, mutation: Mutation):
    yield from _clock_steps(state)
    yield from _network_steps(state)
    yield from _old_leader_steps(state, mutation)
    yield from _new_leader_steps(state, mutation)


def _clock_steps(state: State):
    if state.ticks_since_election >= MAX_TICKS:
        return
    if max(state.old_order.age, state.new_order.age) >= MAX_DELAY:
        return
    yield (
        "tick",
        state._replace(
            lease_ticks=max(0, state.lease_ticks - 1),
            ticks_since_election=state.ticks_since_election + 1
            if state.ticks_since_election >= 0
            else -1,
            old_order=_increment_age(state.old_order),
            new_order=_increment_age(state.new_order),
        ),
    )


def _increment_age(order: Order) -> Order:
    return Order(order.age + 1) if order.age >= 0 else order


def _network_steps(state: State):
    if state.old_order.age >= 0:
        yield "old order arrives", state._replace(old_order=Order(), engine="old")
        yield "old order is lost", state._replace(old_order=Order())
    if state.new_order.age >= 0:
        yield "new order arrives", state._replace(new_order=Order(), engine="new")
        yield "new order is lost", state._replace(new_order=Order())


def _old_leader_steps(state: State, mutation: Mutation):
    if state.ticks_since_election < 0:
        yield "lease renewed", state._replace(lease_ticks=LEASE)
    checks_before_connecting = mutation is Mutation.LEASE_CHECKED_TOO_EARLY
    if state.old_leader_step == "idle" and (
        state.lease_ticks > 0 or not checks_before_connecting
    ):
        yield "old leader connects", state._replace(old_leader_step="connecting")
    if state.old_leader_step == "connecting":
        yield "old leader is connected", state._replace(old_leader_step="connected")
    if state.old_leader_step == "connected" and (
        state.lease_ticks > 0 or checks_before_connecting
    ):
        yield (
            "old leader sends",
            state._replace(old_leader_step="sent", old_order=Order(0)),
        )


def _new_leader_steps(state: State, mutation: Mutation):
    if state.ticks_since_election < 0:
        yield "successor is elected", state._replace(ticks_since_election=0)
        return
    wait_ticks = 0 if mutation is Mutation.NO_WAIT else LEASE + MAX_DELAY
    can_send = state.new_order.age < 0 and not state.is_done
    if can_send and state.ticks_since_election >= wait_ticks:
        yield "successor sends", state._replace(new_order=Order(0))
        if state.engine == "new":
            yield "successor reads back", state._replace(is_done=True)
    if mutation is Mutation.NO_READ_BACK and state.new_order.age >= 0:
        yield "successor considers order done", state._replace(is_done=True)
