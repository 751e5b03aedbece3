"""Answers of targets: whole, foreign, without a length, late, broken."""

import socket
import threading

import pytest

from berylnotch.net.client import ClientConnection, Failure, ResponseSink
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop
from tests.test_net.support import RawServer


class Sink(ResponseSink):
    """Collects what an exchange tells; skips answers of others."""

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
WHOLE = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\ngood"
FOREIGN = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nbad"
UNFRAMED = b"HTTP/1.1 200 OK\r\nId: own\r\n\r\nup to the end"
CUT = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 40\r\n\r\ngood"
CHUNK_CUT = b"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood"


def ask(loop, server, connection=None):
    connection = connection or ClientConnection(loop, server.address, 2.0, 1.0)
    sink = Sink()
    loop.call_soon(lambda: connection.send(REQUEST, sink))
    assert sink.done.wait(5)
    return sink, connection


def test_a_whole_answer_leaves_the_connection_for_the_next(loop):
    server = RawServer(WHOLE, WHOLE)
    sink, connection = ask(loop, server)
    assert (sink.status, sink.body, sink.result) == (200, b"good", "complete")
    assert connection.is_reusable
    sink, _ = ask(loop, server, connection)
    assert sink.result == "complete"


def test_an_answer_of_another_request_is_skipped(loop):
    sink, connection = ask(loop, RawServer(FOREIGN + WHOLE))
    assert sink.body == b"good" and not connection.is_reusable


def test_bytes_after_an_answer_end_the_connection(loop):
    sink, connection = ask(loop, RawServer(WHOLE + FOREIGN))
    assert sink.body == b"good" and not connection.is_reusable


@pytest.mark.parametrize("answer", [CUT, CHUNK_CUT, b"", b"\x00\xff nonsense\r\n\r\n"])
def test_a_broken_answer_is_a_failure_that_may_have_run(loop, answer):
    sink, connection = ask(loop, RawServer(answer))
    assert sink.result is Failure.BROKEN and connection.is_closed


def test_an_answer_without_a_length_ends_with_its_connection(loop):
    sink, connection = ask(loop, RawServer(UNFRAMED))
    assert sink.body == b"up to the end" and sink.result == "complete"
    assert not connection.is_reusable


def test_an_answer_without_a_length_is_not_whole_after_a_reset(loop):
    sink, _ = ask(loop, RawServer(UNFRAMED, reset=True))
    assert sink.result is Failure.BROKEN


def test_nothing_listens_so_nothing_was_sent(loop):
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = Address(*server.getsockname())
    sink = Sink()
    connection = ClientConnection(loop, address, 2.0, 1.0)
    loop.call_soon(lambda: connection.send(REQUEST, sink))
    assert sink.done.wait(5) and sink.result is Failure.NOT_SENT


def test_interim_answers_are_passed_over(loop):
    sink, _ = ask(loop, RawServer(b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE))
    assert sink.body == b"good"


def test_keep_alive_is_read(loop):
    answer = WHOLE.replace(b"Id: own", b"Id: own\r\nKeep-Alive: timeout=7, max=3")
    _, connection = ask(loop, RawServer(answer))
    assert connection.keep_alive_s == 7.0


def test_fetch_gives_up_in_time(loop):
    server = socket.create_server(("127.0.0.1", 0))
    done, results = threading.Event(), []

    def take(response, reason):
        results.append((response, reason))
        done.set()

    address = Address(*server.getsockname())
    loop.call_soon(lambda: fetch(loop, address, REQUEST, 0.2, take))
    assert done.wait(5)
    assert results[0][0] is None and "0.2 s" in results[0][1]
    server.close()
