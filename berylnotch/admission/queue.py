"""Weighted fair queue of the requests that wait in one router."""

from __future__ import annotations

import heapq
import math
from collections import deque
from typing import TYPE_CHECKING

from attrs import define, field

from berylnotch.admission.errors import DuplicateTicketError
from berylnotch.admission.ticket import Refusal, RefusalReason, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylnotch.admission.settings import AdmissionSettings

#: Priority at which an organisation's own share counts unchanged.
EVEN_PRIORITY = 4

#: Priority steps that halve the weight of an organisation.
STEPS_PER_HALVING = 2

#: Shortest time after which a refused caller is told to come back.
MIN_RETRY_MS = 100


@define
class _Backlog:
    """Waiting requests of one organisation; ``start`` is its head's tag."""

    tickets: deque[Ticket] = field(factory=deque)
    start: float = 0.0
    live: int = 0


class FairQueue:
    """Serves organisations in proportion to their shares.

    Start-time fair queueing: each request has a start tag in virtual time, the
    later of the present virtual time and the end of the organisation's request
    before it, which lies cost / share after its own start. The smallest start
    is served first. An organisation with a worse priority has used more than
    its share over all routers, and its share counts for less.

    Parameters
    ----------
    settings : AdmissionSettings
        Bounds of the queue.
    """

    def __init__(self, settings: AdmissionSettings) -> None:
        self._settings = settings
        self._waiting: dict[str, Ticket] = {}
        self._backlogs: dict[str, _Backlog] = {}
        self._order: list[tuple[float, str]] = []
        self._deadlines: list[tuple[float, str]] = []
        self._virtual = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def offer(self, now: float, ticket: Ticket) -> Refusal | None:
        """Queue a request, or say why not and when to come back."""
        if ticket.identity in self._waiting:
            raise DuplicateTicketError(ticket.identity)
        reason = self._refusal_reason(now, ticket)
        if reason is not None:
            retry_after_ms = self.retry_after_ms(now, ticket.organisation)
            return Refusal(reason, retry_after_ms)
        self._insert(ticket)
        return None

    def pop(self, now: float, fits: Callable[[Ticket], bool]) -> Ticket | None:
        """Take the next request that fits, or none.

        Only the oldest request of each organisation is considered.
        """
        passed = []
        found = None
        while self._order and found is None:
            start, organisation = heapq.heappop(self._order)
            head = self._head(organisation)
            if head is None:
                continue
            if head.deadline > now and fits(head):
                found = head
            else:
                passed.append((start, organisation))
        for entry in passed:
            heapq.heappush(self._order, entry)
        if found is not None:
            self._serve(found)
        return found

    def expire(self, now: float) -> tuple[Ticket, ...]:
        """Take out the requests whose deadline has passed."""
        gone = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, identity = heapq.heappop(self._deadlines)
            ticket = self._waiting.get(identity)
            if ticket is not None and ticket.deadline <= now:
                self._remove(ticket)
                gone.append(ticket)
        return tuple(gone)

    def cancel(self, ticket: Ticket) -> bool:
        """Take out a request that was given up; return whether it waited."""
        if self._waiting.get(ticket.identity) is not ticket:
            return False
        self._remove(ticket)
        return True

    def retry_after_ms(self, now: float, organisation: str) -> int:
        """Return when a refused caller should come back."""
        return MIN_RETRY_MS

    def _refusal_reason(self, now: float, ticket: Ticket) -> RefusalReason | None:
        if ticket.deadline <= now:
            return RefusalReason.DEADLINE_PASSED
        free = self._settings.max_tickets - len(self._waiting)
        if free <= 0:
            return RefusalReason.QUEUE_FULL
        backlog = self._backlogs.get(ticket.organisation)
        allowed = max(1, math.floor(free * self._settings.free_fraction))
        if backlog is not None and backlog.live >= allowed:
            return RefusalReason.ORGANISATION_FULL
        return None

    def _insert(self, ticket: Ticket) -> None:
        backlog = self._backlogs.get(ticket.organisation)
        if backlog is None:
            backlog = _Backlog()
            self._backlogs[ticket.organisation] = backlog
        if not backlog.live:
            backlog.tickets.clear()
            backlog.start = max(backlog.start, self._virtual)
            heapq.heappush(self._order, (backlog.start, ticket.organisation))
        backlog.tickets.append(ticket)
        backlog.live += 1
        self._waiting[ticket.identity] = ticket
        heapq.heappush(self._deadlines, (ticket.deadline, ticket.identity))

    def _head(self, organisation: str) -> Ticket | None:
        tickets = self._backlogs[organisation].tickets
        while tickets and self._waiting.get(tickets[0].identity) is not tickets[0]:
            tickets.popleft()
        return tickets[0] if tickets else None

    def _serve(self, ticket: Ticket) -> None:
        backlog = self._backlogs[ticket.organisation]
        self._virtual = max(self._virtual, backlog.start)
        backlog.start += ticket.cost / _weight(ticket)
        self._remove(ticket)
        if self._head(ticket.organisation) is not None:
            entry = (backlog.start, ticket.organisation)
            heapq.heappush(self._order, entry)

    def _remove(self, ticket: Ticket) -> None:
        del self._waiting[ticket.identity]
        self._backlogs[ticket.organisation].live -= 1


def _weight(ticket: Ticket) -> float:
    steps = ticket.priority - EVEN_PRIORITY
    return ticket.share * 2 ** (-steps / STEPS_PER_HALVING)
