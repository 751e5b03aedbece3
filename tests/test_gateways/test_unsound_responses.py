"""Responses that are no sound HTTP end their transfer with an error.

A target in trouble sends them. curl accepts many of them, so that a caller would get
them as an answer, or with a body that the target did not mean.
"""

import pytest

from tests.fleet.broken import (
    MARK,
    ODD_RESPONSES,
    UNSOUND_RESPONSES,
)
from tests.test_gateways.test_transfers import transfer
from tests.test_net.support import RawServer

__all__ = ["transfer"]


def in_pieces(response, size):
    """Return a server that sends a response in pieces."""
    response = response.replace(MARK, b"Id: own")
    pieces = [response[at : at + size] for at in range(0, len(response), size)]
    return RawServer(pieces[0], then=pieces[1:])


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("size", [1, 100_000])
@pytest.mark.parametrize("kind", UNSOUND_RESPONSES)
def test_an_unsound_response_is_a_failure_after_a_possible_run(
    transfer, kind, size, method
):
    _, _, end = transfer(in_pieces(UNSOUND_RESPONSES[kind], size), method)
    assert end.error and end.sent


@pytest.mark.parametrize("size", [1, 100_000])
@pytest.mark.parametrize("kind", ODD_RESPONSES)
def test_a_sound_response_that_looks_odd_is_complete(transfer, kind, size):
    heads, body, end = transfer(in_pieces(ODD_RESPONSES[kind], size))
    assert not end.error and body == b"good" and len(heads) == 1
