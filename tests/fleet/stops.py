"""Callers that go on sending to routers which stop, with the result of each request."""

from __future__ import annotations

import http.client
import io
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

from attrs import define, field

from tests.fleet.platform import MODEL
from tests.fleet.processes import KEY, FleetProcess

#: Seconds from SIGTERM until the platform kills a process, and fraction at their end in
#: which runs of requests sent within ``EXCUSED_SENT_S`` of the signal may be cut.
STOP_S, LAST_FRACTION, EXCUSED_SENT_S = 8.0, 1 / 6, 3.0

#: Seconds after its last byte within which a request that no target got may lose its
#: connection.
UNREAD_S = 0.2

#: Seconds for which a caller waits for its answer.
CALLER_TIMEOUT_S = 12.0

#: Time budget that requests state by default, in milliseconds.
DEADLINE_MS = 10_000

#: Seconds after which a caller that cannot reach its router tries again.
UNREACHABLE_PAUSE_S = 0.05

_BODY = b"{}"

#: Number of pieces in which a slow body is sent.
_SLOW_PIECES = 20


@define(eq=False)
class CallResult:
    """Result of one request.

    Attributes
    ----------
    sent_at : float
        Time of the monotonic clock at which the last byte was sent, in seconds.
    outcome : str
        ``served`` (a whole success), ``refused`` (a whole 429 or 503), ``failed`` (a
        whole answer of another kind), ``cut`` (the connection ended after the request
        was sent) or ``unread`` (it could not be sent).
    run : str
        What the answer says of the request: ``ran``, ``not-run`` or ``unknown``;
        empty if it says nothing.
    later : list of CallResult
        Results of the requests that the caller sent to other routers afterwards.
    """

    request_id: str
    kind: str
    router: str
    sent_at: float
    outcome: str = "unread"
    status: int = 0
    retry_after_s: float | None = None
    took_s: float = 0.0
    is_kept_connection: bool = False
    closes: bool = True
    deadline_s: float = DEADLINE_MS / 1000
    run: str = ""
    later: list[CallResult] = field(factory=list)
    body: bytes = field(default=b"", repr=False)

    @property
    def is_served_in_the_end(self) -> bool:
        """Whether the caller got a success here or at another router."""
        return self.outcome == "served" or any(
            result.outcome == "served" for result in self.later
        )


def send_request(
    router: FleetProcess,
    kind: str,
    request_id: str,
    connection: http.client.HTTPConnection | None = None,
    deadline_ms: int = DEADLINE_MS,
    key: str = KEY,
    body_s: float = 0.0,
) -> CallResult:
    """Send one request and wait for all of its answer.

    Parameters
    ----------
    kind : str
        First part of the path. It ends in ``chat``, ``book`` or ``read``.
    connection : http.client.HTTPConnection, optional
        Kept connection to send it on; by default, a new one that is closed afterwards.
    key : str, optional
        Key of the caller.
    body_s : float, default=0.0
        Seconds for which the body is sent, in pieces; 0 to send it at once.
    """
    is_kept = connection is not None
    if connection is None:
        connection = http.client.HTTPConnection(
            router.ip, router.port, timeout=CALLER_TIMEOUT_S
        )
    result = CallResult(
        request_id,
        kind,
        router.name,
        time.monotonic(),
        is_kept_connection=is_kept,
        deadline_s=deadline_ms / 1000,
    )
    headers = _headers(kind, request_id, deadline_ms, key)
    try:
        if connection.sock is None:
            connection.connect()
        if body_s:
            _send_slowly(connection, kind, headers, body_s)
        else:
            body = None if _method(kind) == "GET" else _BODY
            connection.request(_method(kind), f"/{kind}/x", body=body, headers=headers)
        result.sent_at = time.monotonic()
        result.outcome = "cut"
        _read_answer(result, connection.getresponse())
    except (OSError, http.client.HTTPException):
        pass
    finally:
        result.took_s = time.monotonic() - result.sent_at
        if not is_kept or result.closes or result.outcome == "cut":
            connection.close()
    return result


