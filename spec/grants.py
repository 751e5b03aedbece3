"""Model of grants: no window is charged more than burst + rate x T.

Bounds: one organisation, burst ``BURST`` and one token a tick, two routers, a
lifetime of ``LIFETIME`` ticks, ``CHANGES`` changes of the owner. Each router has
one exchange with the owner at a time, which may be slow or lost at any step.
``CRASHES`` routers may crash; one that starts again has another identity, so
that the owner keeps the loan of the crashed one. ``room`` is a bucket that
starts full and is emptied by the charges: every window keeps the bound exactly
if it never runs below zero. Routers are alike, so that states that differ only
in their order are taken as one.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

#: Most tokens at once.
BURST = 2

#: Lifetime of a grant in ticks.
LIFETIME = 2

#: Number of routers.
ROUTERS = 2

#: How often the owner changes.
CHANGES = 1

#: How many routers crash.
CRASHES = 1


class Mutation(Enum):
    """A seeded fault of the protocol."""

    NONE = "none"
    LIFETIME_NOT_WAITED = "new owner does not wait out older grants"
    COUNTED_FROM_RECEIPT = "lifetime counted from the receipt of the grant"
    FULL_AT_START = "new owner starts with a full bucket"
    HELD_ADOPTED = "new owner counts reported tokens of the earlier one as live"
    IDENTITY_KEPT = "restarted router takes over the loan of the crashed one"


class Exchange(NamedTuple):
    """A router's request to the owner, then its reply.

    ``age`` counts ticks since the request was sent, ``spent`` is what the
    request reports as charged and not yet known to the owner, ``held`` is what
    it reports as held, and ``tokens`` is what the reply grants.
    """

    kind: str = "none"
    age: int = 0
    spent: int = 0
    held: int = 0
    tokens: int = 0


class Router(NamedTuple):
    """A router; ``unknown`` is what it charged and the owner does not know."""

    tokens: int = 0
    life: int = 0
    unknown: int = 0
    exchange: Exchange = Exchange()


class Loan(NamedTuple):
    """What the owner thinks that a router may charge, and for how long."""

    tokens: int = 0
    life: int = 0


class State(NamedTuple):
    """The whole system.

    ``older`` is how long older grants may live. The loan at place n is that of
    the router at place n, the last one that of a crashed router.
    """

    room: int
    level: int
    older: int
    changes: int
    crashes: int
    loans: tuple[Loan, ...]
    routers: tuple[Router, ...]


def grants(mutation: Mutation = Mutation.NONE, crashes: int = CRASHES) -> Protocol:
    """Return the model, with a fault if asked for and fewer crashes."""
    initial = State(
        room=BURST,
        level=BURST,
        older=0,
        changes=0,
        crashes=CRASHES - crashes,
        loans=(Loan(),) * (ROUTERS + 1),
        routers=(Router(),) * ROUTERS,
    )
    return Protocol(
        name="grants",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda s: list(_transitions(State(*s), mutation)),
        invariants={
            "window_bound": lambda d: d["room"] >= 0,
            "level_bound": lambda d: 0 <= d["level"] <= BURST,
        },
    )


def _transitions(state: State, mutation: Mutation):
    if state.room < 0:
        return
    yield "tick", _tick(state)
    if state.changes < CHANGES:
        yield "new owner", _new_owner(state, mutation)
    for number, router in enumerate(state.routers):
        if number and router == state.routers[0] and state.loans[0] == state.loans[1]:
            continue
        for label, after in _router_steps(state, number, router, mutation):
            yield f"router {number}: {label}", after


def _tick(state: State) -> State:
    loans = tuple(
        Loan(loan.tokens, loan.life - 1) if loan.life > 1 else Loan()
        for loan in state.loans
    )
    older = max(0, state.older - 1)
    level = state.level if state.older else state.level + 1
    return state._replace(
        room=min(BURST, state.room + 1),
        level=_limited(level, loans),
        older=older,
        loans=loans,
        routers=tuple(_older_router(router) for router in state.routers),
    )


def _older_router(router: Router) -> Router:
    life = max(0, router.life - 1)
    tokens = router.tokens if life else 0
    exchange = router.exchange
    if exchange.kind != "none":
        exchange = exchange._replace(age=min(LIFETIME, exchange.age + 1))
    return Router(tokens, life, router.unknown, exchange)


def _limited(level: int, loans: tuple[Loan, ...]) -> int:
    lent = sum(loan.tokens for loan in loans)
    return min(level, max(0, BURST - lent))


def _new_owner(state: State, mutation: Mutation) -> State:
    waits = mutation is not Mutation.LIFETIME_NOT_WAITED
    is_full = mutation is Mutation.FULL_AT_START
    return state._replace(
        level=BURST if is_full else 0,
        older=LIFETIME if waits else 0,
        changes=state.changes + 1,
        loans=(Loan(),) * (ROUTERS + 1),
    )


def _router_steps(state: State, number: int, router: Router, mutation: Mutation):
    if router != Router() and state.crashes < CRASHES:
        yield "crash", _crash(state, number, mutation)
    if router.tokens:
        yield "charge", _charge(state, number, router)
    exchange = router.exchange
    if exchange.kind == "none":
        for kept in {0, router.tokens}:
            yield f"ask, keeping {kept}", _ask(state, number, router, kept)
    else:
        lost = router._replace(exchange=Exchange())
        yield "exchange given up", _put(state, number, lost)
    if exchange.kind == "request" and _may_answer(state, mutation):
        for lent in range(state.level + BURST + 1):
            after = _answer(state, number, router, lent, mutation)
            if after is None:
                break
            yield f"owner lends {lent}", after
    if exchange.kind == "reply":
        yield "reply arrives", _take(state, number, router, mutation)


def _may_answer(state: State, mutation: Mutation) -> bool:
    """Return whether the owner grants; until then its replies are empty."""
    return state.older == 0 or mutation is Mutation.HELD_ADOPTED


def _crash(state: State, number: int, mutation: Mutation) -> State:
    loans = list(state.loans)
    if mutation is not Mutation.IDENTITY_KEPT:
        loans[ROUTERS] = loans[number]
        loans[number] = Loan()
    crashed = state._replace(crashes=state.crashes + 1, loans=tuple(loans))
    return _put(crashed, number, Router())


def _charge(state: State, number: int, router: Router) -> State:
    charged = router._replace(
        tokens=router.tokens - 1, unknown=min(BURST, router.unknown + 1)
    )
    return _put(state._replace(room=state.room - 1), number, charged)


def _ask(state: State, number: int, router: Router, kept: int) -> State:
    request = Exchange("request", 0, router.unknown, kept)
    life = router.life if kept else 0
    asking = router._replace(tokens=kept, life=life, exchange=request)
    return _put(state, number, asking)


def _answer(
    state: State, number: int, router: Router, lent: int, mutation: Mutation
) -> State | None:
    """Return the state after the owner's answer, or none if it lends less."""
    exchange = router.exchange
    loan = state.loans[number]
    adopts = mutation is Mutation.HELD_ADOPTED and state.older > 0
    kept = exchange.held if adopts else min(exchange.held, loan.tokens)
    unused = 0 if adopts else max(0, loan.tokens - kept - exchange.spent)
    loans = list(state.loans)
    loans[number] = Loan(kept, LIFETIME)
    level = _limited(state.level + unused, tuple(loans))
    if lent > level:
        return None
    total = kept + lent
    loans[number] = Loan(total, LIFETIME) if total else Loan()
    reply = Exchange("reply", exchange.age, 0, exchange.held, total)
    unknown = router.unknown - exchange.spent
    answered = router._replace(unknown=unknown, exchange=reply)
    owner = state._replace(level=level - lent, loans=tuple(loans))
    return _put(owner, number, answered)


def _take(state: State, number: int, router: Router, mutation: Mutation) -> State:
    reply = router.exchange
    life = LIFETIME - reply.age
    if mutation is Mutation.COUNTED_FROM_RECEIPT:
        life = LIFETIME
    tokens = max(0, reply.tokens - router.unknown) if life else 0
    life = life if tokens else 0
    return _put(state, number, Router(tokens, life, router.unknown))


def _put(state: State, number: int, router: Router) -> State:
    """Replace a router, and bring the routers into a fixed order."""
    routers = list(state.routers)
    routers[number] = router
    pairs = sorted(zip(routers, state.loans[:ROUTERS], strict=True))
    return state._replace(
        routers=tuple(pair[0] for pair in pairs),
        loans=(*(pair[1] for pair in pairs), state.loans[ROUTERS]),
    )
