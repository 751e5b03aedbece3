"""MessagePack codec and framing without authentication."""

import zlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.consensus import messages as consensus
from berylnotch.consensus.members import decode_members, encode_members
from berylnotch.errors import CodecError, TransportError
from berylnotch.group.messages import (
    CONTROLLER_MESSAGES,
    ROUTER_MESSAGES,
    ConfigurationUpdate,
    RouterReport,
    TargetEntry,
    TargetLoad,
    TargetsUpdate,
)
from berylnotch.membership.announced_weights import NamedWeights
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.transport.codec import encode
from berylnotch.transport.packing import MAX_PACKED_BYTES, pack, unpack
from berylnotch.transport.plain import PlainSession

ENTRY = consensus.Entry(3, 2, consensus.EntryKind.COMMAND, b"\x00\xff")

MESSAGES = [
    consensus.AppendRequest(2, "a/1", 2, 1, 2, 9, (ENTRY,), "h:1", "b/2"),
    consensus.VoteReply(3, "a/1", True, True),
    RouterReport("r", "i", "h:1", "d", False, 4, (TargetLoad("t", 2, 30),)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_message_round_trip(message):
    assert unpack(pack(message), CONTROLLER_MESSAGES) == message


def test_nested_message_round_trip():
    target = ListedTarget("t", "s", "h:1", "d", models=(ModelVersion("m", 2),))
    update = TargetsUpdate((TargetEntry(target, True),), (NamedWeights("m", 3, 5),))
    assert unpack(pack(update), ROUTER_MESSAGES) == update


def test_large_table_round_trip_is_compressed():
    entries = tuple(
        TargetEntry(
            ListedTarget(f"i-{n:08x}", "llm", f"10.0.{n // 200}.{n % 200}:8080", "d")
        )
        for n in range(3000)
    )
    update = TargetsUpdate(entries, ())
    data = pack(update)
    assert unpack(data, ROUTER_MESSAGES) == update
    assert len(data) < 60_000


@pytest.mark.parametrize("spoil", ["cut", "more", "bomb"])
def test_malformed_compressed_messages_are_refused(spoil):
    data = pack(ConfigurationUpdate(1, b"x" * 100_000))
    if spoil == "cut":
        data = data[:-5]
    elif spoil == "more":
        data += b"rest"
    else:
        data = data[:1] + zlib.compress(b"\0" * (MAX_PACKED_BYTES + 1))
    with pytest.raises(CodecError):
        unpack(data, ROUTER_MESSAGES)


def test_members_in_the_old_encoding_are_decoded():
    members = consensus.Members((consensus.Member("a", "a/1", "h:1"),))
    assert decode_members(encode_members(members)) == members
    assert decode_members(encode(members)) == members


@given(st.binary(max_size=200))
def test_random_bytes_are_refused(data):
    with pytest.raises(CodecError):
        unpack(data, CONTROLLER_MESSAGES)


def test_messages_of_unexpected_classes_are_refused():
    with pytest.raises(CodecError):
        unpack(pack(ConfigurationUpdate(1, b"")), CONTROLLER_MESSAGES)


@given(st.integers(1, 40))
def test_frames_do_not_depend_on_segment_boundaries(size):
    sender = PlainSession("x", CONTROLLER_MESSAGES)
    for message in MESSAGES:
        sender.send(0, False, message)
    data = sender.take_output()
    receiver = PlainSession("x", CONTROLLER_MESSAGES)
    received = []
    for start in range(0, len(data), size):
        received += [m for _, m in receiver.feed(data[start : start + size])]
    assert received == MESSAGES


def test_a_frame_over_the_limit_is_refused():
    with pytest.raises(TransportError):
        PlainSession("x", ()).feed(b"\xff" * 9)


def test_nested_messages_and_announced_sizes_are_refused():
    name = msgpack.packb("RouterReport")
    for data in (
        b"\x91" * 100_000 + b"\xc0",
        b"\x92" + name + b"\x91" * 5000 + b"\xc0",
        b"\xdd\xff\xff\xff\xff",
        b"\x92" + name + b"\xa2\xff\xfe",
        msgpack.packb((["RouterReport"], ())),
    ):
        with pytest.raises(CodecError):
            unpack(data, CONTROLLER_MESSAGES)


def test_error_of_a_large_message_does_not_fill_the_log():
    data = msgpack.packb(("x" * 1_000_000, ()))
    with pytest.raises(CodecError) as error:
        unpack(data, CONTROLLER_MESSAGES)
    assert len(str(error.value)) < 300
