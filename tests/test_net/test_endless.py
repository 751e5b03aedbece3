"""Endless bytes from a target that never complete a response.

The client has to close the connection after a bounded number of such bytes, whether
they are garbage, part of a head or overhead between and around bodies.
"""

import itertools

import pytest

from berylnotch.net.client import ClientConnection, Failure
from berylnotch.net.fetch import fetch
from berylnotch.net.response_reader import (
    MAX_DISCARDED_RESPONSES,
    MAX_HEADERS,
    MAX_OVERHEAD_BYTES,
)
from tests.fleet.processes import wait_until
from tests.test_net.support import RawServer
from tests.test_net.test_client import REQUEST, Sink, loop

__all__ = ["loop"]

#: Size of one piece, and the amount after which the target stops if its connection is
#: still open, in bytes.
PIECE_BYTES, MAX_SENT_BYTES = 16 * 1024, 64 * 1024 * 1024

#: Maximum number of bytes in socket buffers when the client stops reading.
MAX_IN_FLIGHT_BYTES = 8 * 1024 * 1024

CHUNKED = b"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n"
COMPLETE = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\ngood"
OTHER_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100\r\n\r\n" + b"x" * 100
)

INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"

ENDLESS_RESPONSES = {
    "garbage": (b"", b"\x00\xff" * (PIECE_BYTES // 2)),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: yes\r\n" * (PIECE_BYTES // 15)),
    "header": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"y" * PIECE_BYTES),
    "reason": (b"HTTP/1.1 200 ", b"O" * PIECE_BYTES),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * (PIECE_BYTES // 27)),
    "foreign": (b"", OTHER_RESPONSE * (PIECE_BYTES // len(OTHER_RESPONSE))),
    "extension": (CHUNKED + b"4;", b"z" * PIECE_BYTES),
    "chunk-size": (CHUNKED, b"0" * PIECE_BYTES),
    "trailers": (
        CHUNKED + b"4\r\ngood\r\n0\r\n",
        b"X-Filler: yes\r\n" * (PIECE_BYTES // 15),
    ),
    "foreign-body": (
        b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n",
        b"b" * PIECE_BYTES,
    ),
}


class EndlessResponse:
    """Iterator over the pieces of an endless response; counts the bytes sent."""

    def __init__(self, first, piece):
        self._first, self._piece, self.sent = first, piece, 0

    def __iter__(self):
        for piece in itertools.chain([self._first], itertools.repeat(self._piece)):
            if self.sent > MAX_SENT_BYTES:
                return
            self.sent += len(piece)
            yield piece


def send_request(loop, then, pause_s=0.0):
    server = RawServer(b" " * 0, then=then, pause_s=pause_s)
    connection = ClientConnection(loop, server.address, 5.0, 5.0)
    sink = Sink()
    loop.call_soon(lambda: connection.send(REQUEST, sink))
    assert sink.done.wait(20)
    return sink, connection


@pytest.mark.parametrize("kind", ENDLESS_RESPONSES)
def test_endless_bytes_close_the_connection_and_fail_the_request(loop, kind):
    endless = EndlessResponse(*ENDLESS_RESPONSES[kind])
    sink, connection = send_request(loop, endless)
    assert sink.result is Failure.BROKEN
    assert connection.is_closed
    assert endless.sent < MAX_OVERHEAD_BYTES + MAX_IN_FLIGHT_BYTES


@pytest.mark.parametrize("kind", ["header", "trailers"])
def test_slow_endless_bytes_close_the_connection_as_well(loop, kind):
    first, piece = ENDLESS_RESPONSES[kind]
    endless = EndlessResponse(first, piece[:4096])
    sink, _ = send_request(loop, endless, pause_s=0.001)
    assert sink.result is Failure.BROKEN


@pytest.mark.parametrize(
    ("first", "count", "result"),
    [
        (b"A: b\r\n", MAX_HEADERS - 2, "complete"),
        (b"A: b\r\n", MAX_HEADERS - 1, Failure.BROKEN),
        (INTERIM, MAX_DISCARDED_RESPONSES, "complete"),
        (INTERIM, MAX_DISCARDED_RESPONSES + 1, Failure.BROKEN),
    ],
)
def test_headers_and_interim_responses_are_limited_in_number(
    loop, first, count, result
):
    # Each header takes many times the memory of its bytes, and each head some time.
    if first == INTERIM:
        pieces = [first * count, COMPLETE]
    else:
        pieces = [COMPLETE.replace(b"\r\nId", b"\r\n" + first * count + b"Id", 1)]
    sink, _ = send_request(loop, pieces)
    assert sink.result == result


def test_a_response_that_is_given_up_while_its_end_is_parsed_is_no_error(loop):
    server = RawServer(COMPLETE)
    connection = ClientConnection(loop, server.address, 5.0, 5.0)
    sink = Sink()

    def give_up(data):
        connection.close()
        sink.done.set()

    sink.on_body = give_up
    loop.call_soon(lambda: connection.send(REQUEST, sink))
    assert sink.done.wait(5)
    wait_until(lambda: connection.is_closed, "the end of the connection")
    assert sink.result is None


def test_bytes_after_a_complete_response_do_not_change_it(loop):
    endless = EndlessResponse(COMPLETE, b"more" * (PIECE_BYTES // 4))
    sink, connection = send_request(loop, endless)
    assert (sink.result, sink.body) == ("complete", b"good")
    wait_until(lambda: connection.is_closed, "the end of the connection")
    assert endless.sent < MAX_IN_FLIGHT_BYTES


def test_a_long_body_does_not_count_as_overhead(loop):
    length = 20 * MAX_OVERHEAD_BYTES
    head = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: %d\r\n\r\n" % length
    pieces = [head, *[b"b" * PIECE_BYTES] * (length // PIECE_BYTES)]
    sink, _ = send_request(loop, pieces)
    assert sink.result == "complete" and len(sink.body) == length


def test_a_stream_of_small_chunks_stays_within_the_overhead(loop):
    chunks = [b"20\r\n" + b"c" * 32 + b"\r\n"] * 40_000
    pieces = [CHUNKED, b"".join(chunks), b"0\r\n\r\n"]
    sink, _ = send_request(loop, pieces)
    assert sink.result == "complete" and len(sink.body) == 32 * 40_000


@pytest.mark.parametrize("kind", ["head", "interim", "trailers"])
def test_fetch_fails_on_endless_bytes_as_well(loop, kind):
    endless = EndlessResponse(*ENDLESS_RESPONSES[kind])
    server = RawServer(b"", then=endless)
    results = []
    sink = Sink()

    def on_done(response, reason):
        results.append((response, reason))
        sink.done.set()

    loop.call_soon(lambda: fetch(loop, server.address, REQUEST, 20.0, on_done))
    assert sink.done.wait(20)
    assert results[0][0] is None and "bytes" in results[0][1]
    assert endless.sent < MAX_OVERHEAD_BYTES + MAX_IN_FLIGHT_BYTES
