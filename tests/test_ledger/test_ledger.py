from __future__ import annotations

import pytest
from attrs import evolve
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylnotch.control.commands import (
    ClaimState,
    CloseClaim,
    OpenClaim,
    SettleClaim,
    Status,
)
from berylnotch.ledger import ledger as ledger_module
from berylnotch.ledger.errors import ClaimError
from berylnotch.ledger.ledger import Ledger

OPEN = OpenClaim("clerks", "order-7", b"f", "entry-1/i1", "a1")
DONE = CloseClaim("clerks", "order-7", "a1", ClaimState.DONE, 200, "text", b"ok")
SETTLE = SettleClaim("c", "asha", "clerks", "order-7", ClaimState.NOT_RUN, "no row")


def expect_refusal(method, *args) -> ClaimError:
    with pytest.raises(ClaimError) as caught:
        method(*args)
    return caught.value


def test_resend_gets_claim_state_and_stored_answer():
    ledger = Ledger()
    opened = ledger.open(1, OPEN)
    assert ledger.open(2, OPEN) == opened
    resend = evolve(OPEN, attempt="a2")
    error = expect_refusal(ledger.open, 3, resend)
    assert (error.status, str(error)) == (Status.EXISTS, "the request is in progress")
    ledger.close(4, DONE)
    assert ledger.close(5, DONE).closed_ms == 4
    assert expect_refusal(ledger.open, 6, resend).claim.body == b"ok"


def test_other_request_under_the_same_key_is_refused():
    ledger = Ledger()
    ledger.open(1, OPEN)
    error = expect_refusal(ledger.open, 2, evolve(OPEN, fingerprint=b"g", attempt="a2"))
    assert (error.status, error.claim) == (Status.CONFLICT, None)


def test_not_run_can_be_claimed_by_another_attempt_only():
    ledger = Ledger()
    ledger.open(1, OPEN)
    ledger.close(2, evolve(DONE, state=ClaimState.NOT_RUN))
    assert expect_refusal(ledger.open, 3, OPEN).status is Status.EXISTS
    assert ledger.open(4, evolve(OPEN, attempt="a2")).attempt == "a2"
    assert expect_refusal(ledger.close, 5, DONE).status is Status.CONFLICT


def test_settled_claim_of_lost_router_rejects_late_outcome():
    ledger = Ledger()
    ledger.open(1, OPEN)
    assert ledger.mark_claims_unknown(2, "entry-1", "i2", is_lost=True) == 0
    assert ledger.mark_claims_unknown(2, "entry-2", "", is_lost=True) == 0
    assert ledger.mark_claims_unknown(2, "entry-1", "i2", is_lost=False) == 1
    assert (
        expect_refusal(ledger.open, 3, evolve(OPEN, attempt="a2")).claim.closed_ms == 2
    )
    assert ledger.settle(4, SETTLE).note == "asha: no row"
    assert expect_refusal(ledger.close, 5, DONE).status is Status.CONFLICT
    assert expect_refusal(ledger.settle, 5, SETTLE).status is Status.CONFLICT


def test_late_outcome_replaces_unknown():
    ledger = Ledger()
    ledger.open(1, OPEN)
    ledger.mark_claims_unknown(2, "entry-1", "i1", is_lost=True)
    assert ledger.close(3, DONE).state is ClaimState.DONE


def test_expiry_keeps_unknown_claims_and_ends_running_ones():
    ledger = Ledger()
    for number in range(3):
        ledger.open(10, evolve(OPEN, idempotency_key=f"o{number}"))
    ledger.close(20, evolve(DONE, idempotency_key="o0"))
    ledger.mark_claims_unknown(20, "entry-1", "i1", is_lost=True)
    assert ledger.expire(20) == 0
    assert ledger.expire(21) == 1
    ledger.open(30, OPEN)
    ledger.expire(31)
    assert [claim.state for claim in ledger] == [ClaimState.UNKNOWN] * 3


def test_claims_and_stored_answers_are_bounded(monkeypatch):
    monkeypatch.setattr(ledger_module, "MAX_BODIES_BYTES", 100)
    monkeypatch.setattr(ledger_module, "MAX_CLAIMS", 4)
    ledger = Ledger()
    for number in range(4):
        key = f"o{number}"
        ledger.open(1, evolve(OPEN, idempotency_key=key))
        ledger.close(2, evolve(DONE, idempotency_key=key, body=b"x" * 40))
    body_sizes = {claim.idempotency_key: len(claim.body) for claim in ledger}
    assert body_sizes == {"o0": 0, "o1": 0, "o2": 40, "o3": 40}
    assert expect_refusal(ledger.open, 3, OPEN).status is Status.INVALID
    large = b"x" * (ledger_module.MAX_BODY_BYTES + 1)
    other_ledger = Ledger()
    other_ledger.open(1, OPEN)
    assert other_ledger.close(2, evolve(DONE, body=large)).body == b""


class AtMostOnce(RuleBasedStateMachine):
    """Routers that are lost, report late outcomes and resend requests.

    Guards against a second run of one request. A run counts once an attempt sends the
    request to a target.
    """

    def __init__(self):
        super().__init__()
        self.ledger = Ledger()
        self.now = 0
        self.attempts = 0
        self.claimed: list[OpenClaim] = []
        self.close_commands: list[CloseClaim] = []
        self.runs = 0

    def tick(self) -> int:
        self.now += 1
        return self.now

    @rule(router=st.sampled_from(["entry-1/i1", "entry-1/i2", "entry-2/i1"]))
    def open(self, router):
        self.attempts += 1
        command = evolve(OPEN, router=router, attempt=f"a{self.attempts}")
        try:
            self.ledger.open(self.tick(), command)
        except ClaimError:
            return
        self.claimed.append(command)

    @rule(data=st.data(), state=st.sampled_from(list(ClaimState)[1:]))
    def send_and_close(self, data, state):
        """An attempt sends its request once, unless it reports NOT_RUN."""
        if not self.claimed:
            return
        position = data.draw(st.integers(0, len(self.claimed) - 1))
        command = self.claimed.pop(position)
        self.runs += state is not ClaimState.NOT_RUN
        self.close_commands.append(evolve(DONE, attempt=command.attempt, state=state))

    @rule(data=st.data())
    def deliver_close(self, data):
        if not self.close_commands:
            return
        close = data.draw(st.sampled_from(self.close_commands))
        try:
            self.ledger.close(self.tick(), close)
        except ClaimError:
            return

    @rule(vm=st.sampled_from(["entry-1", "entry-2"]), is_lost=st.booleans())
    def mark_claims_unknown(self, vm, is_lost):
        self.ledger.mark_claims_unknown(self.tick(), vm, "i1", is_lost)

    @rule()
    def expire_running(self):
        """Expires claims opened before time 1, the first time of this test."""
        self.ledger.expire(1)

    @invariant()
    def at_most_one_run(self):
        assert self.runs <= 1


TestAtMostOnce = AtMostOnce.TestCase
