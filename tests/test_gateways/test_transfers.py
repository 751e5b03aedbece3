"""A response that is not whole must not end its transfer without an error."""

import pytest

from berylnotch.gateways.http import UpstreamRequest
from berylnotch.gateways.transfers import Upstreams
from berylnotch.util.loop import Loop
from tests.fleet.processes import wait_until
from tests.test_net.support import RawServer

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


@pytest.fixture
def transfer():
    """Return a function that sends a request and returns heads, body and end."""
    loop = Loop("test")
    loop.start()
    upstreams = []
    loop.call_soon(lambda: upstreams.append(Upstreams(loop)))
    wait_until(lambda: upstreams, "transfers")

    def run_transfer(server, method="POST", body=b""):
        heads, parts, ends = [], [], []
        request = UpstreamRequest(f"http://{server.address}/x", method, (), body, 5.0)

        def start():
            upstreams[0].start(request, heads.append, parts.append, ends.append)

        loop.call_soon(start)
        wait_until(lambda: ends, "the end of the transfer")
        return heads, b"".join(parts), ends[0]

    yield run_transfer
    loop.call_soon(upstreams[0].close)
    loop.close()


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("cut", [12, 17, 30, len(HEAD) - 2, len(HEAD) - 1])
def test_response_that_ends_within_its_head_is_a_failure(transfer, method, reset, cut):
    heads, body, end = transfer(RawServer(HEAD[:cut], reset=reset), method)
    assert end.error and heads == [] and body == b""


def test_interim_response_alone_is_a_failure(transfer):
    heads, _, end = transfer(RawServer(b"HTTP/1.1 103 Early Hints\r\n\r\n"))
    assert end.error and heads == []


def test_whole_response_after_an_interim_one_is_delivered(transfer):
    interim = b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
    heads, body, end = transfer(RawServer(interim + HEAD + b"good"))
    assert not end.error and body == b"good"
    assert heads[0][0] == b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("name", [b"X-Not-Run", b"X-Request-Id", b"Other"])
def test_trailers_do_not_become_headers(transfer, name, is_split):
    # A trailer could claim that the request has not run, or is another one.
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
    end = b"0\r\n" + name + b": 1\r\n\r\n"
    first = head + b"\r\n4\r\ngood\r\n"
    server = (
        RawServer(first, then=[end], pause_s=0.1)
        if is_split
        else RawServer(first + end)
    )
    heads, body, result = transfer(server)
    assert not result.error and body == b"good"
    assert b"".join(heads[0]) == head


def test_small_chunks_of_a_sound_target_are_accepted(transfer):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    server = RawServer(head, then=[b"1\r\nx\r\n" * 10_000] * 10 + [b"0\r\n\r\n"])
    _, body, result = transfer(server)
    assert not result.error and body == b"x" * 100_000


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "response", [CHUNKED + b"4\r\ngood\r\n0\r\n\r\n", HEAD + b"good"]
)
def test_connection_with_bytes_after_a_response_is_not_used_again(transfer, response):
    # The second response is that to a second request on the same connection.
    server = RawServer(response + b"HTTP/1.1 200", HEAD + b"late")
    for _ in range(2):
        _, body, result = transfer(server, "GET")
        assert not result.error and body == b"good"
