"""The command does not rely on an unsound answer.

Its address may be that of another process, or the answer may be cut. A caller that uses
what it says connects to the wrong process.
"""

import pytest

from berylnotch.cmd.commands.address import _ask_until_answered
from berylnotch.errors import TransportError
from tests.fleet.broken import make_response
from tests.test_net.support import RawServer

ADDRESSES = b'{"addresses": ["127.0.0.1:8001"], "keep_s": 30}'
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(ADDRESSES), ADDRESSES)

UNSOUND = {
    "status": make_response(b"HTTP/1.1 600 OK", body=ADDRESSES),
    "error": make_response(b"HTTP/1.1 500 Error", body=ADDRESSES),
    "version": make_response(b"HTTP/2.0 200 OK", body=ADDRESSES),
    "name": make_response(b"HTTP/1.1 200 OK", b"Content-Length : 4", body=ADDRESSES),
    "coding": make_response(
        b"HTTP/1.1 200 OK", b"Transfer-Encoding: identity", body=ADDRESSES
    ),
    "chunk": make_response(
        b"HTTP/1.1 200 OK",
        b"Transfer-Encoding: chunked",
        body=CHUNKS.replace(b"\r\n", b"g\r\n", 1),
    ),
    "cut": make_response(b"HTTP/1.1 200 OK", b"Content-Length: 90", body=ADDRESSES),
}


@pytest.mark.parametrize("kind", UNSOUND)
def test_an_unsound_answer_is_a_failure_of_the_router(kind):
    server = RawServer(UNSOUND[kind])
    with pytest.raises(TransportError, match=str(server.address)):
        _ask_until_answered((str(server.address),), {})


def test_another_router_is_asked_after_an_unsound_answer():
    head = b"HTTP/1.1 200 OK"
    sound = make_response(head, b"Transfer-Encoding: chunked", body=CHUNKS)
    servers = [RawServer(UNSOUND["name"]), RawServer(sound)]
    routers = tuple(str(server.address) for server in servers)
    answer = _ask_until_answered(routers, {"organisation": "clerks"})
    assert answer["addresses"] == ["127.0.0.1:8001"]
