"""Callers that go on sending to routers which stop, with the result of each request."""

from __future__ import annotations

import http.client
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
    run: str = ""
    later: list[CallResult] = field(factory=list)

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
    deadline_ms: int = 10_000,
) -> CallResult:
    """Send one request and wait for all of its answer.

    Parameters
    ----------
    connection : http.client.HTTPConnection, optional
        Kept connection to send it on; by default, a new one that is closed afterwards.
    """
    is_kept = connection is not None
    if connection is None:
        connection = http.client.HTTPConnection(
            router.ip, router.port, timeout=CALLER_TIMEOUT_S
        )
    result = CallResult(
        request_id, kind, router.name, time.monotonic(), is_kept_connection=is_kept
    )
    headers = {
        "Host": "app.example",
        "Authorization": f"Bearer {KEY}",
        "Berylnotch-Request-Id": request_id,
        "Berylnotch-Deadline-Ms": str(deadline_ms),
    }
    if kind == "chat":
        headers["Berylnotch-Model"] = MODEL
        headers["Berylnotch-Token-Count"] = "300,20"
        headers["Berylnotch-Prefix-Hash"] = "aa01:200,bb02:100"
    try:
        method = "GET" if kind == "read" else "POST"
        body = None if kind == "read" else b"{}"
        if connection.sock is None:
            connection.connect()
        connection.request(method, f"/{kind}/x", body=body, headers=headers)
        result.sent_at = time.monotonic()
        result.outcome = "cut"
        response = connection.getresponse()
        result.status = response.status
        response.read()
        result.closes = response.will_close
        result.outcome = _outcome(response.status)
        retry_after = response.getheader("Retry-After")
        result.retry_after_s = float(retry_after) if retry_after else None
    except (OSError, http.client.HTTPException):
        pass
    finally:
        result.took_s = time.monotonic() - result.sent_at
        if not is_kept or result.closes or result.outcome == "cut":
            connection.close()
    return result


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
    send : callable, default=send_request
        Sends one request to a router, given its kind and identifier.
    """

    def __init__(
        self,
        stopping: Sequence[Any],
        others: Sequence[Any],
        kinds: Sequence[str] = ("chat", "book", "read"),
        rate_per_s: float = 20.0,
        send: Callable[[Any, str, str], CallResult] = send_request,
    ) -> None:
        self._send = send
        self._stopping, self._others = stopping, others
        self._kinds, self._rate_per_s = kinds, rate_per_s
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
        result = self._send(router, kind, f"{kind}-{number}")
        self.results.append(result)
        if self._others and result.outcome in ("refused", "unread"):
            time.sleep(result.retry_after_s or 0.0)
            other = self._others[number % len(self._others)]
            result.later.append(self._send(other, kind, f"{kind}-{number}-again"))


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
