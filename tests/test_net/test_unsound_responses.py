"""Responses that are no sound HTTP are failures, whatever the parser makes of them.

A target in trouble sends them. The parser in use accepts some, so that a caller would
get them as an answer, or with a body that the target did not mean.
"""

import threading

import pytest

from berylnotch.net.client import Failure
from berylnotch.net.fetch import fetch
from tests.fleet.broken import MARK, ODD_RESPONSES, UNSOUND_RESPONSES
from tests.test_net.support import RawServer
from tests.test_net.test_client import REQUEST, loop, send_request

__all__ = ["loop"]


def in_pieces(response, size):
    """Return a server that sends a response in pieces."""
    response = response.replace(MARK, b"Id: own")
    pieces = [response[at : at + size] for at in range(0, len(response), size)]
    return RawServer(pieces[0], then=pieces[1:])


@pytest.mark.parametrize("size", [1, 100_000])
@pytest.mark.parametrize("kind", UNSOUND_RESPONSES)
def test_an_unsound_response_is_a_failure_after_a_possible_run(loop, kind, size):
    sink, connection = send_request(loop, in_pieces(UNSOUND_RESPONSES[kind], size))
    assert sink.result is Failure.BROKEN
    assert connection.is_closed and not connection.is_reusable


@pytest.mark.parametrize("size", [1, 100_000])
@pytest.mark.parametrize("kind", ODD_RESPONSES)
def test_a_sound_response_that_looks_odd_is_complete(loop, kind, size):
    sink, _ = send_request(loop, in_pieces(ODD_RESPONSES[kind], size))
    assert (sink.result, sink.body) == ("complete", b"good")


@pytest.mark.parametrize("kind", UNSOUND_RESPONSES)
def test_a_call_fails_on_an_unsound_response(loop, kind):
    # Reports, lists of targets, orders and moves are read by such calls.
    server, results = in_pieces(UNSOUND_RESPONSES[kind], 100_000), []
    done = threading.Event()

    def on_done(response, reason):
        results.append((response, reason))
        done.set()

    loop.call_soon(lambda: fetch(loop, server.address, REQUEST, 5.0, on_done))
    assert done.wait(5)
    assert results[0][0] is None and results[0][1]
