"""Queue that queries engines for their weights, with bounded concurrency."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable

from berylnotch.errors import GatewayError
from berylnotch.membership.listing import ListedTarget
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import HttpResponse
from berylnotch.platform.targets import EngineReport, decode_report, report_request
from berylnotch.util.address import parse_address
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds within which an engine must answer a call.
CALL_TIMEOUT_S = 0.6

#: Largest number of calls in flight. Connecting to all engines of a large fleet at once
#: would keep the thread of a new leader busy until its lease expires.
MAX_CONCURRENT_CALLS = 16


class EngineSurvey:
    """Queue of engines to query for their reports.

    Parameters
    ----------
    loop : Loop
        Event loop of the process.
    on_report : callable
        Called with each engine that answered and its report.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        loop: Loop,
        on_report: Callable[[ListedTarget, EngineReport], None],
        log: EventLog,
    ) -> None:
        self._loop = loop
        self._on_report = on_report
        self._log = log
        self._queue: deque[ListedTarget] = deque()
        self._calls_in_flight = 0

    def query(self, engines: Iterable[ListedTarget]) -> None:
        """Queue engines after those that are queued already."""
        self._queue.extend(engines)
        self._start_calls()

    def close(self) -> None:
        """Clear the queue; calls in flight continue."""
        self._queue.clear()

    def _start_calls(self) -> None:
        while self._queue and self._calls_in_flight < MAX_CONCURRENT_CALLS:
            self._calls_in_flight += 1
            self._call(self._queue.popleft())

    def _call(self, engine: ListedTarget) -> None:
        def on_done(response: HttpResponse | None, failure: str) -> None:
            self._calls_in_flight -= 1
            self._on_response(engine, response, failure)
            self._start_calls()

        address = parse_address(engine.address)
        fetch(
            self._loop,
            address,
            report_request(engine.address),
            CALL_TIMEOUT_S,
            on_done,
        )

    def _on_response(
        self, engine: ListedTarget, response: HttpResponse | None, failure: str
    ) -> None:
        try:
            if response is None:
                raise GatewayError(failure)
            report = decode_report(response)
        except GatewayError as error:
            self._log.warning(
                "report_unreadable", target=engine.target_id, reason=str(error)
            )
            return
        self._on_report(engine, report)
