"""Waiting requests of one organisation, and how fast they are served."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylnotch.admission.ticket import Ticket

#: Time with a backlog after which its service rate is believed, in seconds.
MIN_BUSY_S = 0.5

#: Entry number of an organisation that is not in the order of service.
NO_ENTRY = -1


class Backlog:
    """Requests of one organisation in the order of their arrival.

    Parameters
    ----------
    window_s : float
        Time constant of the average service rate.
    now : float
        Time of creation.

    Attributes
    ----------
    start : float
        Start tag of the oldest request, in virtual time.
    entry : int
        Number of the valid entry in the order of service or among those set
        aside, or `NO_ENTRY`.
    is_short : bool
        Whether the oldest request waits for the organisation's tokens.
    is_parked : bool
        Whether the organisation is set aside.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self.start = 0.0
        self.entry = NO_ENTRY
        self.is_short = False
        self.is_parked = False
        self._window_s = window_s
        self._tickets: deque[Ticket] = deque()
        self._live: set[str] = set()
        self._cost = 0.0
        self._served = 0.0
        self._busy_s = 0.0
        self._updated = now

    def __len__(self) -> int:
        return len(self._live)

    @property
    def size(self) -> int:
        """Requests in memory, with removed ones not yet dropped."""
        return len(self._tickets)

    def add(self, now: float, ticket: Ticket) -> None:
        """Append a request."""
        self._measure(now)
        self._tickets.append(ticket)
        self._live.add(ticket.identity)
        self._cost += ticket.cost

    def head(self, now: float) -> Ticket | None:
        """Return the oldest request whose deadline has not passed."""
        while self._tickets:
            ticket = self._tickets[0]
            if ticket.deadline > now and ticket.identity in self._live:
                return ticket
            self._tickets.popleft()
        return None

    def remove(self, now: float, ticket: Ticket) -> None:
        """Take out a request wherever it stands."""
        self._measure(now)
        self._live.remove(ticket.identity)
        self._cost -= ticket.cost
        if len(self._tickets) > 2 * len(self._live):
            kept = (t for t in self._tickets if t.identity in self._live)
            self._tickets = deque(kept)

    def serve(self, now: float, ticket: Ticket) -> None:
        """Take out a request that is sent to a target."""
        self.is_short = False
        self.remove(now, ticket)
        self._served += ticket.cost

    def expected_wait_s(self, now: float, cost: float = 0.0) -> float:
        """Return how long a new request of ``cost`` would wait.

        It is 0 as long as the service rate is not known. Time in which the
        organisation lacked tokens is left out of the rate.
        """
        self._measure(now)
        if self._busy_s < MIN_BUSY_S or not self._served:
            return 0.0
        return (self._cost + cost) * self._busy_s / self._served

    def _measure(self, now: float) -> None:
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        self._updated = now
        if not self._live or self.is_short:
            return
        decay = math.exp(-elapsed / self._window_s)
        self._served *= decay
        self._busy_s = self._busy_s * decay + elapsed