def send_pipelined(
    router: FleetProcess, kinds: Sequence[str], request_ids: Sequence[str]
) -> list[CallResult]:
    """Send requests at once on one connection, and wait for all of their answers."""
    data = b"".join(
        _encode(kind, request_id)
        for kind, request_id in zip(kinds, request_ids, strict=True)
    )
    results = [
        CallResult(request_id, kind, router.name, time.monotonic())
        for kind, request_id in zip(kinds, request_ids, strict=True)
    ]
    try:
        with socket.create_connection((router.ip, router.port)) as sock:
            sock.settimeout(CALLER_TIMEOUT_S)
            sock.sendall(data)
            sent_at = time.monotonic()
            for result in results:
                result.sent_at, result.outcome = sent_at, "cut"
            reader = _SharedReader(socket.SocketIO(sock, "r"))
            for result in results:
                response = http.client.HTTPResponse(reader)
                response.begin()
                _read_answer(result, response)
                result.took_s = time.monotonic() - sent_at
    except (OSError, http.client.HTTPException):
        for result in results:
            result.took_s = result.took_s or time.monotonic() - result.sent_at
    return results


class _SharedReader(io.BufferedReader):
    """Reader of the answers on one connection, which an answer's end does not close."""

    def makefile(self, _mode: str) -> _SharedReader:
        return self

    def close(self) -> None:
        pass


def _headers(kind: str, request_id: str, deadline_ms: int, key: str) -> dict[str, str]:
    headers = {
        "Host": "app.example",
        "Authorization": f"Bearer {key}",
        "Berylnotch-Request-Id": request_id,
        "Berylnotch-Deadline-Ms": str(deadline_ms),
    }
    if kind.endswith("chat"):
        headers["Berylnotch-Model"] = MODEL
        headers["Berylnotch-Token-Count"] = "300,20"
        headers["Berylnotch-Prefix-Hash"] = "aa01:200,bb02:100"
    return headers


def _method(kind: str) -> str:
    return "GET" if kind.endswith("read") else "POST"


def _encode(kind: str, request_id: str) -> bytes:
    headers = _headers(kind, request_id, DEADLINE_MS, KEY)
    body = b"" if _method(kind) == "GET" else _BODY
    if body:
        headers["Content-Length"] = str(len(body))
    lines = [f"{_method(kind)} /{kind}/x HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _send_slowly(
    connection: http.client.HTTPConnection,
    kind: str,
    headers: dict[str, str],
    body_s: float,
) -> None:
    connection.putrequest(_method(kind), f"/{kind}/x", skip_host=True)
    for name, value in {**headers, "Content-Length": str(_SLOW_PIECES)}.items():
        connection.putheader(name, value)
    connection.endheaders()
    for _ in range(_SLOW_PIECES):
        time.sleep(body_s / _SLOW_PIECES)
        connection.send(b" ")


def _read_answer(result: CallResult, response: http.client.HTTPResponse) -> None:
    result.status = response.status
    result.body = response.read()
    result.closes = response.will_close
    result.outcome = _outcome(response.status)
    retry_after = response.getheader("Retry-After")
    result.retry_after_s = float(retry_after) if retry_after else None


def _outcome(status: int) -> str:
    if status < 400:
        return "served"
    return "refused" if status in (429, 503) else "failed"


