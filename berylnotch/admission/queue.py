"""Weighted fair queue of the requests that wait in one router, across organisations."""

from __future__ import annotations

import heapq
import math
from itertools import count
from typing import TYPE_CHECKING

from berylnotch.admission.backlog import NO_ENTRY, Backlog
from berylnotch.admission.errors import DuplicateTicketError
from berylnotch.admission.ticket import Fit, Refusal, RefusalReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylnotch.admission.settings import AdmissionSettings
    from berylnotch.admission.ticket import Ticket

#: Priority at which an organisation's weight equals its share.
NEUTRAL_PRIORITY = 4

#: Number of priority steps that halve the weight of an organisation.
STEPS_PER_HALVING = 2

#: Shortest retry-after time of a refused caller, in milliseconds.
MIN_RETRY_MS = 100

#: Longest retry-after time of a refused caller, in milliseconds.
MAX_RETRY_MS = 30_000

#: Retry-after time while the service rate is not known, in milliseconds.
UNKNOWN_RETRY_MS = 1000

#: Number of entries that a heap may hold beyond twice the number of waiting requests.
COMPACTION_SLACK = 64


class FairQueue:
    """Serves organisations in proportion to their shares.

    The queue implements start-time fair queueing. Each request has a start tag in
    virtual time: the later of the present virtual time and the finish tag of the
    organisation's previous request. The finish tag is the start tag plus cost /
    weight. The request with the smallest start tag is served first. An organisation
    with a worse priority has used more than its share over all routers, so its
    weight is reduced.

    Each operation costs O(log n) on average. If capacity or tokens are
    insufficient for an organisation's oldest request, the organisation is deferred
    until `wake` is called or ``recheck_s`` passes.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds of the queue.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._tickets: dict[str, Ticket] = {}
        self._backlogs: dict[str, Backlog] = {}
        self._ready_heap: list[tuple[float, int, str]] = []
        self._deferred_heap: list[tuple[float, int, str]] = []
        self._deadline_heap: list[tuple[float, str]] = []
        self._entry_numbers = count()
        self._virtual_time = 0.0
        self._now = -math.inf

    def __len__(self) -> int:
        return len(self._tickets)

    @property
    def n_entries(self) -> int:
        """Number of entries in memory, including outdated ones."""
        n_heap_entries = (
            len(self._ready_heap) + len(self._deferred_heap) + len(self._deadline_heap)
        )
        return n_heap_entries + sum(b.n_stored for b in self._backlogs.values())

    def offer(self, now: float, ticket: Ticket) -> Refusal | None:
        """Queue a request, or return a refusal with its reason and retry-after time.

        Raises
        ------
        DuplicateTicketError
            If a request with the same identity is already queued.
        """
        self._now = max(self._now, now)
        if ticket.identity in self._tickets:
            raise DuplicateTicketError(ticket.identity)
        reason = self._refusal_reason(now, ticket)
        if reason is not None:
            retry_after_ms = self.retry_after_ms(now, ticket.organisation)
            return Refusal(reason, retry_after_ms)
        self._insert(now, ticket)
        return None

    def pop(self, now: float, fits: Callable[[Ticket], Fit | bool]) -> Ticket | None:
        """Remove and return the next request that fits, or None.

        Only the oldest request of each organisation is considered. ``fits``
        tells whether a request may run now; it is called at most once for each
        organisation that is not deferred.
        """
        self._now = max(self._now, now)
        self._resume_due(now)
        while self._ready_heap:
            _, entry_number, organisation = heapq.heappop(self._ready_heap)
            backlog = self._backlogs.get(organisation)
            if backlog is None or backlog.entry_number != entry_number:
                continue
            head = backlog.head(now)
            if head is None:
                backlog.entry_number = NO_ENTRY
                continue
            fit = fits(head)
            if fit is True or fit is Fit.FITS:
                self._serve(now, backlog, head)
                return head
            self._defer(now, backlog, organisation, fit)
        return None

    def wake(self, organisation: str) -> None:
        """Reschedule a deferred organisation after it got tokens or capacity."""
        backlog = self._backlogs.get(organisation)
        if backlog is not None and backlog.is_deferred:
            self._schedule(backlog, organisation)

    def wake_all(self) -> None:
        """Reschedule every deferred organisation."""
        for _, entry_number, organisation in self._deferred_heap:
            backlog = self._backlogs.get(organisation)
            if backlog is not None and backlog.entry_number == entry_number:
                self._schedule(backlog, organisation)
        self._deferred_heap.clear()

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadline_heap and self._deadline_heap[0][0] <= now:
            deadline, identity = heapq.heappop(self._deadline_heap)
            ticket = self._tickets.get(identity)
            if ticket is not None and ticket.deadline == deadline:
                self._remove(now, ticket)
                expired.append(ticket)
        return tuple(expired)

    def cancel(self, ticket: Ticket) -> bool:
        """Remove a cancelled request; return whether it was queued."""
        if self._tickets.get(ticket.identity) is not ticket:
            return False
        self._remove(self._now, ticket)
        return True

    def retry_after_ms(self, now: float, organisation: str) -> int:
        """Return the retry-after time of a refused caller, in milliseconds.

        It is the time in which the organisation's backlog is served at its
        present service rate.
        """
        backlog = self._backlogs.get(organisation)
        wait_s = 0.0 if backlog is None else backlog.expected_wait_s(now)
        if not wait_s:
            return UNKNOWN_RETRY_MS
        return max(MIN_RETRY_MS, min(MAX_RETRY_MS, math.ceil(wait_s * 1000)))

    def _refusal_reason(self, now: float, ticket: Ticket) -> RefusalReason | None:
        if ticket.deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        n_free = self._settings.max_tickets - len(self._tickets)
        if n_free <= 0:
            return RefusalReason.QUEUE_FULL
        backlog = self._backlogs.get(ticket.organisation)
        if backlog is None or not len(backlog):
            return None
        if len(backlog) >= max(1, n_free * self._settings.free_fraction):
            return RefusalReason.ORGANISATION_FULL
        max_wait_s = min(self._settings.max_wait_s, ticket.deadline - now)
        if backlog.expected_wait_s(now) > max_wait_s:
            return RefusalReason.WAIT_TOO_LONG
        return None

    def _insert(self, now: float, ticket: Ticket) -> None:
        backlog = self._backlogs.get(ticket.organisation)
        if backlog is None:
            backlog = Backlog(self._settings.rate_window_s, now)
            self._backlogs[ticket.organisation] = backlog
        backlog.add(now, ticket)
        if backlog.entry_number == NO_ENTRY:
            backlog.start_tag = max(backlog.start_tag, self._virtual_time)
            backlog.is_short_of_tokens = False
            self._schedule(backlog, ticket.organisation)
        self._tickets[ticket.identity] = ticket
        heapq.heappush(self._deadline_heap, (ticket.deadline, ticket.identity))

    def _schedule(self, backlog: Backlog, organisation: str) -> None:
        backlog.is_deferred = False
        backlog.entry_number = next(self._entry_numbers)
        entry = (backlog.start_tag, backlog.entry_number, organisation)
        heapq.heappush(self._ready_heap, entry)

    def _defer(
        self, now: float, backlog: Backlog, organisation: str, fit: Fit | bool
    ) -> None:
        backlog.is_short_of_tokens = fit is Fit.NO_TOKENS
        backlog.is_deferred = True
        backlog.entry_number = next(self._entry_numbers)
        recheck_at = now + self._settings.recheck_s
        heapq.heappush(
            self._deferred_heap, (recheck_at, backlog.entry_number, organisation)
        )

    def _resume_due(self, now: float) -> None:
        while self._deferred_heap and self._deferred_heap[0][0] <= now:
            _, entry_number, organisation = heapq.heappop(self._deferred_heap)
            backlog = self._backlogs.get(organisation)
            if backlog is not None and backlog.entry_number == entry_number:
                self._schedule(backlog, organisation)

    def _serve(self, now: float, backlog: Backlog, ticket: Ticket) -> None:
        self._virtual_time = max(self._virtual_time, backlog.start_tag)
        backlog.start_tag += ticket.cost / _weight(ticket)
        backlog.serve(now, ticket)
        backlog.entry_number = NO_ENTRY
        del self._tickets[ticket.identity]
        if len(backlog):
            self._schedule(backlog, ticket.organisation)
        self._compact()

    def _remove(self, now: float, ticket: Ticket) -> None:
        del self._tickets[ticket.identity]
        backlog = self._backlogs[ticket.organisation]
        backlog.remove(now, ticket)
        if not len(backlog):
            backlog.entry_number = NO_ENTRY
            backlog.is_deferred = False
        elif backlog.is_deferred:
            self._schedule(backlog, ticket.organisation)
        self._compact()

    def _compact(self) -> None:
        """Drop outdated entries once they outnumber the valid entries."""
        max_entries = 2 * len(self._tickets) + COMPACTION_SLACK
        if len(self._deadline_heap) > max_entries:
            self._deadline_heap = [
                (t.deadline, t.identity) for t in self._tickets.values()
            ]
            heapq.heapify(self._deadline_heap)
        if len(self._ready_heap) > max_entries:
            self._ready_heap = self._valid_entries(self._ready_heap)
        if len(self._deferred_heap) > max_entries:
            self._deferred_heap = self._valid_entries(self._deferred_heap)
        if len(self._backlogs) > max_entries:
            self._drop_idle_backlogs()

    def _valid_entries(self, heap: list[tuple[float, int, str]]) -> list:
        backlogs = self._backlogs
        valid = [
            e for e in heap if e[2] in backlogs and backlogs[e[2]].entry_number == e[1]
        ]
        heapq.heapify(valid)
        return valid

    def _drop_idle_backlogs(self) -> None:
        """Drop organisations without a backlog whose start tag is not in the future."""
        if not self._tickets:
            self._backlogs.clear()
            return
        self._backlogs = {
            name: backlog
            for name, backlog in self._backlogs.items()
            if len(backlog) or backlog.start_tag > self._virtual_time
        }


def _weight(ticket: Ticket) -> float:
    steps = ticket.priority - NEUTRAL_PRIORITY
    return ticket.share * 2 ** (-steps / STEPS_PER_HALVING)
