"""Model of claims: a request that is not idempotent runs at most once.

Bounds: two routers and one idempotency key. The caller sends the request up to
``SENDS`` times, each time to any router. Proposals are reordered, repeated, and lost
when the leader changes. Committed proposals survive a leader change and a snapshot;
the replication model shows this. A router may stop at any step: a frozen router
continues later, a crashed router loses its state. The controllers may declare either
router lost.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from minicheck import Protocol

#: Number of times that the caller sends its request.
SENDS = 3

#: Number of routers.
ROUTERS = 2


class Mutation(Enum):
    """Seeded protocol fault, if any; every fault must give a counterexample."""

    NONE = "none"
    SENT_BEFORE_COMMIT = "sent before the claim was committed"
    REOPENED_AFTER_LOSS = "claim of a lost router reopened"
    RUNNING_EXPIRED = "running claim expired"


class Phase(Enum):
    """Phase of a router's attempt to run the request."""

    IDLE = "idle"
    PROPOSING = "proposing"
    GRANTED = "granted"
    SENT = "sent"
    CLOSING = "closing"


class Claim(NamedTuple):
    """Claim in the replicated state; ``attempt`` is 0 if there is no claim."""

    state: str = "none"
    attempt: int = 0


class Router(NamedTuple):
    """State of a router and the number of its attempt."""

    phase: Phase = Phase.IDLE
    attempt: int = 0


class Proposal(NamedTuple):
    """Uncommitted proposal."""

    attempt: int
    state: str


class State(NamedTuple):
    """State of the system; ``runs`` is how often targets have run the request."""

    claim: Claim
    proposals: frozenset[Proposal]
    routers: tuple[Router, ...]
    attempts: int
    runs: int


def claims(mutation: Mutation = Mutation.NONE) -> Protocol:
    """Return the model, with a seeded fault if ``mutation`` is not ``NONE``."""
    initial = State(Claim(), frozenset(), (Router(),) * ROUTERS, 0, 0)
    return Protocol(
        name="claims",
        candidate=False,
        fields=State._fields,
        initial=initial,
        transitions=lambda values: _transitions(State(*values), mutation),
        invariants={"at_most_one_run": lambda values: values["runs"] <= 1},
    )


def _transitions(state: State, mutation: Mutation) -> list[tuple[str, State]]:
    steps = list(_controller_steps(state, mutation))
    for number, router in enumerate(state.routers):
        for label, next_state in _router_steps(state, number, router, mutation):
            steps.append((f"router {number}: {label}", next_state))
    return steps


def _controller_steps(state: State, mutation: Mutation):
    for proposal in state.proposals:
        remaining = state.proposals - {proposal}
        claim = _apply(state.claim, proposal)
        yield f"commit {proposal}", state._replace(claim=claim, proposals=remaining)
        yield f"commit {proposal}, repeated", state._replace(claim=claim)
        yield f"lose {proposal}", state._replace(proposals=remaining)
    if state.claim.state == "running":
        claim_state = (
            "not-run" if mutation is Mutation.REOPENED_AFTER_LOSS else "unknown"
        )
        claim = state.claim._replace(state=claim_state)
        yield "router declared lost", state._replace(claim=claim)
        if mutation is Mutation.RUNNING_EXPIRED:
            yield "claim expires", state._replace(claim=Claim())


def _apply(claim: Claim, proposal: Proposal) -> Claim:
    """Return the claim after a proposal is committed; see `berylnotch.ledger`."""
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
        yield "crash", _with_router(state, number, Router())
    if router.phase is Phase.IDLE and state.attempts < SENDS:
        yield "request arrives", _start_attempt(state, number)
    elif router.phase is Phase.PROPOSING:
        yield from _proposing_steps(state, number, router, mutation)
    elif router.phase is Phase.GRANTED:
        yield "send", _send(state, number, router)
        yield "connection refused", _propose_outcome(state, number, router, "not-run")
    elif router.phase is Phase.SENT:
        yield "answer", _propose_outcome(state, number, router, "done")
        yield "answer lost", _propose_outcome(state, number, router, "unknown")
    elif router.phase is Phase.CLOSING:
        yield "answer the caller", _with_router(state, number, Router())


def _proposing_steps(state: State, number: int, router: Router, mutation: Mutation):
    proposal = Proposal(router.attempt, "running")
    yield "propose again", state._replace(proposals=state.proposals | {proposal})
    is_granted = state.claim == Claim("running", router.attempt)
    if is_granted:
        granted = router._replace(phase=Phase.GRANTED)
        yield "claim is committed", _with_router(state, number, granted)
    elif state.claim.state != "none":
        yield "answer from the claim", _with_router(state, number, Router())
    if mutation is Mutation.SENT_BEFORE_COMMIT:
        yield "send early", _send(state, number, router)


def _start_attempt(state: State, number: int) -> State:
    attempt = state.attempts + 1
    proposal = Proposal(attempt, "running")
    started = state._replace(attempts=attempt, proposals=state.proposals | {proposal})
    return _with_router(started, number, Router(Phase.PROPOSING, attempt))


def _send(state: State, number: int, router: Router) -> State:
    sent = state._replace(runs=state.runs + 1)
    return _with_router(sent, number, router._replace(phase=Phase.SENT))


def _propose_outcome(state: State, number: int, router: Router, outcome: str) -> State:
    proposal = Proposal(router.attempt, outcome)
    proposing = state._replace(proposals=state.proposals | {proposal})
    return _with_router(proposing, number, router._replace(phase=Phase.CLOSING))


def _with_router(state: State, number: int, router: Router) -> State:
    routers = list(state.routers)
    routers[number] = router
    return state._replace(routers=tuple(routers))
