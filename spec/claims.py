"""Model of claims: a request that is not idempotent runs at most once.

Bounds: two routers, one idempotency key, which the caller sends up to
``SENDS`` times to any router. Proposals are reordered, repeated, and lost by a
change of the leader; committed ones survive that and a snapshot, which the
model of replication shows. A router may stop at any step: as frozen, it goes on
later; as crashed, it forgets all, and the controllers may take either for lost.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

#: How often the caller sends its request.
SENDS = 3

#: Number of routers.
ROUTERS = 2


class Mutation(Enum):
    """A seeded fault of the protocol."""

    NONE = "none"
    CLAIM_NOT_AGREED = "sent before the claim was committed"
    REOPENED_AFTER_LOSS = "claim of a lost router reopened"
    RUNNING_FORGOTTEN = "running claim expired"


class Phase(Enum):
    """What a router does with the request."""

    IDLE = "idle"
    PROPOSING = "proposing"
    GRANTED = "granted"
    SENT = "sent"
    CLOSING = "closing"


class Claim(NamedTuple):
    """The claim in the replicated state; ``attempt`` 0 if there is none."""

    state: str = "none"
    attempt: int = 0


class Router(NamedTuple):
    """A router and the attempt that it makes."""

    phase: Phase = Phase.IDLE
    attempt: int = 0


class Proposal(NamedTuple):
    """A proposal that is not committed yet."""

    attempt: int
    state: str


class State(NamedTuple):
    """The whole system; ``runs`` counts how often a target ran the request."""

    claim: Claim
    proposals: frozenset[Proposal]
    routers: tuple[Router, ...]
    attempts: int
    runs: int


def claims(mutation: Mutation = Mutation.NONE) -> Protocol:
    """Return the model, with a fault if asked for."""
    initial = State(Claim(), frozenset(), (Router(),) * ROUTERS, 0, 0)
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda s: _transitions(State(*s), mutation),
        invariants={"at_most_one_run": lambda d: d["runs"] <= 1},
    )


def _transitions(state: State, mutation: Mutation) -> list[tuple[str, State]]:
    found = list(_control_steps(state, mutation))
    for number, router in enumerate(state.routers):
        for label, after in _router_steps(state, number, router, mutation):
            found.append((f"router {number}: {label}", after))
    return found


def _control_steps(state: State, mutation: Mutation):
    for proposal in state.proposals:
        left = state.proposals - {proposal}
        claim = _apply(state.claim, proposal)
        yield f"commit {proposal}", state._replace(claim=claim, proposals=left)
        yield f"commit {proposal}, repeated", state._replace(claim=claim)
        yield f"lose {proposal}", state._replace(proposals=left)
    if state.claim.state == "running":
        lost = "not-run" if mutation is Mutation.REOPENED_AFTER_LOSS else "unknown"
        claim = state.claim._replace(state=lost)
        yield "router taken for lost", state._replace(claim=claim)
        if mutation is Mutation.RUNNING_FORGOTTEN:
            yield "claim expires", state._replace(claim=Claim())


def _apply(claim: Claim, proposal: Proposal) -> Claim:
    """Apply a committed proposal, as the ledger does."""
    if proposal.state == "running":
        may_reopen = claim.state == "not-run" and claim.attempt != proposal.attempt
        if claim.state == "none" or may_reopen:
            return Claim("running", proposal.attempt)
        return claim
    is_open = claim.state in ("running", "unknown")
    if is_open and claim.attempt == proposal.attempt:
        return claim._replace(state=proposal.state)
    return claim


def _router_steps(state: State, number: int, router: Router, mutation: Mutation):
    if router.phase is not Phase.IDLE:
        yield "crash", _put(state, number, Router())
    if router.phase is Phase.IDLE and state.attempts < SENDS:
        yield "request arrives", _begin(state, number)
    elif router.phase is Phase.PROPOSING:
        yield from _while_proposing(state, number, router, mutation)
    elif router.phase is Phase.GRANTED:
        yield "send", _send(state, number, router)
        yield "connection refused", _close(state, number, router, "not-run")
    elif router.phase is Phase.SENT:
        yield "answer", _close(state, number, router, "done")
        yield "answer lost", _close(state, number, router, "unknown")
    elif router.phase is Phase.CLOSING:
        yield "answer the caller", _put(state, number, Router())


def _while_proposing(state: State, number: int, router: Router, mutation: Mutation):
    proposal = Proposal(router.attempt, "running")
    yield "propose again", state._replace(proposals=state.proposals | {proposal})
    own = state.claim == Claim("running", router.attempt)
    if own:
        granted = router._replace(phase=Phase.GRANTED)
        yield "claim is committed", _put(state, number, granted)
    elif state.claim.state != "none":
        yield "answer from the claim", _put(state, number, Router())
    if mutation is Mutation.CLAIM_NOT_AGREED:
        yield "send early", _send(state, number, router)


def _begin(state: State, number: int) -> State:
    attempt = state.attempts + 1
    proposal = Proposal(attempt, "running")
    begun = state._replace(attempts=attempt, proposals=state.proposals | {proposal})
    return _put(begun, number, Router(Phase.PROPOSING, attempt))


def _send(state: State, number: int, router: Router) -> State:
    sent = state._replace(runs=state.runs + 1)
    return _put(sent, number, router._replace(phase=Phase.SENT))


def _close(state: State, number: int, router: Router, outcome: str) -> State:
    proposal = Proposal(router.attempt, outcome)
    closing = state._replace(proposals=state.proposals | {proposal})
    return _put(closing, number, router._replace(phase=Phase.CLOSING))


def _put(state: State, number: int, router: Router) -> State:
    routers = list(state.routers)
    routers[number] = router
    return state._replace(routers=tuple(routers))
