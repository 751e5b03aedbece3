"""Service order, limits and removal of requests in the fair queue."""

from __future__ import annotations

import itertools

import pytest

from berylnotch.admission import (
    AdmissionSettings,
    FairQueue,
    Fit,
    RefusalReason,
    Ticket,
)

_numbers = itertools.count()


def ticket(organisation="clinic", cost=1.0, share=1.0, deadline=100.0, priority=4):
    identity = f"request-{next(_numbers)}"
    return Ticket(identity, organisation, share, cost, deadline, 0.0, priority)


def pop_organisations(queue, count):
    return [queue.pop(0.0, lambda _: True).organisation for _ in range(count)]


@pytest.fixture
def queue():
    return FairQueue(AdmissionSettings(max_tickets=100))


def test_small_organisation_does_not_wait_for_a_large_backlog(queue):
    for _ in range(40):
        queue.offer(0.0, ticket("university"))
    queue.offer(0.0, ticket("clinic"))
    assert "clinic" in pop_organisations(queue, 2)


def test_service_follows_the_shares(queue):
    for _ in range(20):
        queue.offer(0.0, ticket("large", share=3.0))
        queue.offer(0.0, ticket("small", share=1.0))
    served = pop_organisations(queue, 16)
    assert served.count("large") == 12


def test_worse_priority_lowers_the_weight(queue):
    for _ in range(20):
        queue.offer(0.0, ticket("heavy", priority=6))
        queue.offer(0.0, ticket("light", priority=4))
    served = pop_organisations(queue, 18)
    assert served.count("light") == 12


def test_large_organisation_leaves_queue_slots_for_others(queue):
    refusals = [queue.offer(0.0, ticket("university")) for _ in range(100)]
    assert refusals[-1].reason is RefusalReason.ORGANISATION_FULL
    assert queue.offer(0.0, ticket("clinic")) is None


def test_next_organisation_is_served_if_the_first_does_not_fit(queue):
    queue.offer(0.0, ticket("university"))
    queue.offer(0.0, ticket("clinic"))
    assert queue.pop(0.0, lambda t: t.organisation == "clinic") is not None
    assert len(queue) == 1


def test_expired_and_cancelled_requests_are_never_served(queue):
    expiring, cancelled = ticket(deadline=1.0), ticket()
    queue.offer(0.0, expiring)
    queue.offer(0.0, cancelled)
    assert queue.expire(1.0) == (expiring,)
    assert queue.cancel(cancelled)
    assert not queue.cancel(cancelled)
    assert queue.pop(1.0, lambda _: True) is None


def test_slowly_served_backlog_refuses_early_with_its_expected_wait(queue):
    for step in range(40):
        queue.offer(step / 10, ticket())
    for step in range(4):
        queue.pop(4.0 + step, lambda _: True)
    refusal = queue.offer(8.0, ticket())
    assert refusal.reason is RefusalReason.WAIT_TOO_LONG
    assert 5_000 < refusal.retry_after_ms <= 30_000


def test_lack_of_tokens_does_not_count_as_slow_service(queue):
    for step in range(10):
        queue.offer(step / 10, ticket())
    for step in range(1000):
        assert queue.pop(1.0 + step / 10, lambda _: Fit.NO_TOKENS) is None
    assert queue.offer(99.0, ticket(deadline=200.0)) is None


def test_woken_organisation_is_considered_at_once(queue):
    waiting = ticket()
    queue.offer(0.0, waiting)
    assert queue.pop(0.0, lambda _: False) is None
    assert queue.pop(0.0, lambda _: True) is None
    queue.wake("clinic")
    assert queue.pop(0.0, lambda _: True) is waiting


def test_expired_head_does_not_block_the_next_request(queue):
    expired, live = ticket(deadline=1.0), ticket()
    queue.offer(0.0, expired)
    queue.offer(0.0, live)
    assert queue.pop(2.0, lambda _: True) is live
    assert queue.expire(2.0) == (expired,)


def test_next_request_is_considered_once_a_head_without_tokens_is_cancelled(queue):
    large, small = ticket(cost=500.0), ticket(cost=1.0)
    queue.offer(0.0, large)
    queue.offer(0.0, small)
    assert queue.pop(0.0, lambda t: t.cost < 100) is None
    queue.cancel(large)
    assert queue.pop(0.0, lambda t: t.cost < 100) is small
