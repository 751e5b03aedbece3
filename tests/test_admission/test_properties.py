"""Shares, bounded memory and no lost request in the fair queue, in any call order."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylnotch.admission import (
    AdmissionSettings,
    FairQueue,
    Fit,
    RefusalReason,
    Ticket,
)

MAX_TICKETS = 20
ORGANISATIONS = ["a", "b", "c", "d"]


@settings(max_examples=100)
@given(
    costs=st.lists(
        st.tuples(st.integers(1, 1000), st.integers(1, 1000)), min_size=40, max_size=40
    ),
    shares=st.tuples(st.integers(1, 9), st.integers(1, 9)),
)
def test_backlogged_organisations_get_their_shares(costs, shares):
    """The fairness bound of start-time fair queueing holds in every interval."""
    queue = FairQueue(AdmissionSettings(max_tickets=1000))
    for number, pair in enumerate(costs):
        for name, cost, share in zip("ab", pair, shares, strict=True):
            queue.offer(0.0, Ticket(f"{name}{number}", name, share, cost, 9.0, 0.0))
    max_normalised_cost = [max(pair[i] for pair in costs) / shares[i] for i in (0, 1)]
    lead, lowest, highest = 0.0, 0.0, 0.0
    n_left = {"a": len(costs), "b": len(costs)}
    while min(n_left.values()) > 0:
        served = queue.pop(0.0, lambda _: True)
        n_left[served.organisation] -= 1
        sign = 1 if served.organisation == "a" else -1
        lead += sign * served.cost / served.share
        lowest, highest = min(lowest, lead), max(highest, lead)
        assert highest - lead <= sum(max_normalised_cost) + 1e-9
        assert lead - lowest <= sum(max_normalised_cost) + 1e-9


class FairQueueMachine(RuleBasedStateMachine):
    """Checks that each offered request is refused or leaves the queue exactly once."""

    def __init__(self):
        super().__init__()
        self.queue = FairQueue(AdmissionSettings(max_tickets=MAX_TICKETS))
        self.numbers = itertools.count()
        self.waiting = {}
        self.now = 0.0

    @rule(elapsed_s=st.sampled_from([0.001, 0.02, 0.5, 3.0]))
    def wait(self, elapsed_s):
        self.now += elapsed_s

    @rule(
        organisation=st.sampled_from(ORGANISATIONS),
        count=st.sampled_from([1, 3, 15]),
        timeout_s=st.sampled_from([0.5, 10.0]),
        cost=st.sampled_from([1.0, 500.0]),
    )
    def offer(self, organisation, count, timeout_s, cost):
        for _ in range(count):
            identity = str(next(self.numbers))
            deadline = self.now + timeout_s
            ticket = Ticket(identity, organisation, 1.0, cost, deadline, self.now)
            self.check_outcome(ticket, self.queue.offer(self.now, ticket))

    def check_outcome(self, ticket, refusal):
        own_tickets = [
            t for t in self.waiting.values() if t.organisation == ticket.organisation
        ]
        n_free = MAX_TICKETS - len(self.waiting)
        if refusal is None:
            self.waiting[ticket.identity] = ticket
            assert n_free > 0
            return
        assert refusal.retry_after_ms > 0
        if refusal.reason is RefusalReason.QUEUE_FULL:
            assert n_free == 0
        elif refusal.reason is RefusalReason.ORGANISATION_FULL:
            assert len(own_tickets) >= n_free
        else:
            assert refusal.reason is RefusalReason.WAIT_TOO_LONG and own_tickets

    @rule(fitting_organisations=st.sets(st.sampled_from(ORGANISATIONS)))
    def pop(self, fitting_organisations):
        def fits(ticket):
            return (
                Fit.FITS
                if ticket.organisation in fitting_organisations
                else Fit.NO_TOKENS
            )

        ticket = self.queue.pop(self.now, fits)
        if ticket is not None:
            assert ticket.organisation in fitting_organisations
            assert ticket.deadline > self.now
            assert self.waiting.pop(ticket.identity) is ticket

    @rule()
    def drain(self):
        """Deferred organisations are served after `wake`."""
        for organisation in ORGANISATIONS:
            self.queue.wake(organisation)
        while (ticket := self.queue.pop(self.now, lambda _: True)) is not None:
            assert self.waiting.pop(ticket.identity) is ticket
        assert all(t.deadline <= self.now for t in self.waiting.values())

    @rule(index=st.integers(0, 100))
    def cancel(self, index):
        if self.waiting:
            identity = sorted(self.waiting)[index % len(self.waiting)]
            assert self.queue.cancel(self.waiting.pop(identity))

    @rule()
    def expire(self):
        for ticket in self.queue.expire(self.now):
            assert ticket.deadline <= self.now
            assert self.waiting.pop(ticket.identity) is ticket
        assert all(t.deadline > self.now for t in self.waiting.values())

    @rule(organisation=st.sampled_from(ORGANISATIONS))
    def wake(self, organisation):
        self.queue.wake(organisation)

    @invariant()
    def memory_is_bounded(self):
        assert len(self.queue) <= MAX_TICKETS
        assert self.queue.n_entries <= 3 * (2 * MAX_TICKETS + 65) + 2 * MAX_TICKETS


FairQueueMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50)
TestFairQueue = FairQueueMachine.TestCase
