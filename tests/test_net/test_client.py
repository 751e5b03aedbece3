"""Responses of targets: complete, of other requests, without a length, truncated."""

import errno
import socket
import threading

import pytest

from berylnotch.net import client
from berylnotch.net.client import ClientConnection, Failure, ResponseSink
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop
from tests.test_net.support import RawServer


class Sink(ResponseSink):
    """Records the response to a request; skips responses with another id."""

    def __init__(self, own_id="own"):
        self.own_id = own_id
        self.status, self.body, self.result = 0, b"", None
        self.done = threading.Event()

    def on_head(self, head):
        if head.headers.get("Id") != self.own_id:
            return False
        self.status = head.status
        return True

    def on_body(self, data):
        self.body += data

    def on_complete(self):
        self.result = "complete"
        self.done.set()

    def on_failure(self, failure, reason):
        self.result = failure
        self.done.set()


@pytest.fixture
def loop():
    errors = []
    loop = Loop("client", on_error=errors.append)
    loop.start()
    yield loop
    loop.close()
    assert errors == []


REQUEST = HttpRequest("POST", "/x", Headers((("Host", "h"),)), b"body")
COMPLETE = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\ngood"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"
CLOSE_DELIMITED = b"HTTP/1.1 200 OK\r\nId: own\r\n\r\nup to the end"
TRUNCATED = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 40\r\n\r\ngood"
TRUNCATED_CHUNKED = (
    b"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood"
)


def send_request(loop, server, connection=None):
    connection = connection or ClientConnection(loop, server.address, 2.0, 1.0)
    sink = Sink()
    loop.call_soon(lambda: connection.send(REQUEST, sink))
    assert sink.done.wait(5)
    return sink, connection


def test_a_complete_response_leaves_the_connection_reusable(loop):
    server = RawServer(COMPLETE, COMPLETE)
    sink, connection = send_request(loop, server)
    assert (sink.status, sink.body, sink.result) == (200, b"good", "complete")
    assert connection.is_reusable
    sink, _ = send_request(loop, server, connection)
    assert sink.result == "complete"


@pytest.mark.parametrize("end", ["close", "bytes", None])
def test_a_kept_connection_that_the_target_used_or_closed_is_not_quiet(loop, end):
    # The loop has not read the end yet, and a request that is sent then is lost.
    connection = ClientConnection(loop, Address("127.0.0.1", 9), 2.0, 1.0)
    connection._sock, peer = socket.socketpair()
    connection._sock.setblocking(False)
    if end == "close":
        peer.close()
    elif end == "bytes":
        peer.send(b"HTTP/1.1 408 Request Timeout\r\n")
    assert connection.is_quiet() == (end is None)
    connection._sock.close()
    peer.close()
    connection._sock = None


def test_a_response_to_another_request_is_skipped(loop):
    sink, connection = send_request(loop, RawServer(OTHER_RESPONSE + COMPLETE))
    assert sink.body == b"good" and not connection.is_reusable


def test_bytes_after_a_response_close_the_connection(loop):
    sink, connection = send_request(loop, RawServer(COMPLETE + OTHER_RESPONSE))
    assert sink.body == b"good" and not connection.is_reusable


@pytest.mark.parametrize(
    "answer", [TRUNCATED, TRUNCATED_CHUNKED, b"", b"\x00\xff nonsense\r\n\r\n"]
)
def test_a_broken_response_is_a_failure_after_a_possible_run(loop, answer):
    sink, connection = send_request(loop, RawServer(answer))
    assert sink.result is Failure.BROKEN and connection.is_closed


def test_a_response_without_a_length_ends_with_its_connection(loop):
    sink, connection = send_request(loop, RawServer(CLOSE_DELIMITED))
    assert sink.body == b"up to the end" and sink.result == "complete"
    assert not connection.is_reusable


def test_a_response_without_a_length_is_incomplete_after_a_reset(loop):
    sink, _ = send_request(loop, RawServer(CLOSE_DELIMITED, reset=True))
    assert sink.result is Failure.BROKEN


def test_a_refused_connection_is_reported_as_not_sent(loop):
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = Address(*server.getsockname())
    sink = Sink()
    connection = ClientConnection(loop, address, 2.0, 1.0)
    loop.call_soon(lambda: connection.send(REQUEST, sink))
    assert sink.done.wait(5) and sink.result is Failure.NOT_SENT


def test_interim_responses_are_skipped(loop):
    sink, _ = send_request(loop, RawServer(b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE))
    assert sink.body == b"good"


HEAD_RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\n",
    "no-length": b"HTTP/1.1 200 OK\r\nId: own\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 0\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n",
}


@pytest.mark.parametrize("kind", ["length", "empty", "chunked"])
def test_a_response_to_head_ends_with_its_headers(loop, kind):
    # The target keeps the connection open, as it has sent the whole response.
    server = RawServer(HEAD_RESPONSES[kind], COMPLETE)
    connection = ClientConnection(loop, server.address, 2.0, 1.0)
    for body in (b"", b"good"):
        request = HttpRequest("GET" if body else "HEAD", "/x", Headers())
        sink = Sink()
        loop.call_soon(lambda c=connection, r=request, s=sink: c.send(r, s))
        assert sink.done.wait(5)
        assert (sink.status, sink.body, sink.result) == (200, body, "complete")


@pytest.mark.parametrize("kind", HEAD_RESPONSES)
def test_bytes_after_a_response_to_head_are_not_its_body(loop, kind):
    server = RawServer(HEAD_RESPONSES[kind] + OTHER_RESPONSE)
    connection = ClientConnection(loop, server.address, 2.0, 1.0)
    sink = Sink()
    request = HttpRequest("HEAD", "/x", Headers())
    loop.call_soon(lambda: connection.send(request, sink))
    assert sink.done.wait(5)
    assert (sink.status, sink.body, sink.result) == (200, b"", "complete")
    assert not connection.is_reusable


def test_the_keep_alive_timeout_is_parsed(loop):
    answer = COMPLETE.replace(b"Id: own", b"Id: own\r\nKeep-Alive: timeout=7, max=3")
    _, connection = send_request(loop, RawServer(answer))
    assert connection.keep_alive_s == 7.0


def test_fetch_fails_after_its_timeout(loop):
    server = socket.create_server(("127.0.0.1", 0))
    done, results = threading.Event(), []

    def on_done(response, reason):
        results.append((response, reason))
        done.set()

    address = Address(*server.getsockname())
    loop.call_soon(lambda: fetch(loop, address, REQUEST, 0.2, on_done))
    assert done.wait(5)
    assert results[0][0] is None and "0.2 s" in results[0][1]
    server.close()


def test_a_lack_of_descriptors_is_no_failure_of_the_target(loop, monkeypatch):
    def connect_without_descriptors(address, peer_timeout_s):
        raise OSError(errno.EMFILE, "Too many open files")

    monkeypatch.setattr(client, "connect", connect_without_descriptors)
    sink = Sink()
    connection = ClientConnection(loop, Address("127.0.0.1", 9), 1.0, 1.0)
    connection.send(HttpRequest("GET", "/", Headers()), sink)
    assert sink.done.wait(5)
    assert sink.result is Failure.NO_SOCKET
