from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.streams.errors import StreamReferenceError
from berylnotch.streams.reference import (
    FINGERPRINT_BYTES,
    STREAM_ID_BYTES,
    StreamPosition,
    fingerprint,
    sign,
    sign_base,
    verify,
)

SECRET = b"s" * 32
_positions = st.builds(
    StreamPosition,
    st.binary(min_size=STREAM_ID_BYTES, max_size=STREAM_ID_BYTES),
    st.text(max_size=40),
    st.binary(min_size=FINGERPRINT_BYTES, max_size=FINGERPRINT_BYTES),
    st.text(max_size=20),
    st.integers(0, 10**9 - 1),
)


@given(_positions)
def test_round_trip(position):
    assert verify(SECRET, sign(SECRET, position)) == position
    reference = f"{sign_base(SECRET, position)}.{position.position}"
    assert verify(SECRET, reference) == position


@given(_positions, st.data())
def test_changed_base_is_refused(position, data):
    base, number = sign(SECRET, position).split(".")
    index = data.draw(st.integers(0, len(base) - 2))
    replacement = data.draw(
        st.sampled_from("AZaz09-_").filter(lambda c: c != base[index])
    )
    with pytest.raises(StreamReferenceError):
        verify(SECRET, f"{base[:index]}{replacement}{base[index + 1 :]}.{number}")


@given(st.text(max_size=60))
def test_unsigned_text_is_refused(reference):
    with pytest.raises(StreamReferenceError):
        verify(SECRET, reference)


def test_other_secret_is_refused():
    position = StreamPosition(b"i" * 8, "o", b"f" * 16, "v1", 3)
    with pytest.raises(StreamReferenceError):
        verify(b"t" * 32, sign(SECRET, position))


def test_fingerprint_distinguishes_organisations_and_paths():
    fingerprints = {
        fingerprint(organisation, path, body)
        for organisation in ("a", "ab")
        for path in ("/x", "b/x")
        for body in (b"", b"1")
    }
    assert len(fingerprints) == 8
