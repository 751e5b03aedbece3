"""Buffers requests that arrive before the configuration and the target list.

The buffer is needed when all processes restart at the same moment. Callers reconnect at
once, and the configuration arrives some tenths of a second later. A buffered request is
served sooner than a request that is refused with a retry delay, and its caller does
not spend a retry.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from berylnotch.net.messages import HttpRequest
from berylnotch.net.server import ServerConnection
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

#: Maximum number of requests that are buffered with their bodies. Further requests are
#: refused.
MAX_BUFFERED = 256

#: Longest time in the buffer, as a fraction of the time that the caller waits.
MAX_BUFFERED_FRACTION = 0.4

#: Handles a request that leaves the buffer.
RequestHandler = Callable[[ServerConnection, HttpRequest], None]


@define(eq=False)
class _BufferedRequest:
    """A buffered request and the connection of its caller."""

    connection: ServerConnection
    request: HttpRequest


class StartupBuffer:
    """Buffers requests for a bounded time and releases them in order of arrival.

    Parameters
    ----------
    loop : Loop
        Event loop of the router.
    buffer_until : float
        Boot time, in seconds, until which requests are buffered.
    handle_request : callable
        Serves a released request with the configuration in force, or refuses it.
    """

    def __init__(
        self, loop: Loop, buffer_until: float, handle_request: RequestHandler
    ) -> None:
        self._loop = loop
        self._buffer_until = buffer_until
        self._handle_request = handle_request
        self._buffered_requests: list[_BufferedRequest] = []

    def __len__(self) -> int:
        return len(self._buffered_requests)

    def add(
        self,
        connection: ServerConnection,
        request: HttpRequest,
        deadline_s: float | None,
    ) -> bool:
        """Buffer a request, if its deadline and the size of the buffer allow it.

        Parameters
        ----------
        connection : ServerConnection
            Connection of the caller. If the caller disconnects, the request is
            discarded.
        request : HttpRequest
            Request to buffer.
        deadline_s : float or None
            Seconds for which the caller waits, None if the request has no deadline.

        Returns
        -------
        bool
            Whether the request was buffered.
        """
        now = boot_time()
        release_at = self._buffer_until
        if deadline_s is not None:
            release_at = min(
                release_at, request.received_at + MAX_BUFFERED_FRACTION * deadline_s
            )
        if now >= release_at or len(self._buffered_requests) >= MAX_BUFFERED:
            return False
        entry = _BufferedRequest(connection, request)
        self._buffered_requests.append(entry)
        connection.on_disconnected = lambda: self._discard(entry)
        self._loop.call_later(release_at - now, lambda: self._release(entry))
        return True

    def release_all(self) -> None:
        """Release all buffered requests to the request handler."""
        for entry in tuple(self._buffered_requests):
            self._release(entry)

    def _release(self, entry: _BufferedRequest) -> None:
        if self._discard(entry):
            entry.connection.on_disconnected = None
            self._handle_request(entry.connection, entry.request)

    def _discard(self, entry: _BufferedRequest) -> bool:
        if entry not in self._buffered_requests:
            return False
        self._buffered_requests.remove(entry)
        return True
