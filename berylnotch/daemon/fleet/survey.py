"""Asks engines which weights they run, some at a time."""

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

#: Seconds in which an engine answers.
CALL_S = 0.6

#: Engines that are asked at the same time. Connections to all of a large fleet at once
#: would keep a new leader's thread busy beyond its lease.
AT_ONCE = 16


class EngineSurvey:
    """One round of questions to engines.

    Parameters
    ----------
    loop : Loop
        Loop in which everything runs.
    on_report : callable
        Gets each engine that answered, and its report.
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
        self._waiting: deque[ListedTarget] = deque()
        self._under_way = 0

    def ask(self, engines: Iterable[ListedTarget]) -> None:
        """Ask engines, after those that wait already."""
        self._waiting.extend(engines)
        self._ask_next()

    def close(self) -> None:
        """Ask no further engine."""
        self._waiting.clear()

    def _ask_next(self) -> None:
        while self._waiting and self._under_way < AT_ONCE:
            self._under_way += 1
            self._call(self._waiting.popleft())

    def _call(self, engine: ListedTarget) -> None:
        def done(answer: HttpResponse | None, why: str) -> None:
            self._under_way -= 1
            self._take(engine, answer, why)
            self._ask_next()

        address = parse_address(engine.address)
        fetch(self._loop, address, report_request(engine.address), CALL_S, done)

    def _take(
        self, engine: ListedTarget, answer: HttpResponse | None, why: str
    ) -> None:
        try:
            if answer is None:
                raise GatewayError(why)
            report = decode_report(answer)
        except GatewayError as error:
            self._log.warning(
                "report_unreadable", target=engine.target_id, reason=str(error)
            )
            return
        self._on_report(engine, report)
