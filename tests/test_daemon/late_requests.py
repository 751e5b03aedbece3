"""Requests of all kinds to routers of ``berylnotchd`` that stop, and their results.

The name of a request's kind has two parts. The first is what is asked for: ``stream``,
``chat`` (a whole answer), ``stock`` (repeatable), ``order`` (unrepeatable) or ``claim``
(an order with an idempotency key). The second is how it is sent: ``new`` or ``kept``
connection, ``slow`` body, or ``pipelined`` in front of another request.
"""

from __future__ import annotations

import http.client
import json
import socket
import time

from attrs import field, frozen

from berylnotch.standins.caller import CallerClient, chat
from tests.fleet.stops import CALLER_TIMEOUT_S, CallResult
from tests.test_daemon.support import PATH, received_requests

#: All kinds of requests, so that each thing is asked for in each way.
KINDS = tuple(
    f"{asked}-{way}"
    for way in ("new", "kept", "new", "slow", "new", "pipelined")
    for asked in ("stream", "order", "chat", "claim", "stock")
)
#: Seconds between the head and the end of a slow body.
SLOW_BODY_S = 0.6
#: Name that the repeat of a request at another router adds to its identifier.
AGAIN = "-again"

_NEXT_REQUEST = b"GET /berylnotch/health HTTP/1.1\r\nHost: router\r\n\r\n"


@frozen
class LateRouter:
    """A router that gets requests.

    Attributes
    ----------
    tokens : int
        Tokens that language requests ask for.
    """

    name: str
    address: str
    key: str = field(repr=False)
    tokens: int

    def connect(self) -> socket.socket:
        """Return a new connection."""
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), CALLER_TIMEOUT_S)


def send_late(router: LateRouter, kind: str, request_id: str) -> CallResult:
    """Send a request, wait for all of its answer, and return what it was."""
    asked, way = kind.split("-")
    result = CallResult(request_id, kind, router.name, time.monotonic())
    try:
        with router.connect() as sock:
            if way == "kept":
                _use_connection(sock)
            _send(sock, _encode(router, asked, request_id), way)
            result.sent_at = time.monotonic()
            result.outcome = "cut"
            _read_answer(sock, asked, result)
    except (OSError, http.client.HTTPException):
        pass
    result.took_s = time.monotonic() - result.sent_at
    return result


def runs_by_request(small_fleet) -> dict[str, int]:
    """Return how often targets ran each request, repeats at other routers included."""
    runs: dict[str, int] = {}
    for _, address in small_fleet.engines + small_fleet.plain:
        for request in received_requests(address):
            request_id = request["headers"].get("x-request-id", "")
            runs[request_id] = runs.get(request_id, 0) + 1
    return runs


def runs_by_order(small_fleet) -> dict[str, int]:
    """Return how often the order desks ran each order."""
    runs: dict[str, int] = {}
    for _, address in small_fleet.plain:
        counts = CallerClient(address).send("GET", "/standin/runs").json()
        for order, count in counts.items():
            runs[order] = runs.get(order, 0) + count
    return runs


def _use_connection(sock: socket.socket) -> None:
    sock.sendall(_NEXT_REQUEST)
    response = http.client.HTTPResponse(sock, method="GET")
    response.begin()
    response.read()
    if response.will_close:
        raise ConnectionError("the connection is not kept")


def _encode(router: LateRouter, asked: str, request_id: str) -> tuple[bytes, bytes]:
    """Return the head and the body of a request."""
    order = request_id.removesuffix(AGAIN)
    method, path, body, headers = "POST", "/orders", b"", {}
    if asked in ("stream", "chat"):
        path = PATH
        is_stream = asked == "stream"
        content = chat("sake-1", request_id, router.tokens, is_stream)
        body = json.dumps(content).encode()
    elif asked == "stock":
        method, path = "GET", "/stock"
    else:
        body = json.dumps({"order": order}).encode()
    if asked == "claim":
        headers["Idempotency-Key"] = order
    headers |= {
        "Host": router.address,
        "Authorization": f"Bearer {router.key}",
        "X-Request-Id": request_id,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode(), body


def _send(sock: socket.socket, message: tuple[bytes, bytes], way: str) -> None:
    head, body = message
    if way == "slow":
        # Without a body, the head itself comes in two parts.
        first, rest = (head, body) if body else (head[:-2], head[-2:])
        sock.sendall(first)
        time.sleep(SLOW_BODY_S)
        sock.sendall(rest)
    else:
        sock.sendall(head + body + (_NEXT_REQUEST if way == "pipelined" else b""))


def _read_answer(sock: socket.socket, asked: str, result: CallResult) -> None:
    response = http.client.HTTPResponse(sock, method="POST")
    response.begin()
    result.status = response.status
    body = response.read()
    result.run = response.getheader("X-Berylnotch-Run", "")
    retry_after = response.getheader("Retry-After")
    result.retry_after_s = float(retry_after) if retry_after else None
    if response.status in (429, 503):
        result.outcome = "refused"
    elif response.status >= 400:
        result.outcome = "failed"
    elif asked != "stream" or body.endswith(b"data: [DONE]\n\n"):
        result.outcome = "served"
    elif body.rpartition(b"data: ")[2].startswith(b'{"error"'):
        result.outcome = "failed"
