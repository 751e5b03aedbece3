from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.keys.errors import KeyExistsError
from berylnotch.keys.freshness import Freshness
from berylnotch.keys.keyring import AcceptedKey, Keyring, generate_key, hash_key


def test_new_keys_differ_and_hash_depends_on_secret():
    first, second = generate_key(), generate_key()
    assert first.key != second.key
    assert first.key_id in first.key
    assert hash_key(b"a", first.key) == hash_key(b"a", first.key)
    assert hash_key(b"a", first.key) != hash_key(b"b", first.key)
    assert first.key.encode() not in hash_key(b"a", first.key)


def test_keyring_adds_finds_and_removes_keys():
    keyring = Keyring()
    key = AcceptedKey("k1", "clerks", b"h" * 32)
    keyring.add(key)
    for duplicate in (
        AcceptedKey("k1", "x", b"i" * 32),
        AcceptedKey("k2", "x", b"h" * 32),
    ):
        with pytest.raises(KeyExistsError):
            keyring.add(duplicate)
    assert keyring.find_by_hash(b"h" * 32) == key
    assert keyring.remove("k1") == key
    assert keyring.remove("k1") is None
    assert keyring.find_by_hash(b"h" * 32) is None


def test_age_counts_from_sending_the_request():
    freshness = Freshness(lease_s=2.0)
    assert freshness.age_ms(10.0) == -1
    assert not freshness.is_fresh(10.0)
    freshness.observe(10.0, 500)
    assert freshness.age_ms(10.0) == 500
    assert freshness.is_fresh(11.4)
    assert not freshness.is_fresh(11.5)
    freshness.observe(11.0, -1)
    freshness.observe(9.0, 0)
    assert not freshness.is_fresh(11.5)


def test_answers_are_delivered_late_for_seconds_only():
    freshness = Freshness(lease_s=2.0)
    assert not freshness.can_deliver_late(10.0)
    freshness.observe(10.0, 500)
    assert freshness.can_deliver_late(15.4)
    assert not freshness.can_deliver_late(15.5)


@given(
    st.lists(
        st.tuples(st.floats(0, 50), st.floats(0, 5), st.floats(0, 5)), max_size=10
    ),
    st.floats(0, 5),
)
def test_copy_is_never_fresh_beyond_its_lease(answers, wait_s):
    """Delayed or reordered answers must not extend the lease of a stale copy."""
    freshness = Freshness(lease_s=2.0)
    newest_confirmed_at, now = -100.0, 0.0
    for confirmed_at, relay_s, round_trip_s in answers:
        answered_at = confirmed_at + relay_s
        # A request is sent no later than it is answered.
        sent_at = answered_at - round_trip_s
        freshness.observe(sent_at, int(relay_s * 1000) + 1)
        newest_confirmed_at, now = (
            max(newest_confirmed_at, confirmed_at),
            max(now, answered_at),
        )
    now += wait_s
    if freshness.is_fresh(now):
        assert now - newest_confirmed_at < 2.0
