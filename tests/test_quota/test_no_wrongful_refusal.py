"""Organisations inside their rate are served, whatever others do."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.quota_driver import Arrival, Driver
from berylnotch.quota import QuotaSettings
from tests.test_quota.fakes import Limits

SETTINGS = QuotaSettings()
RUN_S = 12.0


def arrivals(rng, name, limit, n_routers, part, largest=1.0):
    """Draw arrivals that keep to ``part`` of the rate and of the burst."""
    room, at = limit.burst * part, 0.0
    drawn = []
    while True:
        cost = max(1, int(limit.burst * part * largest * rng.random()))
        needed_s = max(0.0, cost - room) / (limit.rate * part)
        gap_s = needed_s * (1 + rng.random() / 4)
        at += gap_s
        room = min(limit.burst * part, room + gap_s * limit.rate * part) - cost
        if at > RUN_S:
            return drawn
        drawn.append(Arrival(at, rng.randrange(n_routers), name, cost))


@settings(max_examples=40)
@given(
    seed=st.integers(0, 2**32),
    n_routers=st.integers(1, 12),
    burst_s=st.sampled_from([1.0, 4.0, 20.0]),
    largest=st.sampled_from([0.05, 0.3, 1.0]),
)
def test_ninety_percent_of_the_rate_is_never_refused(seed, n_routers, burst_s, largest):
    limit = Limits(rate=1000, burst=1000 * burst_s)
    driver = Driver(SETTINGS, {"clinic": limit}, n_routers)
    drawn = arrivals(random.Random(seed), "clinic", limit, n_routers, 0.9, largest)
    driver.run(drawn, RUN_S + SETTINGS.wait_s)
    outcome = driver.outcomes["clinic"]
    assert outcome.refused == 0
    assert len(outcome.waits) == len(drawn)
    assert max(outcome.waits) <= SETTINGS.wait_s


def test_quiet_organisations_do_not_suffer_from_a_loud_one():
    rng = random.Random(5)
    limits = {f"quiet-{n}": Limits(rate=1000, burst=4000) for n in range(4)}
    drawn = []
    for name, limit in limits.items():
        drawn += arrivals(rng, name, limit, 6, 0.9, 0.2)
    limits["loud"] = Limits(rate=1000, burst=4000)
    drawn += [
        Arrival(at / 100, rng.randrange(6), "loud", 50)
        for at in range(int(RUN_S) * 100)
    ]
    driver = Driver(SETTINGS, limits, 6)
    driver.run(drawn, RUN_S + SETTINGS.wait_s)
    quiet = [driver.outcomes[f"quiet-{n}"] for n in range(4)]
    loud = driver.outcomes["loud"]
    assert [outcome.refused for outcome in quiet] == [0] * 4
    assert max(max(outcome.waits) for outcome in quiet) <= SETTINGS.wait_s
    assert loud.refused > 0
    assert loud.charged <= 4000 + 1000 * (RUN_S + SETTINGS.wait_s)


def test_lost_replies_refuse_nobody_inside_the_rate():
    rng = random.Random(3)
    limit = Limits(rate=1000, burst=4000)
    drawn = arrivals(rng, "clinic", limit, 6, 0.9, 0.1)
    driver = Driver(SETTINGS, {"clinic": limit}, 6, loss=0.2)
    driver.run(drawn, RUN_S + SETTINGS.wait_s)
    outcome = driver.outcomes["clinic"]
    assert outcome.refused == 0
    assert len(outcome.waits) == len(drawn)
    assert max(outcome.waits) <= SETTINGS.wait_s


def test_change_of_owner_refuses_nobody_inside_the_rate():
    rng = random.Random(7)
    limit = Limits(rate=1000, burst=4000)
    drawn = arrivals(rng, "clinic", limit, 6, 0.5, 0.1)
    driver = Driver(SETTINGS, {"clinic": limit}, 6)
    driver.run(drawn, RUN_S + 30, owner_lost=4.0, owner_back=7.0)
    outcome = driver.outcomes["clinic"]
    assert outcome.refused == 0
    assert len(outcome.waits) == len(drawn)
