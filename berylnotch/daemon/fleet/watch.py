"""Periodic reading of the platform's target list, page by page."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from berylnotch.errors import GatewayError
from berylnotch.membership.listing import ListedTarget
from berylnotch.net.fetch import MAX_LIST_BYTES, fetch
from berylnotch.net.messages import HttpResponse
from berylnotch.platform.targets import decode_page, list_request
from berylnotch.util.address import Address
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Seconds within which a page must arrive.
CALL_TIMEOUT_S = 0.8

#: Delay in seconds before a retry of a failed call, and upper bound of the pause
#: between pages.
RETRY_DELAY_S = 0.4

#: Share of the list's rate limit that one reader uses. A deposed leader may not know of
#: its successor yet and may still be reading at the same time.
RATE_SHARE = 0.5

#: Factor by which the pause between pages grows after a rate-limited call. The list may
#: allow fewer calls than its stated rate, and refused calls return no targets.
PAUSE_INCREASE_FACTOR = 1.5

#: Factor by which the pause between pages shrinks after each reading of the list
#: without a rate-limited call.
PAUSE_DECREASE_FACTOR = 0.9

#: Attempts for one page before the reading restarts from the first page.
MAX_PAGE_ATTEMPTS = 3

#: HTTP status of a rate-limited call.
TOO_MANY_REQUESTS = 429

#: Largest number of pages in one reading. A longer list is truncated, with a line in
#: the log.
MAX_PAGES = 200

#: Maximum number of skipped entries of the list that are quoted in the log.
MAX_LOGGED_ENTRIES = 4


class TargetListReader:
    """Reads the whole target list periodically.

    Parameters
    ----------
    loop : Loop
        Event loop of the process.
    address : Address
        Address of the server that provides the list.
    period_s : float
        Pause between two readings, in seconds.
    calls_per_s : float
        Rate limit of the list, in calls per second.
    on_page : callable
        Called with the targets of each page except the last.
    on_list : callable
        Called with the targets of each completely read list.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        period_s: float,
        calls_per_s: float,
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
        self._skipped: list[str] = []
        self._logged_skipped: list[str] = []
        self._page_count = 0
        self._page_token = ""
        self._min_pause_s = self._pause_s = 1 / (RATE_SHARE * calls_per_s)
        #: Whether the last call was rate-limited, and whether any call of the current
        #: reading was.
        self._is_last_call_limited = False
        self._is_reading_limited = False
        self._attempts = 0
        self._is_failing = False

    @property
    def skipped_count(self) -> int:
        """Number of entries of the last list that describe no usable target."""
        return len(self._logged_skipped)

    def start(self) -> None:
        """Start the first reading."""
        self._start_reading()

    def close(self) -> None:
        """Request no further pages."""
        self._is_closed = True

    def _start_reading(self) -> None:
        self._targets, self._skipped, self._page_count, self._attempts = [], [], 0, 0
        self._is_reading_limited = False
        self._request_page("")

    def _request_page(self, page_token: str) -> None:
        if self._is_closed:
            return
        self._page_token = page_token
        request = list_request(str(self._address), page_token)
        fetch(
            self._loop,
            self._address,
            request,
            CALL_TIMEOUT_S,
            self._on_response,
            MAX_LIST_BYTES,
        )

    def _on_response(self, response: HttpResponse | None, failure: str) -> None:
        if self._is_closed:
            return
        if response is not None and response.status == TOO_MANY_REQUESTS:
            # The pages read so far stay valid; a restart would exceed the limit again.
            if not self._is_last_call_limited:
                self._pause_s = min(
                    PAUSE_INCREASE_FACTOR * self._pause_s, RETRY_DELAY_S
                )
            self._is_last_call_limited = self._is_reading_limited = True
            self._log.info(
                "target_list_limited", pages=self._page_count, pause_s=self._pause_s
            )
            self._loop.call_later(
                self._pause_s, lambda: self._request_page(self._page_token)
            )
            return
        self._is_last_call_limited = False
        try:
            if response is None:
                raise GatewayError(failure)
            page = decode_page(response)
        except GatewayError as error:
            if not self._is_failing:
                self._log.warning("target_list_lost", reason=str(error))
            self._is_failing = True
            self._attempts += 1
            must_restart = not self._page_token or self._attempts >= MAX_PAGE_ATTEMPTS
            retry = (
                self._start_reading
                if must_restart
                else lambda: self._request_page(self._page_token)
            )
            self._loop.call_later(RETRY_DELAY_S, retry)
            return
        self._targets += page.targets
        self._skipped += page.skipped_entries
        self._page_count += 1
        if page.next_page and self._page_count < MAX_PAGES:
            self._attempts = 0
            self._loop.call_later(
                self._pause_s, lambda: self._request_page(page.next_page)
            )
            self._on_page(page.targets)
            return
        if self._is_failing or page.next_page:
            self._log.info("target_list_read", is_cut_off=bool(page.next_page))
        self._is_failing = False
        if not self._is_reading_limited:
            self._pause_s = max(
                PAUSE_DECREASE_FACTOR * self._pause_s, self._min_pause_s
            )
        self._log_skipped()
        # An error in the callback must not end the reading.
        self._loop.call_later(self._period_s, self._start_reading)
        self._on_list(_without_duplicates(self._targets))

    def _log_skipped(self) -> None:
        """Log the entries of a list that were skipped, if others were before."""
        skipped = sorted(self._skipped)
        if skipped == self._logged_skipped:
            return
        self._logged_skipped = skipped
        self._log.warning(
            "target_entries_skipped",
            count=len(skipped),
            entries="; ".join(skipped[:MAX_LOGGED_ENTRIES]),
        )


def _without_duplicates(targets: Iterable[ListedTarget]) -> tuple[ListedTarget, ...]:
    """Return the target that was born last of each identity, else the first.

    While a target restarts, both its processes may be listed.
    """
    by_id: dict[str, ListedTarget] = {}
    for target in targets:
        other = by_id.get(target.target_id)
        if other is None or target.born_ms > other.born_ms:
            by_id[target.target_id] = target
    return tuple(by_id.values())
