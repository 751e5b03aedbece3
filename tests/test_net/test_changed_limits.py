"""Limits on requests that change while a request is read or a connection is idle.

The tests guard against requests that are refused, and connections that are closed,
because of a limit that came into force after they had begun.
"""

import time

import pytest

from berylnotch.net.reading import HttpLimits
from tests.test_net.support import Harness, echo, read_all

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST_HEAD = b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 600\r\n\r\n"
WIDE = HttpLimits(header_bytes=2000, body_bytes=2000, header_s=3.0, idle_s=6.0)
NARROW = HttpLimits(header_bytes=60, body_bytes=100, header_s=0.1, idle_s=0.2)


@pytest.fixture
def server():
    harness = Harness(echo, WIDE)
    yield harness
    harness.close()


@pytest.mark.parametrize(
    ("first", "rest"),
    [
        (POST_HEAD + b"x" * 90, b"x" * 510),
        (GET[:-4], b"\r\nX-Long: " + b"y" * 100 + b"\r\n\r\n"),
    ],
    ids=["body", "headers"],
)
def test_limits_that_fall_do_not_refuse_a_request_that_is_being_read(
    server, first, rest
):
    with server.connect() as sock:
        sock.sendall(first)
        time.sleep(0.1)
        server.limits = NARROW
        time.sleep(0.8)
        sock.sendall(rest)
        assert read_all(sock, 0.4).startswith(b"HTTP/1.1 200 ")
    assert server.refused == []


def test_an_idle_time_that_falls_does_not_close_a_connection_that_is_idle(server):
    with server.connect() as sock:
        sock.sendall(GET)
        assert b" 200 " in read_all(sock, 0.2)
        server.limits = NARROW
        time.sleep(0.8)
        sock.sendall(GET)
        assert b" 200 " in read_all(sock, 0.2)
        # The second idle time began under the shorter limit.
        sock.settimeout(2)
        assert sock.recv(10) == b""


def test_a_request_that_begins_after_the_limits_fell_is_refused(server):
    with server.connect() as sock:
        sock.sendall(GET)
        assert b" 200 " in read_all(sock, 0.2)
        server.limits = NARROW
        sock.sendall(POST_HEAD)
        assert read_all(sock, 0.4).startswith(b"HTTP/1.1 413 ")


def test_a_request_that_arrives_while_the_process_is_suspended_is_answered():
    def block(_harness, connection, request):
        if request.path == "/block":
            time.sleep(1.2)
        echo(_harness, connection, request)

    harness = Harness(block, HttpLimits(idle_s=0.8))
    try:
        with harness.connect() as idle, harness.connect() as other:
            idle.sendall(GET)
            assert b" 200 " in read_all(idle, 0.2)
            other.sendall(GET.replace(b"/a", b"/block"))
            time.sleep(0.3)
            idle.sendall(GET)
            assert b" 200 " in read_all(idle, 1.5)
    finally:
        harness.close()
