"""Queue of one organisation's waiting requests, with its average service rate."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylnotch.admission.ticket import Ticket

#: Shortest time with a backlog from which a service rate is derived, in seconds.
MIN_BACKLOGGED_S = 0.5

#: Entry number of an organisation that has no entry in a heap of `FairQueue`.
NO_ENTRY = -1


class Backlog:
    """Requests of one organisation in the order of their arrival.

    Parameters
    ----------
    window_s : float
        Time constant of the average service rate, in seconds.
    now : float
        Time of creation, in seconds of the monotonic clock.

    Attributes
    ----------
    start_tag : float
        Start tag of the oldest request, in virtual time.
    entry_number : int
        Number of the valid entry in the ready heap or the deferred heap, or
        `NO_ENTRY`.
    is_short_of_tokens : bool
        Whether the oldest request waits for the organisation's tokens.
    is_deferred : bool
        Whether the organisation is in the deferred heap.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self.start_tag = 0.0
        self.entry_number = NO_ENTRY
        self.is_short_of_tokens = False
        self.is_deferred = False
        self._window_s = window_s
        self._tickets: deque[Ticket] = deque()
        self._waiting_ids: set[str] = set()
        self._waiting_cost = 0.0
        self._served_cost = 0.0
        self._backlogged_s = 0.0
        self._updated_at = now

    def __len__(self) -> int:
        return len(self._waiting_ids)

    @property
    def n_stored(self) -> int:
        """Number of requests in memory, including removed ones to be dropped later."""
        return len(self._tickets)

    def add(self, now: float, ticket: Ticket) -> None:
        """Append a request."""
        self._update_rate(now)
        self._tickets.append(ticket)
        self._waiting_ids.add(ticket.identity)
        self._waiting_cost += ticket.cost

    def head(self, now: float) -> Ticket | None:
        """Return the oldest request whose deadline has not passed."""
        while self._tickets:
            ticket = self._tickets[0]
            if ticket.deadline > now and ticket.identity in self._waiting_ids:
                return ticket
            self._tickets.popleft()
        return None

    def remove(self, now: float, ticket: Ticket) -> None:
        """Remove a request at any position of the queue."""
        self._update_rate(now)
        self._waiting_ids.remove(ticket.identity)
        self._waiting_cost -= ticket.cost
        if len(self._tickets) > 2 * len(self._waiting_ids):
            waiting = (t for t in self._tickets if t.identity in self._waiting_ids)
            self._tickets = deque(waiting)

    def serve(self, now: float, ticket: Ticket) -> None:
        """Remove a request that is sent to a target, and count its cost as served."""
        self.is_short_of_tokens = False
        self.remove(now, ticket)
        self._served_cost += ticket.cost

    def expected_wait_s(self, now: float, cost: float = 0.0) -> float:
        """Return the expected wait of a new request.

        Parameters
        ----------
        now : float
            Present time, in seconds.
        cost : float, default=0.0
            Cost of the new request, in tokens.

        Returns
        -------
        float
            Expected wait in seconds, or 0 as long as the service rate is not known.
            Time in which the organisation lacked tokens does not count in the rate.
        """
        self._update_rate(now)
        if self._backlogged_s < MIN_BACKLOGGED_S or not self._served_cost:
            return 0.0
        return (self._waiting_cost + cost) * self._backlogged_s / self._served_cost

    def _update_rate(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._updated_at = now
        if not self._waiting_ids or self.is_short_of_tokens:
            return
        decay = math.exp(-elapsed / self._window_s)
        self._served_cost *= decay
        self._backlogged_s = self._backlogged_s * decay + elapsed
