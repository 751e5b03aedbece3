from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.control.protocol import ShowRequest
from berylnotch.errors import TransportError
from berylnotch.transport.errors import FrameError, HandshakeError
from berylnotch.transport.identity import identity_key
from berylnotch.transport.session import Session

SECRET = b"a secret of enough bytes"


def make_pair(secret=SECRET, identity="vm/r1"):
    acceptor = Session("", lambda name: identity_key(SECRET, name), accepting=True)
    connector = Session(
        identity, lambda name: identity_key(secret, name), accepting=False
    )
    return acceptor, connector


def complete_handshake(acceptor, connector):
    for _ in range(3):
        connector.feed(acceptor.take_output())
        acceptor.feed(connector.take_output())


def test_both_sides_prove_identity():
    acceptor, connector = make_pair()
    complete_handshake(acceptor, connector)
    assert acceptor.is_open and connector.is_open
    assert acceptor.identity == "vm/r1"


def test_connector_with_another_secret_is_refused():
    acceptor, connector = make_pair(secret=b"some other secret here")
    connector.feed(acceptor.take_output())
    with pytest.raises(HandshakeError):
        acceptor.feed(connector.take_output())


def test_operator_key_does_not_prove_a_vm_identity():
    key = identity_key(SECRET, "operator/asha")
    acceptor = Session("", lambda name: identity_key(SECRET, name), accepting=True)
    connector = Session("vm/r1", lambda _name: key, accepting=False)
    connector.feed(acceptor.take_output())
    with pytest.raises(HandshakeError):
        acceptor.feed(connector.take_output())


def test_replayed_frame_is_refused():
    acceptor, connector = make_pair()
    complete_handshake(acceptor, connector)
    connector.send(1, False, ShowRequest())
    frame = connector.take_output()
    assert len(acceptor.feed(frame)) == 1
    with pytest.raises(FrameError):
        acceptor.feed(frame)


@given(st.binary(min_size=1, max_size=2000))
def test_random_bytes_never_open_a_connection(data):
    acceptor, _ = make_pair()
    try:
        assert acceptor.feed(data) == []
    except TransportError:
        pass
    assert not acceptor.is_open


@given(st.lists(st.integers(1, 40), max_size=30))
def test_messages_do_not_depend_on_segment_boundaries(cuts):
    acceptor, connector = make_pair()
    complete_handshake(acceptor, connector)
    for number in range(1, 4):
        connector.send(number, False, ShowRequest())
    data = connector.take_output()
    received = []
    for size in cuts:
        received += acceptor.feed(data[:size])
        data = data[size:]
    received += acceptor.feed(data)
    assert [envelope.call for envelope, _ in received] == [1, 2, 3]
