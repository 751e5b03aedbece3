"""Responses that come before the target has received the whole request.

If the connection is reset then, the call that sends the rest of the request takes the
error off the socket. A response without a length that was cut in two must not pass for
complete.
"""

import pytest

from berylnotch.net.client import ClientConnection, Failure
from berylnotch.net.messages import Headers, HttpRequest
from tests.fleet.broken import LONG_BYTES, EarlyTarget
from tests.fleet.processes import wait_until
from tests.test_net.test_client import Sink, loop

__all__ = ["loop"]

HEADS = {
    "body": b"HTTP/1.1 200 OK\r\nId: own\r\n\r\n",
    "old": b"HTTP/1.0 200 OK\r\nId: own\r\n\r\n",
    "error": b"HTTP/1.1 500 Error\r\nId: own\r\n\r\n",
    "stream": b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Type: text/event-stream\r\n\r\n",
}
CUT = b"id: 1\ndata: the first of two events\n\n"
WHOLE = b"HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 4\r\n\r\ngood"


@pytest.fixture
def add_target():
    """Return a function that starts a target with the bytes of an answer."""
    targets = []

    def add(end, *pieces):
        targets.append(EarlyTarget(b"".join(pieces), end))
        return targets[-1]

    yield add
    for target in targets:
        target.close()


def send_request(loop, target, size_bytes=LONG_BYTES):
    connection = ClientConnection(loop, target.address, 5.0, 1.0)
    request = HttpRequest("POST", "/x", Headers((("Host", "h"),)), b"x" * size_bytes)
    sink = Sink()
    loop.call_soon(lambda: connection.send(request, sink))
    assert sink.done.wait(10)
    return sink, connection


@pytest.mark.parametrize("end", ["reset", "close", "half-close"])
@pytest.mark.parametrize("kind", HEADS)
def test_a_response_that_ends_while_the_request_is_sent_is_incomplete(
    loop, add_target, kind, end
):
    sink, connection = send_request(loop, add_target(end, HEADS[kind], CUT))
    assert sink.result is Failure.BROKEN and connection.is_closed


@pytest.mark.parametrize("end", ["reset", "close", "half-close"])
def test_a_response_that_ends_before_buffered_bytes_arrive_is_incomplete(
    loop, add_target, end
):
    # The client's kernel takes the whole request, and the target's does not.
    target = add_target(end, HEADS["body"], CUT)
    sink, _ = send_request(loop, target, size_bytes=200_000)
    assert sink.result is Failure.BROKEN


@pytest.mark.parametrize("end", ["reset", "close", "half-close", "read"])
def test_an_early_response_with_a_length_is_complete(loop, add_target, end):
    sink, connection = send_request(loop, add_target(end, WHOLE))
    assert (sink.result, sink.body) == ("complete", b"good")
    # A target that reads on may have received all when its response is read.
    wait_until(lambda: connection.is_closed, "the end of the connection")


def test_an_early_response_without_a_length_ends_after_the_request(loop, add_target):
    sink, _ = send_request(loop, add_target("read", HEADS["body"], CUT))
    assert (sink.result, sink.body) == ("complete", CUT)
