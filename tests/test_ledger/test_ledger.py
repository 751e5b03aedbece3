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
from berylnotch.ledger import ledger as module
from berylnotch.ledger.errors import ClaimError
from berylnotch.ledger.ledger import Ledger

OPEN = OpenClaim("clerks", "order-7", b"f", "entry-1/i1", "a1")
DONE = CloseClaim("clerks", "order-7", "a1", ClaimState.DONE, 200, "text", b"ok")
SETTLE = SettleClaim("c", "asha", "clerks", "order-7", ClaimState.NOT_RUN, "no row")


def refused(call, *args) -> ClaimError:
    with pytest.raises(ClaimError) as caught:
        call(*args)
    return caught.value


def test_resend_gets_the_state_of_the_run():
    ledger = Ledger()
    opened = ledger.open(1, OPEN)
    assert ledger.open(2, OPEN) == opened
    resend = evolve(OPEN, attempt="a2")
    error = refused(ledger.open, 3, resend)
    assert (error.status, str(error)) == (Status.EXISTS, "the request is in progress")
    ledger.close(4, DONE)
    assert ledger.close(5, DONE).closed_ms == 4
    assert refused(ledger.open, 6, resend).claim.body == b"ok"


def test_other_request_under_the_same_key_is_refused():
    ledger = Ledger()
    ledger.open(1, OPEN)
    error = refused(ledger.open, 2, evolve(OPEN, fingerprint=b"g", attempt="a2"))
    assert (error.status, error.claim) == (Status.CONFLICT, None)


def test_not_run_may_be_claimed_again_but_not_by_the_same_attempt():
    ledger = Ledger()
    ledger.open(1, OPEN)
    ledger.close(2, evolve(DONE, state=ClaimState.NOT_RUN))
    assert refused(ledger.open, 3, OPEN).status is Status.EXISTS
    assert ledger.open(4, evolve(OPEN, attempt="a2")).attempt == "a2"
    assert refused(ledger.close, 5, DONE).status is Status.CONFLICT


def test_lost_router_then_late_outcome_then_operator():
    ledger = Ledger()
    ledger.open(1, OPEN)
    assert ledger.lose(2, "entry-1", "i2", lost=True) == 0
    assert ledger.lose(2, "entry-2", "", lost=True) == 0
    assert ledger.lose(2, "entry-1", "i2", lost=False) == 1
    assert refused(ledger.open, 3, evolve(OPEN, attempt="a2")).claim.closed_ms == 2
    assert ledger.settle(4, SETTLE).note == "asha: no row"
    assert refused(ledger.close, 5, DONE).status is Status.CONFLICT
    assert refused(ledger.settle, 5, SETTLE).status is Status.CONFLICT


def test_late_outcome_replaces_unknown():
    ledger = Ledger()
    ledger.open(1, OPEN)
    ledger.lose(2, "entry-1", "i1", lost=True)
    assert ledger.close(3, DONE).state is ClaimState.DONE


def test_expiry_keeps_unknown_and_ends_endless_runs():
    ledger = Ledger()
    for number in range(3):
        ledger.open(10, evolve(OPEN, idempotency_key=f"o{number}"))
    ledger.close(20, evolve(DONE, idempotency_key="o0"))
    ledger.lose(20, "entry-1", "i1", lost=True)
    assert ledger.expire(20) == 0
    assert ledger.expire(21) == 1
    ledger.open(30, OPEN)
    ledger.expire(31)
    assert [claim.state for claim in ledger] == [ClaimState.UNKNOWN] * 3


def test_answers_are_bounded(monkeypatch):
    monkeypatch.setattr(module, "MAX_BODIES_BYTES", 100)
    monkeypatch.setattr(module, "MAX_CLAIMS", 4)
    ledger = Ledger()
    for number in range(4):
        key = f"o{number}"
        ledger.open(1, evolve(OPEN, idempotency_key=key))
        ledger.close(2, evolve(DONE, idempotency_key=key, body=b"x" * 40))
    kept = {claim.idempotency_key: len(claim.body) for claim in ledger}
    assert kept == {"o0": 0, "o1": 0, "o2": 40, "o3": 40}
    assert refused(ledger.open, 3, OPEN).status is Status.INVALID
    large = b"x" * (module.MAX_BODY_BYTES + 1)
    other = Ledger()
    other.open(1, OPEN)
    assert other.close(2, evolve(DONE, body=large)).body == b""


class AtMostOnce(RuleBasedStateMachine):
    """Routers that die, wake up late and resend; a run counts when it is sent."""

    def __init__(self):
        super().__init__()
        self.ledger = Ledger()
        self.now = 0
        self.attempts = 0
        self.ready: list[OpenClaim] = []
        self.closes: list[CloseClaim] = []
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
        self.ready.append(command)

    @rule(data=st.data(), state=st.sampled_from(list(ClaimState)[1:]))
    def send_and_close(self, data, state):
        """An attempt sends once, unless it says that it did not."""
        if not self.ready:
            return
        position = data.draw(st.integers(0, len(self.ready) - 1))
        command = self.ready.pop(position)
        self.runs += state is not ClaimState.NOT_RUN
        self.closes.append(evolve(DONE, attempt=command.attempt, state=state))

    @rule(data=st.data())
    def deliver_close(self, data):
        if not self.closes:
            return
        close = data.draw(st.sampled_from(self.closes))
        try:
            self.ledger.close(self.tick(), close)
        except ClaimError:
            return

    @rule(vm=st.sampled_from(["entry-1", "entry-2"]), lost=st.booleans())
    def lose(self, vm, lost):
        self.ledger.lose(self.tick(), vm, "i1", lost)

    @rule()
    def expire_running(self):
        """Nothing closed is old enough, but runs are taken for lost."""
        self.ledger.expire(1)

    @invariant()
    def at_most_one_run(self):
        assert self.runs <= 1


TestAtMostOnce = AtMostOnce.TestCase
