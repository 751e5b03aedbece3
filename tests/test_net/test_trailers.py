"""Trailers of a message never become its headers.

A trailer arrives after the headers were checked. One that became a header could name
another host, another key, or another length than the one that was checked; one of a
response could claim that the request has not run.
"""

import pytest

from berylnotch.net.reading import HttpLimits, RequestReader
from berylnotch.platform.names import SYSTEM_HEADERS
from tests.test_net.support import RawServer
from tests.test_net.test_client import Sink, loop, send_request

__all__ = ["loop"]

HEAD = (
    b"POST /a HTTP/1.1\r\nHost: app.example\r\nAuthorization: Bearer own\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
NAMES = sorted({*SYSTEM_HEADERS, "host", "transfer-encoding", "connection", "x-other"})


def read_in_pieces(data, size):
    """Return the request of some bytes, given to the reader piece by piece."""
    reader = RequestReader(HttpLimits)
    for start in range(0, len(data), size):
        request = reader.feed(1.0, data[start : start + size])
        if request is not None:
            return request
    raise AssertionError("the request was not complete")


@pytest.mark.parametrize("size", [1, 7, 4096])
@pytest.mark.parametrize("name", NAMES)
def test_a_trailer_never_becomes_a_header(name, size):
    plain = HEAD + b"3\r\nabc\r\n0\r\n\r\n"
    trailed = HEAD + b"3\r\nabc\r\n0\r\n" + name.encode() + b": 7\r\n\r\n"
    expected = read_in_pieces(plain, size)
    request = read_in_pieces(trailed, size)
    assert list(request.headers) == list(expected.headers)
    assert (request.body, request.target) == (b"abc", "/a")
    assert request.keep_alive == expected.keep_alive


RESPONSE = (
    b"HTTP/1.1 200 OK\r\nId: own\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n"
)


@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("name", ["id", *NAMES])
def test_a_trailer_of_a_response_never_becomes_a_header(
    loop, monkeypatch, name, is_split
):
    heads = []
    accept = Sink.on_head
    monkeypatch.setattr(
        Sink, "on_head", lambda sink, head: heads.append(head) or accept(sink, head)
    )
    end = b"0\r\n" + name.encode() + b": 7\r\n\r\n"
    server = (
        RawServer(RESPONSE, then=[end], pause_s=0.05)
        if is_split
        else RawServer(RESPONSE + end)
    )
    sink, _ = send_request(loop, server)
    # A second length makes a message in chunks malformed.
    if name != "content-length":
        assert (sink.result, sink.body) == ("complete", b"good")
    headers = list(heads[0].headers)
    assert headers == [("Id", "own"), ("Transfer-Encoding", "chunked")]
