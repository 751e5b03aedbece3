"""Reads the platform's list of targets, page by page."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.errors import GatewayError
from berylnotch.membership.listing import ListedTarget
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import HttpResponse
from berylnotch.platform.targets import decode_page, list_request
from berylnotch.util.address import Address
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds in which a page must come.
CALL_S = 0.8

#: Pause in seconds after a failed call.
RETRY_S = 0.4

#: Part of the calls that the list answers which one reading takes; a leader that was
#: replaced may not know it yet, and reads on.
RATE_PART = 0.5

#: Factor by which the pause between pages grows after a call beyond the rate. The list
#: may answer fewer calls than it states, and refused calls bring nothing.
SLOWER_FACTOR = 1.5

#: Factor by which it shrinks with each list that was read without such a call.
FASTER_FACTOR = 0.9

#: Times that one page is asked for before the reading begins anew.
PAGE_TRIES = 3

#: Status of a call beyond that rate.
TOO_MANY_CALLS = 429

#: Pages of one reading; more are cut off with a line in the log.
MAX_PAGES = 200


class TargetWatch:
    """Periodic reading of the whole list.

    Parameters
    ----------
    loop : Loop
        Loop in which everything runs.
    address : Address
        Where the list is served.
    period_s : float
        Pause between two readings.
    rate : float
        Calls a second that the list answers.
    on_page : callable
        Gets the targets of each page.
    on_list : callable
        Gets each whole list.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        period_s: float,
        rate: float,
        on_page: Callable[[tuple[ListedTarget, ...]], None],
        on_list: Callable[[tuple[ListedTarget, ...]], None],
        log: EventLog,
    ) -> None:
        self._loop = loop
        self._address = address
        self._period_s = period_s
        self._on_page = on_page
        self._on_list = on_list
        self._log = log
        self._is_closed = False
        self._targets: list[ListedTarget] = []
        self._skipped = 0
        self._pages = 0
        self._page = ""
        self._least_pause_s = self._pause_s = 1 / (RATE_PART * rate)
        #: Whether the newest call, and any of this reading, was beyond the rate.
        self._is_refused = False
        self._is_limited = False
        self._tries = 0
        self._is_failing = False

    def start(self) -> None:
        """Begin to read."""
        self._begin()

    def close(self) -> None:
        """Read no further page."""
        self._is_closed = True

    def _begin(self) -> None:
        self._targets, self._skipped, self._pages, self._tries = [], 0, 0, 0
        self._is_limited = False
        self._read("")

    def _read(self, page: str) -> None:
        if self._is_closed:
            return
        self._page = page
        request = list_request(str(self._address), page)
        fetch(self._loop, self._address, request, CALL_S, self._take)

    def _take(self, response: HttpResponse | None, why: str) -> None:
        if self._is_closed:
            return
        if response is not None and response.status == TOO_MANY_CALLS:
            # What was read so far holds; a new reading would meet the limit again.
            if not self._is_refused:
                self._pause_s = min(SLOWER_FACTOR * self._pause_s, RETRY_S)
            self._is_refused = self._is_limited = True
            self._log.info(
                "target_list_limited", pages=self._pages, pause_s=self._pause_s
            )
            self._loop.call_later(self._pause_s, lambda: self._read(self._page))
            return
        self._is_refused = False
        try:
            if response is None:
                raise GatewayError(why)
            page = decode_page(response)
        except GatewayError as error:
            if not self._is_failing:
                self._log.warning("target_list_lost", reason=str(error))
            self._is_failing = True
            self._tries += 1
            is_given_up = not self._page or self._tries >= PAGE_TRIES
            again = self._begin if is_given_up else lambda: self._read(self._page)
            self._loop.call_later(RETRY_S, again)
            return
        self._targets += page.targets
        self._skipped += page.skipped
        self._pages += 1
        if page.next_page and self._pages < MAX_PAGES:
            self._tries = 0
            self._on_page(page.targets)
            self._loop.call_later(self._pause_s, lambda: self._read(page.next_page))
            return
        if self._is_failing or page.next_page:
            self._log.info("target_list_read", is_cut_off=bool(page.next_page))
        self._is_failing = False
        if not self._is_limited:
            self._pause_s = max(FASTER_FACTOR * self._pause_s, self._least_pause_s)
        self._on_list(tuple(self._targets))
        self._loop.call_later(self._period_s, self._begin)
