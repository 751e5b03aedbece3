"""Bytes of a target that are no answer and do not end."""

import itertools

import pytest

from berylnotch.net.client import MAX_OVERHEAD_BYTES, ClientConnection, Failure
from berylnotch.net.fetch import fetch
from tests.fleet.processes import wait_until
from tests.test_net.support import RawServer
from tests.test_net.test_client import REQUEST, Sink, loop

__all__ = ["loop"]

#: Bytes of one piece, and all that a target sends unless it is left before.
PIECE, ALL = 16 * 1024, 64 * 1024 * 1024

#: Bytes that lie between a target and the reader when it stops reading.
ON_THE_WAY = 8 * 1024 * 1024

CHUNKED = b"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n"
SHORT = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\ngood"
FOREIGN = b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 100\r\n\r\n" + b"x" * 100

ENDLESS = {
    "garbage": (b"", b"\x00\xff" * (PIECE // 2)),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: yes\r\n" * (PIECE // 15)),
    "header": (b"HTTP/1.1 200 OK\r\nX-Filler: ", b"y" * PIECE),
    "reason": (b"HTTP/1.1 200 ", b"O" * PIECE),
    "interim": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * (PIECE // 27)),
    "foreign": (b"", FOREIGN * (PIECE // len(FOREIGN))),
    "extension": (CHUNKED + b"4;", b"z" * PIECE),
    "chunk-size": (CHUNKED, b"0" * PIECE),
    "trailers": (CHUNKED + b"4\r\ngood\r\n0\r\n", b"X-Filler: yes\r\n" * (PIECE // 15)),
    "foreign-body": (
        b"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 99999999\r\n\r\n",
        b"b" * PIECE,
    ),
}


class Endless:
    """Pieces of an answer without end, and how many bytes of it were taken."""

    def __init__(self, first, piece):
        self._first, self._piece, self.sent = first, piece, 0

    def __iter__(self):
        for piece in itertools.chain([self._first], itertools.repeat(self._piece)):
            if self.sent > ALL:
                return
            self.sent += len(piece)
            yield piece


def answer_of(loop, then, pause_s=0.0):
    server = RawServer(b" " * 0, then=then, pause_s=pause_s)
    connection = ClientConnection(loop, server.address, 5.0, 5.0)
    sink = Sink()
    loop.call_soon(lambda: connection.send(REQUEST, sink))
    assert sink.done.wait(20)
    return sink, connection


@pytest.mark.parametrize("kind", ENDLESS)
def test_bytes_without_end_are_left_soon_and_are_no_answer(loop, kind):
    endless = Endless(*ENDLESS[kind])
    sink, connection = answer_of(loop, endless)
    assert sink.result is Failure.BROKEN
    assert connection.is_closed
    assert endless.sent < MAX_OVERHEAD_BYTES + ON_THE_WAY


@pytest.mark.parametrize("kind", ["header", "trailers"])
def test_slow_ones_are_left_as_well(loop, kind):
    first, piece = ENDLESS[kind]
    endless = Endless(first, piece[:4096])
    sink, _ = answer_of(loop, endless, pause_s=0.001)
    assert sink.result is Failure.BROKEN


def test_bytes_after_a_whole_answer_take_nothing_from_it(loop):
    endless = Endless(SHORT, b"more" * (PIECE // 4))
    sink, connection = answer_of(loop, endless)
    assert (sink.result, sink.body) == ("complete", b"good")
    wait_until(lambda: connection.is_closed, "the end of the connection")
    assert endless.sent < ON_THE_WAY


def test_a_long_body_is_not_taken_for_overhead(loop):
    length = 20 * MAX_OVERHEAD_BYTES
    head = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: %d\r\n\r\n" % length
    pieces = [head, *[b"b" * PIECE] * (length // PIECE)]
    sink, _ = answer_of(loop, pieces)
    assert sink.result == "complete" and len(sink.body) == length


def test_a_stream_of_small_chunks_is_not_taken_for_overhead(loop):
    chunks = [b"20\r\n" + b"c" * 32 + b"\r\n"] * 40_000
    pieces = [CHUNKED, b"".join(chunks), b"0\r\n\r\n"]
    sink, _ = answer_of(loop, pieces)
    assert sink.result == "complete" and len(sink.body) == 32 * 40_000


@pytest.mark.parametrize("kind", ["head", "interim", "trailers"])
def test_calls_to_lists_and_engines_end_too(loop, kind):
    endless = Endless(*ENDLESS[kind])
    server = RawServer(b"", then=endless)
    answers = []
    sink = Sink()

    def done(response, reason):
        answers.append((response, reason))
        sink.done.set()

    loop.call_soon(lambda: fetch(loop, server.address, REQUEST, 20.0, done))
    assert sink.done.wait(20)
    assert answers[0][0] is None and "bytes" in answers[0][1]
    assert endless.sent < MAX_OVERHEAD_BYTES + ON_THE_WAY
