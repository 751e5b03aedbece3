"""Requests of the leader to systems outside, made in the network thread."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.gateways.errors import UnreachableError
from berylnotch.gateways.fetch import fetch
from berylnotch.gateways.transfers import Upstreams

if TYPE_CHECKING:
    from berylnotch.gateways.fetch import OnDone, Read, T
    from berylnotch.gateways.http import UpstreamRequest
    from berylnotch.util.loop import Loop


class Outside:
    """Carries the core's requests out and brings the answers back.

    Parameters
    ----------
    loop : Loop
        Network thread of the process.
    deliver : callable
        Runs a call in the core thread.
    """

    def __init__(
        self, loop: Loop, deliver: Callable[[Callable[[], None]], None]
    ) -> None:
        self._loop = loop
        self._deliver = deliver
        self._upstreams = Upstreams(loop)

    def close(self) -> None:
        """Cancel what is under way."""
        self._loop.call_soon(self._upstreams.close)

    def fetch(
        self,
        request: UpstreamRequest,
        read: Read[T],
        on_done: OnDone[T],
        valid_until: float = float("inf"),
    ) -> None:
        """Send a request; ``on_done`` runs in the core thread.

        Parameters
        ----------
        request : UpstreamRequest
            What to send.
        read : callable
            Turns status and body into a value.
        on_done : callable
            Gets the value, or the error.
        valid_until : float, optional
            Monotonic time from which the request must not be sent any more.
        """

        def done(answer: T | None, error: Exception | None) -> None:
            self._deliver(lambda: on_done(answer, error))

        def send() -> None:
            # The process may have been stopped since the core checked its lease.
            if time.monotonic() >= valid_until:
                done(None, UnreachableError("the lease ended", sent=False))
                return
            fetch(self._upstreams, request, read, done)

        self._loop.call_soon(send)
