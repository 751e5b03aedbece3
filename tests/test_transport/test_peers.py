from __future__ import annotations

import errno
import socket
import time

import pytest

from berylnotch.control.protocol import ShowReply, ShowRequest
from berylnotch.errors import TransportError
from berylnotch.transport.client import Client
from berylnotch.transport.identity import identity_key
from berylnotch.transport.peers import Listener, Peers
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

SECRET = b"a secret of enough bytes"


def key_of(identity):
    return identity_key(SECRET, identity)


@pytest.fixture
def loop():
    loop = Loop("test")
    loop.start()
    yield loop
    loop.close()


@pytest.fixture
def listener(loop):
    def show_identity(identity, _message, reply):
        reply(ShowReply(1, identity))

    listener = Listener(loop, Address("127.0.0.1", 0), key_of, show_identity)
    listener.start()
    yield listener
    listener.close()


def test_call_and_reply(loop, listener):
    peers = Peers(loop, "vm/r1", key_of)
    futures = [
        peers.call(str(listener.address), ShowRequest(), 10.0) for _ in range(20)
    ]
    assert {future.result(10).text for future in futures} == {"vm/r1"}
    peers.close()


def test_call_to_a_closed_port_fails(loop):
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
        peers = Peers(loop, "vm/r1", key_of)
        with pytest.raises(TransportError):
            peers.call(address, ShowRequest(), 10.0).result(10)


def test_unauthenticated_bytes_do_not_affect_other_connections(loop, listener):
    with socket.create_connection(listener.address.pair, 10) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\n\r\n" * 100)
        while True:
            try:
                if not sock.recv(4096):
                    break
            except ConnectionResetError:
                break
    peers = Peers(loop, "vm/r1", key_of)
    assert peers.call(str(listener.address), ShowRequest(), 10.0).result(10)
    peers.close()


def test_client_skips_an_unreachable_controller(listener):
    addresses = ("127.0.0.1:1", str(listener.address))
    client = Client(addresses, "operator/asha", key_of("operator/asha"))
    client.start()
    assert client.call(ShowRequest()).text == "operator/asha"
    client.close()


class SocketWithoutDescriptors:
    """Listening socket whose process has no free file descriptor; counts attempts."""

    def __init__(self, sock):
        self._sock, self.attempts = sock, 0

    def fileno(self):
        return self._sock.fileno()

    def accept(self):
        self.attempts += 1
        raise OSError(errno.EMFILE, "Too many open files")


def test_listener_without_descriptors_does_not_try_all_the_time():
    # Connections that cannot be accepted stay in the queue, so the socket stays ready.
    errors = []
    loop = Loop("test", on_error=errors.append)
    loop.start()
    listener = Listener(loop, Address("127.0.0.1", 0), lambda identity: b"", print)
    sock, address = listener._sock, listener.address
    listener._sock = exhausted = SocketWithoutDescriptors(sock)
    try:
        listener.start()
        with socket.create_connection(address.pair, timeout=5):
            time.sleep(0.5)
            assert 1 <= exhausted.attempts <= 10
            assert {error.errno for error in errors} == {errno.EMFILE}
            listener._sock = sock
            deadline = time.monotonic() + 5
            while not listener._channels and time.monotonic() < deadline:
                time.sleep(0.01)
            assert listener._channels
    finally:
        listener._sock = sock
        listener.close()
        loop.close()
