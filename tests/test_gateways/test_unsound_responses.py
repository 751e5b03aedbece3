"""Responses that are no sound HTTP end their transfer with an error.

A target in trouble sends them. curl accepts many of them, so that a caller would get
them as an answer, or with a body that the target did not mean.
"""

import pytest

from tests.fleet.broken import (
    LONG_BYTES,
    MARK,
    ODD_RESPONSES,
    UNSOUND_RESPONSES,
    EarlyTarget,
    make_response,
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


EARLY = make_response(b"HTTP/1.1 200 OK", b"Content-Type: a/b", body=b"half")


@pytest.mark.parametrize("size_bytes", [200_000, LONG_BYTES])
@pytest.mark.parametrize("end", ["reset", "close", "half-close"])
def test_a_response_that_ends_while_the_request_is_sent_is_a_failure(
    transfer, end, size_bytes
):
    target = EarlyTarget(EARLY, end)
    _, _, result = transfer(target, body=b"x" * size_bytes)
    assert result.error and result.sent
    target.close()


def test_an_early_response_without_a_length_ends_after_the_request(transfer):
    target = EarlyTarget(EARLY, "read")
    _, body, result = transfer(target, body=b"x" * LONG_BYTES)
    assert not result.error and body == b"half"
    target.close()
