"""Estimates of cache contents from events that are late, repeated or missing."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.placement.hints import CacheEvent, CacheHints, Hint

CHAIN = tuple(bytes([i]) * 16 for i in range(6))
ENGINE = "engine-1"


def event(sequence: int, stored=(), removed=(), incarnation="a") -> CacheEvent:
    return CacheEvent(ENGINE, incarnation, sequence, tuple(stored), tuple(removed))


@pytest.fixture
def hints() -> CacheHints:
    return CacheHints(max_entries=100, ttl_s=30.0)


def cached_hint(hints: CacheHints, now: float = 1.0, incarnation: str = "a") -> Hint:
    return hints.cached_blocks(now, ENGINE, incarnation, CHAIN)


def test_stored_and_removed_blocks_bound_the_cached_prefix(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    assert cached_hint(hints) == Hint(confirmed=4, likely=4, limit=6)
    hints.apply(1.0, event(2, removed=CHAIN[2:4]))
    assert cached_hint(hints) == Hint(confirmed=2, likely=2, limit=2)


def test_entries_from_before_a_gap_are_not_confirmed(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    hints.apply(1.0, event(3, stored=CHAIN[:1]))
    assert cached_hint(hints) == Hint(confirmed=1, likely=4, limit=6)


def test_removal_before_a_gap_is_forgotten(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:2], removed=CHAIN[3:4]))
    assert cached_hint(hints).limit == 3
    hints.apply(1.0, event(3))
    assert cached_hint(hints) == Hint(confirmed=0, likely=2, limit=6)


def test_repeated_and_late_events_are_ignored(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    hints.apply(1.0, event(2, removed=CHAIN[1:4]))
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    assert cached_hint(hints).limit == 1


def test_old_entries_are_not_used(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    assert cached_hint(hints, now=32.0) == Hint(0, 0, 6)


@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(1, 9), st.integers(1, 6)),
        max_size=30,
    )
)
def test_no_entry_of_an_ended_incarnation_is_used(steps):
    hints = CacheHints()
    seen: list[str] = []
    for incarnation, sequence, depth in steps:
        hints.apply(1.0, event(sequence, CHAIN[:depth], (), incarnation))
        if incarnation not in seen:
            seen.append(incarnation)
        for other in set("abc") - {seen[-1]}:
            assert cached_hint(hints, incarnation=other) == Hint(0, 0, 6)


@given(st.integers(1, 50), st.integers(1, 200))
def test_memory_is_bounded(limit, count):
    hints = CacheHints(max_entries=limit)
    prefixes = [i.to_bytes(16, "big") for i in range(count)]
    for sequence, prefix in enumerate(prefixes, start=1):
        hints.apply(1.0, event(sequence, stored=[prefix]))
    confirmed_blocks = sum(
        hints.cached_blocks(1.0, ENGINE, "a", (prefix,)).confirmed
        for prefix in prefixes
    )
    assert confirmed_blocks == min(limit, count)


def test_events_of_a_process_that_was_taken_for_lost_are_applied(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4], incarnation="b"))
    hints.forget(ENGINE)
    assert cached_hint(hints, incarnation="b") == Hint(0, 0, 6)
    hints.apply(1.0, event(2, stored=CHAIN[:2], incarnation="b"))
    assert cached_hint(hints, incarnation="b").confirmed == 2


def test_request_to_an_outdated_incarnation_does_not_end_the_new_one(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4], incarnation="b"))
    hints.record_request(1.0, ENGINE, "a", CHAIN)
    hints.apply(1.0, event(2, stored=CHAIN[:5], incarnation="b"))
    assert cached_hint(hints, incarnation="b").confirmed == 5
    assert cached_hint(hints, incarnation="a") == Hint(0, 0, 6)