class LateCallers:
    """Callers that send to stopping routers and, if turned away, to other ones.

    Parameters
    ----------
    stopping : sequence of FleetProcess
        Routers that get requests until they can no longer be reached.
    others : sequence of FleetProcess
        Routers to which refused and unread requests are sent, once each.
    kinds : sequence of str
        Kinds of requests, in turn: ``chat``, ``book`` or ``read``.
    rate_per_s : float
        Requests per second.
    prefix : str
        Begin of all request identifiers.
    send : callable
        Sends a request; called with the router, the kind and the request's identifier.
    """

    def __init__(
        self,
        stopping: Sequence[Any],
        others: Sequence[Any],
        kinds: Sequence[str] = ("chat", "book", "read"),
        rate_per_s: float = 20.0,
        prefix: str = "",
        send: Callable[[Any, str, str], CallResult] = send_request,
    ) -> None:
        self._stopping, self._others = stopping, others
        self._kinds, self._rate_per_s = kinds, rate_per_s
        self._prefix, self._send = prefix, send
        self._threads: list[threading.Thread] = []
        self._is_ending = threading.Event()
        self._pacer = threading.Thread(target=self._send_all)
        self.results: list[CallResult] = []

    def start(self) -> None:
        """Start to send requests."""
        self._pacer.start()

    def close(self) -> None:
        """Send no more requests, and wait for the answers."""
        self._is_ending.set()
        self._pacer.join()
        for thread in self._threads:
            thread.join()
        # A thread that ended by an exception would hide the result of its request.
        assert len(self.results) == len(self._threads)

    def _send_all(self) -> None:
        number, next_at = 0, time.monotonic()
        while not self._is_ending.is_set():
            number += 1
            thread = threading.Thread(target=self._call, args=(number,))
            self._threads.append(thread)
            thread.start()
            next_at += 1 / self._rate_per_s
            time.sleep(max(0.0, next_at - time.monotonic()))

    def _call(self, number: int) -> None:
        kind = self._kinds[number % len(self._kinds)]
        router = self._stopping[number % len(self._stopping)]
        request_id = f"{self._prefix}{kind}-{number}"
        result = self._send(router, kind, request_id)
        self.results.append(result)
        if self._others and result.outcome in ("refused", "unread"):
            time.sleep(result.retry_after_s or 0.0)
            other = self._others[number % len(self._others)]
            result.later.append(self._send(other, kind, f"{request_id}-again"))


def call_on_kept_connections(
    router: FleetProcess,
    kinds: Sequence[str],
    prefix: str,
    is_ending: threading.Event,
    pause_s: float = 0.0,
    on_result: Callable[[CallResult], None] = lambda result: None,
) -> list[CallResult]:
    """Send requests in turn on one connection, and open another when it is closed.

    Requests go on until ``is_ending`` is set. Each result is passed on at once.
    """
    results: list[CallResult] = []
    connection = http.client.HTTPConnection(
        router.ip, router.port, timeout=CALLER_TIMEOUT_S
    )
    while not is_ending.wait(pause_s):
        number = len(results)
        kind = kinds[number % len(kinds)]
        result = send_request(router, kind, f"{prefix}{kind}-{number}", connection)
        results.append(result)
        on_result(result)
        if result.outcome == "unread":
            connection.close()
            is_ending.wait(UNREACHABLE_PAUSE_S)
    connection.close()
    return results


def lost_requests(
    results: Sequence[CallResult],
    stopped_at: Callable[[str], float],
    run_ids: frozenset[str],
) -> list[CallResult]:
    """Return the requests that lost their connection without an excuse.

    Parameters
    ----------
    stopped_at : callable
        Returns the monotonic time of the SIGTERM of a router, by its name.
    run_ids : frozenset of str
        Identifiers of the requests that targets ran.
    """

    def is_lost(result: CallResult) -> bool:
        if result.outcome != "cut":
            return False
        if result.request_id not in run_ids:
            return result.took_s > UNREAD_S
        signal_at = stopped_at(result.router)
        is_early = result.sent_at <= signal_at + EXCUSED_SENT_S
        ended_at = result.sent_at + result.took_s
        is_in_last_part = ended_at >= signal_at + STOP_S * (1 - LAST_FRACTION)
        return not (is_early and is_in_last_part)

    return [result for result in results if is_lost(result)]


def describe(results: Sequence[CallResult], since: float) -> str:
    """Return the outcomes by kind and by second after a time, for failed asserts."""
    counts = Counter(
        (int(result.sent_at - since), result.kind, result.outcome, result.status)
        for result in results
    )
    return "\n".join(
        f"{second} s: {kind} {outcome} {status}: {count}"
        for (second, kind, outcome, status), count in sorted(counts.items())
    )
