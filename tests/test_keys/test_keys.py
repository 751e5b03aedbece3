from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.keys.errors import KeyExistsError
from berylnotch.keys.freshness import Freshness
from berylnotch.keys.keyring import HeldKey, Keyring, hash_key, new_key


def test_new_keys_differ_and_hash_depends_on_secret():
    first, second = new_key(), new_key()
    assert first.key != second.key
    assert first.key_id in first.key
    assert hash_key(b"a", first.key) == hash_key(b"a", first.key)
    assert hash_key(b"a", first.key) != hash_key(b"b", first.key)
    assert first.key.encode() not in hash_key(b"a", first.key)


def test_keyring():
    keyring = Keyring()
    key = HeldKey("k1", "clerks", b"h" * 32)
    keyring.give(key)
    for other in (HeldKey("k1", "x", b"i" * 32), HeldKey("k2", "x", b"h" * 32)):
        with pytest.raises(KeyExistsError):
            keyring.give(other)
    assert keyring.find(b"h" * 32) == key
    assert keyring.withdraw("k1") == key
    assert keyring.withdraw("k1") is None
    assert keyring.find(b"h" * 32) is None


def test_freshness_counts_from_the_request():
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


@given(
    st.lists(
        st.tuples(st.floats(0, 50), st.floats(0, 5), st.floats(0, 5)), max_size=10
    ),
    st.floats(0, 5),
)
def test_never_fresh_longer_than_a_lease_after_the_vouching(answers, wait):
    """However answers are delayed or mixed, no copy outlives its lease."""
    freshness = Freshness(lease_s=2.0)
    newest, now = -100.0, 0.0
    for vouched, relayed, back in answers:
        answered = vouched + relayed
        # The request was sent at most when the answer was made.
        sent_at = answered - back
        freshness.observe(sent_at, int(relayed * 1000) + 1)
        newest, now = max(newest, vouched), max(now, answered)
    now += wait
    if freshness.is_fresh(now):
        assert now - newest < 2.0
