"""Responses that are no sound HTTP are failures, whatever the parser makes of them.

A target in trouble sends them. The parser in use accepts some, so that a caller would
get them as an answer, or with a body that the target did not mean.
"""

import pytest

from berylnotch.net.client import Failure
from tests.fleet.broken import MARK, ODD_RESPONSES, UNSOUND_RESPONSES
from tests.test_net.support import RawServer
from tests.test_net.test_client import loop, send_request

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
