from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.control.commands import ClaimRecord, ClaimState, Result, Status
from berylnotch.control.events import VersionedEvent
from berylnotch.control.protocol import SyncReply
from berylnotch.errors import CodecError
from berylnotch.transport.codec import (
    _schema,
    decode,
    encode,
    message_classes,
    schema_name,
)


@pytest.mark.parametrize("cls", message_classes(), ids=lambda cls: cls.__name__)
def test_schema_matches_class(cls):
    struct = getattr(_schema, cls.__name__).schema
    assert set(struct.fieldnames) == {schema_name(f.name) for f in attrs.fields(cls)}


def test_nested_optional_round_trip():
    claim = ClaimRecord("a", "k", b"f", "r1", "x", ClaimState.DONE, 5, body=b"\0\xff")
    result = Result(Status.OK, index=3, revision=2, claim=claim)
    assert decode(encode(result)) == result
    assert decode(encode(Result(Status.CONFLICT))).claim is None


@given(
    st.lists(st.builds(VersionedEvent, st.integers(0, 2**62), st.binary()), max_size=4)
)
def test_list_round_trip(events):
    reply = SyncReply(7, -1, "127.0.0.1:1", tuple(events))
    assert decode(encode(reply)) == reply
    assert decode(encode(reply, packed=True), packed=True) == reply


@given(st.binary(max_size=200))
def test_random_bytes_raise_only_codec_errors(data):
    for packed in (False, True):
        try:
            decode(data, packed)
        except CodecError:
            continue
