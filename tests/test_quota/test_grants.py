"""Exchanges between the owner and routers, without network faults."""

from __future__ import annotations

import pytest

from berylnotch.quota import LocalQuota, QuotaOwner, QuotaSettings
from berylnotch.quota.messages import GrantReply
from tests.test_quota.fakes import FakeLimit, exchange, request

SETTINGS = QuotaSettings()
STEADY_AT = SETTINGS.owner_lifetime_s
LIMITS = {"clinic": FakeLimit(rate=100, burst=1000)}


@pytest.fixture
def owner():
    return QuotaOwner(SETTINGS, term=1, now=0.0)


@pytest.fixture
def router():
    return LocalQuota(SETTINGS)


def test_new_owner_grants_nothing_until_older_grants_are_over(owner, router):
    router.want("clinic", 10)
    exchange(owner, router, STEADY_AT - 0.01, LIMITS)
    assert router.balance(STEADY_AT, "clinic") == 0
    exchange(owner, router, STEADY_AT + 1, LIMITS)
    assert router.balance(STEADY_AT + 1, "clinic") == 10


def test_charge_needs_held_tokens(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    exchange(owner, router, now, LIMITS)
    assert not router.charge(now, "clinic", 51)
    assert router.charge(now, "clinic", 50)
    assert not router.charge(now, "clinic", 1)


def test_held_tokens_expire_with_the_lifetime(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    exchange(owner, router, now, LIMITS)
    assert router.balance(now + SETTINGS.lifetime_s, "clinic") == 0


def test_unused_tokens_return_to_the_bucket(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    exchange(owner, router, now, LIMITS)
    assert owner.level(now, "clinic") == 950
    router.want("clinic", 0)
    exchange(owner, router, now, LIMITS)
    assert owner.level(now, "clinic") == 1000


def test_reply_of_an_abandoned_exchange_is_discarded(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    late = owner.grant(now, request(router, now), LIMITS)
    exchange(owner, router, now, LIMITS)
    assert not router.receive(now, late)
    assert router.balance(now, "clinic") == 50
    assert owner.level(now, "clinic") == 950


def test_organisation_far_over_its_rate_gets_a_retry_after(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 5000, first=1000)
    exchange(owner, router, now, LIMITS)
    router.want("clinic", 5000, first=1000)
    assert router.charge(now, "clinic", 1000)
    exchange(owner, router, now, LIMITS)
    assert 50_000 <= router.retry_after_ms("clinic") <= 52_000


def test_two_waiting_routers_get_their_full_amounts_in_turn(owner):
    now = STEADY_AT + 20
    first, second = LocalQuota(SETTINGS), LocalQuota(SETTINGS)
    first.want("clinic", 800)
    second.want("clinic", 800)
    exchange(owner, first, now, LIMITS, "vm-a")
    exchange(owner, second, now, LIMITS, "vm-b")
    assert first.charge(now, "clinic", 800)
    first.want("clinic", 100, first=1)
    exchange(owner, first, now + 0.5, LIMITS, "vm-a")
    assert first.balance(now + 0.5, "clinic") == 0
    exchange(owner, second, now + 6.5, LIMITS, "vm-b")
    assert second.charge(now + 6.5, "clinic", 800)


def test_tokens_charged_while_the_reply_was_in_flight_stay_charged(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    exchange(owner, router, now, LIMITS)
    router.want("clinic", 10, first=1)
    reply = owner.grant(now, request(router, now), LIMITS)
    held = router.balance(now, "clinic")
    assert router.charge(now, "clinic", held)
    router.receive(now, reply)
    assert router.balance(now, "clinic") == reply.grants[0].tokens - held


def test_late_reply_of_another_exchange_adds_nothing(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 1000)
    late = owner.grant(now, request(router, now), LIMITS)
    exchange(owner, router, now, LIMITS)
    router.charge(now, "clinic", 1000)
    assert not router.receive(now, late)
    assert router.balance(now, "clinic") == 0


def test_lifetime_counts_from_when_the_request_was_sent(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    reply = owner.grant(now + 1.5, request(router, now), LIMITS)
    router.balance(now + 1.9, "clinic")
    router.receive(now, reply)
    assert router.balance(now + 1.9, "clinic") == 50
    assert router.balance(now + 2.0, "clinic") == 0


def test_expired_tokens_are_not_renewed_by_a_late_request(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 600, first=10)
    exchange(owner, router, now, LIMITS)
    router.want("clinic", 300, first=10)
    delayed = request(router, now + 1.9)
    reply = owner.grant(now + 9, delayed, LIMITS)
    router.receive(now + 1.9, reply)
    assert router.balance(now + 1.95, "clinic") == reply.grants[0].tokens
    assert owner.level(now + 9, "clinic") + reply.grants[0].tokens == 1000


def test_held_tokens_keep_their_expiry_through_a_change_of_owner(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    exchange(owner, router, now, LIMITS)
    successor = QuotaOwner(SETTINGS, term=2, now=now + 1)
    exchange(successor, router, now + 1.5, LIMITS)
    assert router.balance(now + 1.9, "clinic") == 50
    assert router.balance(now + 2.0, "clinic") == 0


def test_new_owner_does_not_refund_tokens_granted_by_the_previous_owner(owner, router):
    """Guards against a report of older grants filling the new owner's bucket.

    The bucket of the new owner is empty until the new owner has refilled it.
    """
    now = STEADY_AT + 20
    router.want("clinic", 500)
    exchange(owner, router, now, LIMITS)
    delayed = request(router, now + 1.9)
    successor = QuotaOwner(SETTINGS, term=2, now=now + 3)
    successor.grant(now + 4, delayed, LIMITS)
    router.want("clinic", 0)
    exchange(successor, router, successor.steady_from + 1, LIMITS)
    assert successor.level(successor.steady_from + 1, "clinic") <= 100 + 1e-6


def test_request_larger_than_the_burst_does_not_block_others(owner):
    now = STEADY_AT + 20
    first, second = LocalQuota(SETTINGS), LocalQuota(SETTINGS)
    first.want("clinic", 1001)
    second.want("clinic", 900)
    exchange(owner, first, now, LIMITS, "vm-a")
    exchange(owner, second, now, LIMITS, "vm-b")
    assert second.balance(now, "clinic") == 900


def test_use_above_the_share_worsens_the_priority(owner):
    limits = {name: FakeLimit(rate=1e4, burst=1e6) for name in ("large", "small")}
    router, now = LocalQuota(SETTINGS), STEADY_AT + 100
    for step in range(40):
        for name, tokens in (("large", 900), ("small", 30)):
            router.want(name, tokens)
            exchange(owner, router, now + step, limits)
            assert router.charge(now + step, name, tokens)
    exchange(owner, router, now + 40, limits)
    assert router.priority("small") < 4 < router.priority("large")


def test_new_owner_does_not_revive_tokens_that_expired_in_flight(owner, router):
    now = STEADY_AT + 20
    other = LocalQuota(SETTINGS)
    router.want("clinic", 500)
    exchange(owner, router, now, LIMITS, "vm-a")
    delayed = request(router, now + 1.9, "vm-a")
    later = now + 3.5
    other.want("clinic", 600)
    exchange(owner, other, later, LIMITS, "vm-b")
    successor = QuotaOwner(SETTINGS, term=2, now=later)
    reply = successor.grant(later, delayed, LIMITS)
    router.receive(now + 1.9, reply)
    assert other.balance(later, "clinic") == 600
    assert router.balance(later, "clinic") == 0


def test_half_of_the_burst_is_reserved_for_waiting_work(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 600)
    exchange(owner, router, now, LIMITS)
    assert router.charge(now, "clinic", 600)
    router.want("clinic", 0)
    reply = exchange(owner, router, now, LIMITS)
    assert reply.grants[0].tokens == 0
    router.want("clinic", 300)
    exchange(owner, router, now, LIMITS)
    assert router.charge(now, "clinic", 300)


def test_repeated_and_overtaken_requests_change_nothing(owner, router):
    now = STEADY_AT + 20
    router.want("clinic", 50)
    overtaken = request(router, now)
    newest = request(router, now)
    owner.grant(now, newest, LIMITS)
    for message in (newest, overtaken):
        assert owner.grant(now, message, LIMITS).grants == ()
    assert owner.level(now, "clinic") == 950


def test_grant_of_an_unreachable_router_stays_outstanding_until_it_expires(
    owner, router
):
    now = STEADY_AT + 20
    router.want("clinic", 500)
    exchange(owner, router, now, LIMITS)
    expires_at = now + SETTINGS.owner_lifetime_s
    assert owner.level(expires_at - 0.001, "clinic") == 500
    assert owner.level(expires_at + 1, "clinic") == pytest.approx(600)


def test_pace_sets_the_interval_of_requests_while_no_work_waits(router):
    router.pace(1.5)
    router.asks(10.0)
    sequence = router.sequence
    router.receive(10.0, GrantReply(1, sequence))
    assert router.next_ask_at == 11.5
    router.want("clinic", 10)
    assert router.next_ask_at < 10.1


def test_work_does_not_wait_for_a_request_that_was_not_sent(router):
    assert router.asks(10.0) == ()
    router.withdraw()
    router.pace(1.0)
    assert router.next_ask_at <= 10.0
    router.want("clinic", 10)
    assert router.next_ask_at < 10.1
