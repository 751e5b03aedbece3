"""Single HTTP requests, each on a new connection, with the response in full."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.net.client import ClientConnection, Failure, ResponseSink
from berylnotch.net.messages import HttpRequest, HttpResponse
from berylnotch.net.response_reader import ResponseHead
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

#: Default of the maximum size of a response body in bytes. Many calls may be in flight
#: at the same time, and their responses are small.
MAX_BODY_BYTES = 256 * 1024

#: Maximum size, in bytes, of the body of a response that lists many entries.
MAX_LIST_BYTES = 4 * 1024 * 1024


class _Fetch(ResponseSink):
    """Collects one response and reports it or the failure."""

    def __init__(
        self,
        connection: ClientConnection,
        max_bytes: int,
        on_done: Callable[[HttpResponse | None, str], None],
    ) -> None:
        self._connection = connection
        self._max_bytes = max_bytes
        self._on_done = on_done
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._is_finished = False

    def on_head(self, head: ResponseHead) -> bool:
        self._head = head
        return True

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._max_bytes:
            self._connection.close()
            self.finish(None, f"answer over {self._max_bytes} bytes")

    def on_complete(self) -> None:
        response = HttpResponse(
            self._head.status, self._head.headers, bytes(self._body)
        )
        self.finish(response, "")

    def on_failure(self, failure: Failure, reason: str) -> None:
        self.finish(None, reason)

    def finish(self, response: HttpResponse | None, reason: str) -> None:
        """Close the connection and report the result; further calls do nothing."""
        if self._is_finished:
            return
        self._is_finished = True
        self._connection.close()
        self._on_done(response, reason)


def fetch(
    loop: Loop,
    address: Address,
    request: HttpRequest,
    timeout_s: float,
    on_done: Callable[[HttpResponse | None, str], None],
    max_bytes: int = MAX_BODY_BYTES,
) -> None:
    """Send a request on a new connection and collect the response.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Address of the server.
    request : HttpRequest
        Request to send.
    timeout_s : float
        Time limit of the whole exchange in seconds.
    on_done : callable
        Called once with the response and an empty string, or with None and the reason
        of the failure.
    max_bytes : int, default=256 KiB
        Maximum size of the response body in bytes.
    """
    connection = ClientConnection(loop, address, timeout_s, timeout_s)
    sink = _Fetch(connection, max_bytes, on_done)
    connection.send(request, sink)
    loop.call_later(
        timeout_s, lambda: sink.finish(None, f"no answer in {timeout_s:g} s")
    )
