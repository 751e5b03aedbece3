"""Organisations within their rate are served, regardless of the load of others."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.quota_driver import Arrival, Driver
from berylnotch.quota import QuotaSettings
from tests.test_quota.fakes import FakeLimit

SETTINGS = QuotaSettings()
RUN_S = 12.0


def draw_arrivals(rng, name, limit, n_routers, fraction, max_cost_fraction=1.0):
    """Draw arrivals that stay within ``fraction`` of the rate and of the burst."""
    level, at = limit.burst * fraction, 0.0
    drawn = []
    while True:
        cost = max(1, int(limit.burst * fraction * max_cost_fraction * rng.random()))
        refill_s = max(0.0, cost - level) / (limit.rate * fraction)
        gap_s = refill_s * (1 + rng.random() / 4)
        at += gap_s
        level = (
            min(limit.burst * fraction, level + gap_s * limit.rate * fraction) - cost
        )
        if at > RUN_S:
            return drawn
        drawn.append(Arrival(at, rng.randrange(n_routers), name, cost))


@settings(max_examples=40)
@given(
    seed=st.integers(0, 2**32),
    n_routers=st.integers(1, 12),
    burst_s=st.sampled_from([1.0, 4.0, 20.0]),
    max_cost_fraction=st.sampled_from([0.05, 0.3, 1.0]),
)
def test_ninety_percent_of_the_rate_is_never_refused(
    seed, n_routers, burst_s, max_cost_fraction
):
    limit = FakeLimit(rate=1000, burst=1000 * burst_s)
    driver = Driver(SETTINGS, {"clinic": limit}, n_routers)
    drawn = draw_arrivals(
        random.Random(seed), "clinic", limit, n_routers, 0.9, max_cost_fraction
    )
    driver.run(drawn, RUN_S + SETTINGS.wait_s)
    outcome = driver.outcomes["clinic"]
    assert outcome.refused == 0
    assert len(outcome.waits) == len(drawn)
    assert max(outcome.waits) <= SETTINGS.wait_s


def test_conforming_organisations_are_unaffected_by_an_overloading_organisation():
    rng = random.Random(5)
    limits = {f"quiet-{n}": FakeLimit(rate=1000, burst=4000) for n in range(4)}
    drawn = []
    for name, limit in limits.items():
        drawn += draw_arrivals(rng, name, limit, 6, 0.9, 0.2)
    limits["loud"] = FakeLimit(rate=1000, burst=4000)
    drawn += [
        Arrival(at / 100, rng.randrange(6), "loud", 50)
        for at in range(int(RUN_S) * 100)
    ]
    driver = Driver(SETTINGS, limits, 6)
    driver.run(drawn, RUN_S + SETTINGS.wait_s)
    conforming_outcomes = [driver.outcomes[f"quiet-{n}"] for n in range(4)]
    overloading_outcome = driver.outcomes["loud"]
    assert [outcome.refused for outcome in conforming_outcomes] == [0] * 4
    assert max(max(outcome.waits) for outcome in conforming_outcomes) <= SETTINGS.wait_s
    assert overloading_outcome.refused > 0
    assert overloading_outcome.charged <= 4000 + 1000 * (RUN_S + SETTINGS.wait_s)


def test_lost_replies_refuse_no_request_within_the_rate():
    rng = random.Random(3)
    limit = FakeLimit(rate=1000, burst=4000)
    drawn = draw_arrivals(rng, "clinic", limit, 6, 0.9, 0.1)
    driver = Driver(SETTINGS, {"clinic": limit}, 6, loss=0.2)
    driver.run(drawn, RUN_S + SETTINGS.wait_s)
    outcome = driver.outcomes["clinic"]
    assert outcome.refused == 0
    assert len(outcome.waits) == len(drawn)
    assert max(outcome.waits) <= SETTINGS.wait_s


def test_change_of_owner_refuses_no_request_within_the_rate():
    rng = random.Random(7)
    limit = FakeLimit(rate=1000, burst=4000)
    drawn = draw_arrivals(rng, "clinic", limit, 6, 0.5, 0.1)
    driver = Driver(SETTINGS, {"clinic": limit}, 6)
    driver.run(drawn, RUN_S + 30, owner_lost=4.0, owner_back=7.0)
    outcome = driver.outcomes["clinic"]
    assert outcome.refused == 0
    assert len(outcome.waits) == len(drawn)
