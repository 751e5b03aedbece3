"""Estimates of prefill and queueing times from measured times to first token."""

import random

import pytest

from berylnotch.placement.costs import MAX_TOKEN_MS, EngineCosts, PrefillEstimator


def record_measurements(estimator, token_ms, base_ms, count, seed=1):
    rng = random.Random(seed)
    for _ in range(count):
        tokens = rng.choice((600, 2400, 6000, 12_000))
        noise = rng.uniform(0.9, 1.3)
        estimator.record_prefill(tokens, base_ms + tokens * token_ms * noise)


@pytest.mark.parametrize("tokens_per_ms", [20, 40, 80, 200])
def test_prefill_time_is_learned_for_engines_of_any_speed(tokens_per_ms):
    estimator = PrefillEstimator()
    record_measurements(estimator, 1 / tokens_per_ms, 45.0, 60)
    assert estimator.token_ms == pytest.approx(1.1 / tokens_per_ms, rel=0.25)


def test_estimate_follows_a_change_of_the_engines():
    estimator = PrefillEstimator()
    record_measurements(estimator, 1 / 80, 40.0, 200)
    fast = estimator.token_ms
    record_measurements(estimator, 1 / 20, 40.0, 100)
    assert estimator.token_ms > 2 * fast


def test_extreme_measurements_keep_the_estimate_within_bounds():
    estimator = PrefillEstimator()
    for _ in range(300):
        estimator.record_prefill(5000, 1e9)
    assert estimator.token_ms <= MAX_TOKEN_MS
    estimator.record_prefill(0, 5.0)
    estimator.record_prefill(5000, -1.0)
    assert 0 < estimator.token_ms


def test_copy_between_failure_domains_takes_twice_as_long():
    costs = EngineCosts(copy_tokens_per_ms=1000.0, store_tokens_per_ms=100.0)
    assert costs.copy_ms(5000, is_far=True) == 2 * costs.copy_ms(5000, is_far=False)
    assert costs.store_ms(5000) > costs.copy_ms(5000, is_far=True)


def test_queue_share_of_each_priority_is_learned():
    estimator = PrefillEstimator()

    def record_wait(priority, waited_ms, queue_ms=400.0):
        took_ms = estimator.base_ms + 2000 * estimator.token_ms + waited_ms
        estimator.record_queue_wait(priority, True, 2000, queue_ms, took_ms)

    for _ in range(100):
        record_wait(0, 40.0)
        record_wait(1, 300.0)
    assert estimator.queue_share(0, True) == pytest.approx(0.1, abs=0.02)
    assert estimator.queue_share(1, True) == pytest.approx(0.75, abs=0.02)
    assert estimator.queue_share(7, False) == 1.0
    for _ in range(200):
        record_wait(0, 5000.0)
    assert 0.9 < estimator.queue_share(0, True) <= 1.0
    before = estimator.queue_share(1, True)
    record_wait(1, 5000.0, queue_ms=10.0)
    assert estimator.queue_share(1, True) == before


def test_largest_overshoot_decays_with_later_answers():
    estimator = PrefillEstimator()
    assert estimator.max_overshoot_ms == 0.0
    estimator.record_overshoot(100.0, 2000.0)
    estimator.record_overshoot(100.0, 50.0)
    assert 1800 < estimator.max_overshoot_ms < 1900
    for _ in range(500):
        estimator.record_overshoot(100.0, 110.0)
    assert estimator.max_overshoot_ms == pytest.approx(10.0, abs=5.0)
