"""Cache events as hints."""

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
    return CacheHints(max_entries=100, keep_s=30.0)


def look(hints: CacheHints, now: float = 1.0, incarnation: str = "a") -> Hint:
    return hints.cached_pieces(now, ENGINE, incarnation, CHAIN)


def test_stored_and_removed_pieces_bound_what_is_cached(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    assert look(hints) == Hint(known=4, likely=4, limit=6)
    hints.apply(1.0, event(2, removed=CHAIN[2:4]))
    assert look(hints) == Hint(known=2, likely=2, limit=2)


def test_nothing_is_known_after_a_gap(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    hints.apply(1.0, event(3, stored=CHAIN[:1]))
    assert look(hints) == Hint(known=1, likely=4, limit=6)


def test_removal_before_a_gap_is_forgotten(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:2], removed=CHAIN[3:4]))
    assert look(hints).limit == 3
    hints.apply(1.0, event(3))
    assert look(hints) == Hint(known=0, likely=2, limit=6)


def test_repeated_and_late_events_change_nothing(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    hints.apply(1.0, event(2, removed=CHAIN[1:4]))
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    assert look(hints).limit == 1


def test_old_entries_are_not_used(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4]))
    assert look(hints, now=32.0) == Hint(0, 0, 6)


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
            assert look(hints, incarnation=other) == Hint(0, 0, 6)


@given(st.integers(1, 50), st.integers(1, 200))
def test_memory_is_bounded(limit, count):
    hints = CacheHints(max_entries=limit)
    prefixes = [i.to_bytes(16, "big") for i in range(count)]
    for sequence, prefix in enumerate(prefixes, start=1):
        hints.apply(1.0, event(sequence, stored=[prefix]))
    held = sum(
        hints.cached_pieces(1.0, ENGINE, "a", (prefix,)).known for prefix in prefixes
    )
    assert held == min(limit, count)


def test_process_that_was_forgotten_as_lost_may_still_send_events(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4], incarnation="b"))
    hints.forget(ENGINE)
    assert look(hints, incarnation="b") == Hint(0, 0, 6)
    hints.apply(1.0, event(2, stored=CHAIN[:2], incarnation="b"))
    assert look(hints, incarnation="b").known == 2


def test_own_request_with_a_late_incarnation_does_not_end_the_new_one(hints):
    hints.apply(1.0, event(1, stored=CHAIN[:4], incarnation="b"))
    hints.expect(1.0, ENGINE, "a", CHAIN)
    hints.apply(1.0, event(2, stored=CHAIN[:5], incarnation="b"))
    assert look(hints, incarnation="b").known == 5
    assert look(hints, incarnation="a") == Hint(0, 0, 6)
