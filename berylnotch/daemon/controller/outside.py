"""HTTP client of the leader for engines and the platform."""

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


class ExternalClient:
    """Sends requests in the network thread and delivers answers to the core thread.

    Parameters
    ----------
    loop : Loop
        Network thread of the process.
    deliver : callable
        Runs a callable in the core thread.
    """

    def __init__(
        self, loop: Loop, deliver: Callable[[Callable[[], None]], None]
    ) -> None:
        self._loop = loop
        self._deliver = deliver
        self._upstreams = Upstreams(loop)

    def close(self) -> None:
        """Cancel all running requests."""
        self._loop.call_soon(self._upstreams.close)

    def fetch(
        self,
        request: UpstreamRequest,
        read: Read[T],
        on_done: OnDone[T],
        valid_until: float = float("inf"),
    ) -> None:
        """Send a request and pass its result to ``on_done`` in the core thread.

        Parameters
        ----------
        request : UpstreamRequest
            Request to send.
        read : callable
            Converts the status and body of the answer into a value.
        on_done : callable
            Receives the value, or None and the error.
        valid_until : float, optional
            Monotonic time in seconds from which the request must not be sent.
        """

        def deliver_result(answer: T | None, error: Exception | None) -> None:
            self._deliver(lambda: on_done(answer, error))

        def send() -> None:
            # The lease may have ended since the core thread checked it, for example
            # because the process was suspended.
            if time.monotonic() >= valid_until:
                deliver_result(
                    None,
                    UnreachableError(
                        "request not sent: the leader's lease has ended", sent=False
                    ),
                )
                return
            fetch(self._upstreams, request, read, deliver_result)

        self._loop.call_soon(send)
