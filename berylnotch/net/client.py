"""HTTP/1.1 client connection to a target.

A connection carries one request at a time and never resends a request by itself.
"""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from enum import Enum

from berylnotch.net.messages import HttpRequest
from berylnotch.net.response_checks import UnsoundResponseError
from berylnotch.net.response_reader import (
    ResponseHead,
    ResponseLimitError,
    ResponseReader,
)
from berylnotch.net.sockets import connect, is_local_error, unacknowledged_bytes
from berylnotch.util.address import Address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop, Timer

_READ_BYTES = 64 * 1024


class Failure(Enum):
    """Kind of failed exchange, by whether the target may have read the request."""

    #: This process could not open a socket, which says nothing about the target.
    NO_SOCKET = "no_socket"
    #: No byte left this process, so the target has not seen the request.
    NOT_SENT = "not_sent"
    #: The target may have read the request.
    BROKEN = "broken"


class ResponseSink:
    """Callbacks for the response to a request; each does nothing by default.

    `on_head` returns whether the response belongs to the request. A response to
    another request is skipped, and the connection is not used again.
    """

    def on_head(self, head: ResponseHead) -> bool:
        """Receive the head of a response; return whether it belongs to the request."""
        return True

    def on_body(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_complete(self) -> None:
        """Handle the end of a complete response."""

    def on_failure(self, failure: Failure, reason: str) -> None:
        """Handle a failure: the response will not be completed."""


class ClientConnection:
    """HTTP connection to one address, opened by the first request.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Address of the target.
    peer_timeout_s : float
        Time in seconds without an acknowledgement from the peer's kernel after which
        the connection is closed.
    connect_timeout_s : float
        Maximum time in seconds until the connection is established.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        peer_timeout_s: float,
        connect_timeout_s: float,
    ) -> None:
        self.address = address
        self._loop = loop
        self._peer_timeout_s = peer_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._sock = None
        self._timer: Timer | None = None
        self._output = bytearray()
        self._events = 0
        self._is_connected = False
        self._is_closed = False
        self._has_sent = False
        self._has_send_failed = False
        self._request_count = 0
        self._is_paused = False
        self._sink: ResponseSink | None = None
        self._reader: ResponseReader | None = None
        #: Time at which the connection became idle, in seconds since boot.
        self.idle_since = 0.0
        #: Idle timeout in seconds that the target announced in ``Keep-Alive``, if any.
        self.keep_alive_s: float | None = None
        #: Called when the connection closes, whether idle or in use.
        self.on_close: Callable[[ClientConnection], None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._is_closed

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return not self._is_closed and self._sink is None

    def is_quiet(self) -> bool:
        """Tell whether nothing waits in the socket of an idle connection.

        The target may have closed it without the loop having read the end. A request
        that is sent then is lost, and its outcome is unknown.
        """
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            return False
        return False

    @property
    def is_reused(self) -> bool:
        """Whether the current request is not the first on this connection."""
        return self._request_count > 1

    @property
    def is_paused(self) -> bool:
        """Whether responses are not read."""
        return self._is_paused

    @property
    def has_sent(self) -> bool:
        """Whether a byte of the current request has been written to the socket."""
        return self._has_sent

    def send(self, request: HttpRequest, sink: ResponseSink) -> None:
        """Send a request; `sink` is called back later, never during this call."""
        self._sink = sink
        self._request_count += 1
        self._has_sent = False
        self._reader = ResponseReader(request.method, self._on_head, self._on_body)
        self._output += request.encode()
        if self._sock is None:
            self._loop.call_soon(self._connect)
        else:
            self._loop.call_soon(self._flush)

    def pause(self) -> None:
        """Stop reading until `resume`."""
        self._is_paused = True
        self._watch()

    def resume(self) -> None:
        """Continue to read after `pause`."""
        self._is_paused = False
        self._watch()

    def close(self) -> None:
        """Close the connection without a further call of the sink."""
        self._sink = None
        self._close()

    def _connect(self) -> None:
        if self._is_closed:
            return
        self._timer = self._loop.call_later(
            self._connect_timeout_s, self._on_connect_timeout
        )
        try:
            self._sock = connect(self.address, self._peer_timeout_s)
        except OSError as error:
            failure = Failure.NO_SOCKET if is_local_error(error) else Failure.NOT_SENT
            self._fail(f"connect failed: {error}", failure)
            return
        self._watch()

    def _on_connect_timeout(self) -> None:
        if not self._is_connected:
            self._fail(f"not connected within {self._connect_timeout_s:g} s")

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and not (self._is_closed or self._is_paused):
            self._receive()

    def _flush(self) -> None:
        if self._is_closed:
            return
        try:
            while self._output:
                sent = self._sock.send(self._output)
                self._has_sent = True
                del self._output[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self._has_send_failed = True
            if self._is_connected:
                # The target may have sent its response before it stopped reading.
                self._receive()
            self._fail(f"send failed: {error}")
            return
        if self._has_sent and not self._is_connected:
            self._is_connected = True
            if self._timer is not None:
                self._timer.cancel()
        self._watch()

    def _watch(self) -> None:
        if self._is_closed or self._sock is None:
            return
        events = 0 if self._is_paused else selectors.EVENT_READ
        if self._output or not self._is_connected:
            events |= selectors.EVENT_WRITE
        if events != self._events:
            self._events = events
            self._loop.watch(self._sock, events, self._on_ready)

    def _receive(self) -> None:
        try:
            data = self._sock.recv(_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self._fail(f"reset: {error}")
            return
        if not data:
            self._on_eof()
        elif self._sink is None:
            # No request is outstanding, so these bytes cannot be a response.
            self._close()
        else:
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        try:
            self._reader.feed(data)
        except ResponseLimitError as error:
            self._fail(str(error))
            return
        except UnsoundResponseError as error:
            self._fail(f"no HTTP answer: {error}")
            return
        # The sink may have given up the response while its last bytes were read.
        if self._sink is not None and self._reader.is_complete:
            self._finish_exchange()

    def _on_head(self, head: ResponseHead) -> bool:
        return self._sink is None or self._sink.on_head(head)

    def _on_body(self, data: bytes) -> None:
        if self._sink is not None:
            self._sink.on_body(data)

    def _on_eof(self) -> None:
        sink = self._sink
        if sink is None or not self._reader.ends_with_connection:
            self._fail("closed by the target")
            return
        if self._is_request_cut():
            self._fail("closed by the target before it received the whole request")
            return
        self._sink = None
        self._close()
        sink.on_complete()

    def _is_request_cut(self) -> bool:
        """Tell whether the connection ended while a part of the request was unsent.

        The socket reports a reset only once, to the call that sends if that comes
        first, and then ends like a closed one. A target that ends before it received
        the request resets the connection as soon as the rest arrives. In neither case
        does the end of the connection prove the end of the response.
        """
        return (
            self._has_send_failed
            or bool(self._output)
            or unacknowledged_bytes(self._sock) > 0
        )

    def _finish_exchange(self) -> None:
        sink, self._sink = self._sink, None
        self.idle_since = boot_time()
        if self._reader.keep_alive_s is not None:
            self.keep_alive_s = self._reader.keep_alive_s
        # The target may have responded before the whole request was sent.
        if self._output or not self._reader.is_reusable:
            self._close()
        sink.on_complete()

    def _fail(self, reason: str, failure: Failure | None = None) -> None:
        if self._is_closed:
            return
        sink, self._sink = self._sink, None
        if failure is None:
            failure = Failure.BROKEN if self._has_sent else Failure.NOT_SENT
        self._close()
        if sink is not None:
            sink.on_failure(failure, reason)

    def _close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._sock is not None:
            self._loop.watch(self._sock, 0, self._on_ready)
            self._sock.close()
        if self.on_close is not None:
            self.on_close(self)
