"""Model of orders to an engine that ignores fencing numbers.

Bounds: an old leader and its successor, each with one order; time in ticks. The
successor may be elected while the old leader's lease still runs. An order on
the network arrives within ``DELAY`` ticks or never, since its connection is
closed then. The old leader may stop at any step and go on later.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

#: Length of the old leader's lease.
LEASE = 3

#: Longest time that an order is under way.
DELAY = 2

#: Longest time that the model runs after the election.
AFTER = LEASE + DELAY + 4


class Mutation(Enum):
    """A seeded fault of the protocol."""

    NONE = "none"
    LEASE_CHECKED_BEFORE = "lease checked before the blocking step"
    NO_WAIT = "previous lease not waited out"
    NO_READ_BACK = "order taken for done without reading back"


class Order(NamedTuple):
    """An order on the network; ``age`` in ticks, -1 if there is none."""

    age: int = -1


class State(NamedTuple):
    """The whole system.

    ``lease`` is what is left of the old leader's lease, ``since`` counts ticks
    since the successor was elected, or is -1. ``old`` is the old leader's step;
    ``engine`` names the leader whose order the engine carried out last.
    """

    lease: int
    since: int
    old: str
    old_order: Order
    new_order: Order
    engine: str
    is_done: bool


def fencing(mutation: Mutation = Mutation.NONE) -> Protocol:
    """Return the model, with a fault if asked for."""
    return Protocol(
        name="fencing",
        candidate=False,
        fields=State._fields,
        initial=State(LEASE, -1, "idle", Order(), Order(), "none", False),
        transitions=lambda s: list(_transitions(State(*s), mutation)),
        invariants={"finished_order_stays": _finished_order_stays},
    )


def _finished_order_stays(state: dict) -> bool:
    return not state["is_done"] or state["engine"] == "new"


def _transitions(state: State, mutation: Mutation):
    yield from _time(state)
    yield from _network(state)
    yield from _old_leader(state, mutation)
    yield from _new_leader(state, mutation)


def _time(state: State):
    if state.since >= AFTER:
        return
    if max(state.old_order.age, state.new_order.age) >= DELAY:
        return
    yield (
        "tick",
        state._replace(
            lease=max(0, state.lease - 1),
            since=state.since + 1 if state.since >= 0 else -1,
            old_order=_older(state.old_order),
            new_order=_older(state.new_order),
        ),
    )


def _older(order: Order) -> Order:
    return Order(order.age + 1) if order.age >= 0 else order


def _network(state: State):
    if state.old_order.age >= 0:
        yield "old order arrives", state._replace(old_order=Order(), engine="old")
        yield "old order is lost", state._replace(old_order=Order())
    if state.new_order.age >= 0:
        yield "new order arrives", state._replace(new_order=Order(), engine="new")
        yield "new order is lost", state._replace(new_order=Order())


def _old_leader(state: State, mutation: Mutation):
    if state.since < 0:
        yield "lease renewed", state._replace(lease=LEASE)
    early = mutation is Mutation.LEASE_CHECKED_BEFORE
    if state.old == "idle" and (state.lease > 0 or not early):
        yield "old leader connects", state._replace(old="connecting")
    if state.old == "connecting":
        yield "old leader is connected", state._replace(old="connected")
    if state.old == "connected" and (state.lease > 0 or early):
        yield "old leader sends", state._replace(old="sent", old_order=Order(0))


def _new_leader(state: State, mutation: Mutation):
    if state.since < 0:
        yield "successor is elected", state._replace(since=0)
        return
    wait = 0 if mutation is Mutation.NO_WAIT else LEASE + DELAY
    is_free = state.new_order.age < 0 and not state.is_done
    if is_free and state.since >= wait:
        yield "successor sends", state._replace(new_order=Order(0))
        if state.engine == "new":
            yield "successor reads back", state._replace(is_done=True)
    if mutation is Mutation.NO_READ_BACK and state.new_order.age >= 0:
        yield "successor takes it for done", state._replace(is_done=True)
