"""One call on a connection of its own, with its whole answer."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.net.client import (
    ClientConnection,
    Failure,
    ResponseHead,
    ResponseSink,
)
from berylnotch.net.messages import HttpRequest, HttpResponse
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop


class _Fetch(ResponseSink):
    """Collects one whole answer."""

    def __init__(
        self,
        connection: ClientConnection,
        max_bytes: int,
        done: Callable[[HttpResponse | None, str], None],
    ) -> None:
        self._connection = connection
        self._max_bytes = max_bytes
        self._done = done
        self._head: ResponseHead | None = None
        self._body = bytearray()
        self._is_over = False

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
        """Report the result once, and close."""
        if self._is_over:
            return
        self._is_over = True
        self._connection.close()
        self._done(response, reason)


def fetch(
    loop: Loop,
    address: Address,
    request: HttpRequest,
    timeout_s: float,
    done: Callable[[HttpResponse | None, str], None],
    max_bytes: int = 4 * 1024 * 1024,
) -> None:
    """Send a request on a connection of its own and collect the answer.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Where to connect.
    request : HttpRequest
        What to send.
    timeout_s : float
        Time for the whole exchange.
    done : callable
        Gets the answer, or None and the reason why there is none.
    max_bytes : int, default=4 MiB
        Largest body.
    """
    connection = ClientConnection(loop, address, timeout_s, timeout_s)
    sink = _Fetch(connection, max_bytes, done)
    connection.send(request, sink)
    loop.call_later(
        timeout_s, lambda: sink.finish(None, f"no answer in {timeout_s:g} s")
    )
