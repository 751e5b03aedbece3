"""Estimates of prefill and queueing times from measured times to first token."""

import random

import pytest

from berylnotch.placement.costs import MAX_TOKEN_MS, CostMeter, EngineCosts


def record_measurements(meter, token_ms, base_ms, count, seed=1):
    rng = random.Random(seed)
    for _ in range(count):
        tokens = rng.choice((600, 2400, 6000, 12_000))
        noise = rng.uniform(0.9, 1.3)
        meter.note(tokens, base_ms + tokens * token_ms * noise)


@pytest.mark.parametrize("tokens_per_ms", [20, 40, 80, 200])
def test_prefill_time_is_learned_for_engines_of_any_speed(tokens_per_ms):
    meter = CostMeter()
    record_measurements(meter, 1 / tokens_per_ms, 45.0, 60)
    assert meter.token_ms == pytest.approx(1.1 / tokens_per_ms, rel=0.25)


def test_estimate_follows_a_change_of_the_engines():
    meter = CostMeter()
    record_measurements(meter, 1 / 80, 40.0, 200)
    fast = meter.token_ms
    record_measurements(meter, 1 / 20, 40.0, 100)
    assert meter.token_ms > 2 * fast


def test_extreme_measurements_keep_the_estimate_within_bounds():
    meter = CostMeter()
    for _ in range(300):
        meter.note(5000, 1e9)
    assert meter.token_ms <= MAX_TOKEN_MS
    meter.note(0, 5.0)
    meter.note(5000, -1.0)
    assert 0 < meter.token_ms


def test_copy_between_failure_domains_takes_twice_as_long():
    costs = EngineCosts(copy_tokens_per_ms=1000.0, store_tokens_per_ms=100.0)
    assert costs.copy_ms(5000, is_far=True) == 2 * costs.copy_ms(5000, is_far=False)
    assert costs.store_ms(5000) > costs.copy_ms(5000, is_far=True)


def test_queue_share_of_each_priority_is_learned():
    meter = CostMeter()

    def record_wait(priority, waited_ms, queue_ms=400.0):
        took_ms = meter.base_ms + 2000 * meter.token_ms + waited_ms
        meter.note_wait(priority, True, 2000, queue_ms, took_ms)

    for _ in range(100):
        record_wait(0, 40.0)
        record_wait(1, 300.0)
    assert meter.queue_share(0, True) == pytest.approx(0.1, abs=0.02)
    assert meter.queue_share(1, True) == pytest.approx(0.75, abs=0.02)
    assert meter.queue_share(7, False) == 1.0
    for _ in range(200):
        record_wait(0, 5000.0)
    assert 0.9 < meter.queue_share(0, True) <= 1.0
    before = meter.queue_share(1, True)
    record_wait(1, 5000.0, queue_ms=10.0)
    assert meter.queue_share(1, True) == before


def test_largest_overshoot_decays_with_later_answers():
    meter = CostMeter()
    assert meter.max_overshoot_ms == 0.0
    meter.note_overshoot(100.0, 2000.0)
    meter.note_overshoot(100.0, 50.0)
    assert 1800 < meter.max_overshoot_ms < 1900
    for _ in range(500):
        meter.note_overshoot(100.0, 110.0)
    assert meter.max_overshoot_ms == pytest.approx(10.0, abs=5.0)
