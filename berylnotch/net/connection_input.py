"""Requests that arrive on a caller's connection, and the memory that they take."""

from __future__ import annotations

import socket
from abc import abstractmethod
from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.net.body_framing import UnreadableRequestError
from berylnotch.net.connection_output import ConnectionOutput
from berylnotch.net.messages import Headers, HttpRequest, encode_head
from berylnotch.net.reading import HttpLimits, RequestReader
from berylnotch.net.request_limits import (
    BODY_COPIES,
    CONNECTION_BYTES,
    HEADER_LINE_BYTES,
    SMALL_BODY_BYTES,
    SMALL_CHUNKED_BYTES,
    WAITING_BYTES,
)
from berylnotch.util.clock import boot_time

if TYPE_CHECKING:
    from berylnotch.net.server import HttpServer

#: Bytes read at once of a body with a grant, of headers and small bodies, and while
#: another request is served. They bound the work in an iteration of the loop.
_READ_BYTES, _HEAD_READ_BYTES, _AHEAD_READ_BYTES = 64 * 1024, 16 * 1024, 4096

#: Maximum number of bytes of pipelined requests that are buffered while a request is
#: served.
_MAX_PIPELINED_BYTES = 8 * 1024

#: Seconds after which a caller may repeat a request that was refused for lack of
#: memory.
_RETRY_AFTER_S = "1"


class ConnectionInput(ConnectionOutput):
    """Reading half of a connection from one caller.

    Parameters
    ----------
    server : HttpServer
        Server that accepted the connection.
    sock : socket.socket
        Non-blocking socket.
    client : str
        IP address of the caller.
    """

    def __init__(self, server: HttpServer, sock: socket.socket, client: str) -> None:
        super().__init__(sock)
        self._server = server
        self._loop = server.loop
        self._reader = RequestReader(self._limits)
        #: Limits in force when the current request or idle time began.
        self._initial_limits = server.limits()
        self._is_lingering = False
        self._has_caller_ended = False
        self._is_reading = True
        self._events = 0
        self._last_active_at = boot_time()
        #: Seconds for which the current body waited for memory.
        self._waited_s = 0.0
        #: Bytes that were unsent when the last response ended; they extend the time
        #: limit for reading the response.
        self._backlog_bytes = 0
        self._responded_request: HttpRequest | None = None
        #: Called once if the caller disconnects while its request is served.
        self.on_disconnected: Callable[[], None] | None = None
        #: Called when all buffered output has been sent.
        self.on_drained: Callable[[], None] | None = None
        #: IP address of the caller.
        self.client = client
        self._held = server.memory.open(
            client,
            server.is_control,
            self._last_active_at,
            lambda: self._loop.call_soon(self._on_granted),
            self._on_evicted,
            self._on_grant_lost,
        )

    @property
    def has_memory(self) -> bool:
        """Whether there was room for the connection."""
        return self._held is not None

    def _limits(self) -> HttpLimits:
        # Limits that fall meanwhile hold for the next request only.
        return self._initial_limits.widen(self._server.limits())

    def _receive(self) -> None:
        try:
            size_bytes = _READ_BYTES if self._held.grant_bytes else _HEAD_READ_BYTES
            data = self._sock.recv(
                _AHEAD_READ_BYTES if self._must_buffer else size_bytes
            )
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self._on_caller_end()
        elif self._is_lingering:
            return
        elif self._must_buffer:
            # Buffered bytes that `_feed_pipelined` has not parsed yet come first.
            self._reader.pipelined += data
            is_scarce = self._server.memory.is_scarce
            if is_scarce or len(self._reader.pipelined) > _MAX_PIPELINED_BYTES:
                self._is_reading = False
                self._watch()
            self._account()
        else:
            self._feed(data)

    @property
    def _must_buffer(self) -> bool:
        # A caller that does not read its responses gets no further ones.
        is_busy = self.request is not None or self._output
        return bool(is_busy or self._reader.pipelined or self._held.is_waiting)

    @property
    def _has_room(self) -> bool:
        """Whether more bytes of pipelined requests may be buffered."""
        return len(self._reader.pipelined) <= _MAX_PIPELINED_BYTES

    def _read_ahead(self) -> None:
        """Buffer the input that has arrived while a request is served."""
        pipelined = self._reader.pipelined
        try:
            while len(pipelined) <= _MAX_PIPELINED_BYTES:
                data = self._sock.recv(_AHEAD_READ_BYTES)
                if not data:
                    return
                pipelined += data
        except OSError:
            # No input is left, or the next receive or send fails as well.
            return

    def _feed(self, data: bytes) -> None:
        now = boot_time()
        self._last_active_at = now
        was_head_read = self._reader.is_head_read
        if not self._reader.started_at:
            self._initial_limits = self._server.limits()
            self._held.since = now
            self._waited_s = 0.0
        try:
            request = self._reader.feed(now, data)
        except UnreadableRequestError as error:
            self._refuse(error.status, error.reason)
            return
        if request is not None:
            self._begin(now, request)
        elif not self._has_grant(now):
            self._wait_for_memory()
        elif self._reader.expects_continue and not was_head_read:
            self._continue()
        self._account()

    def _begin(self, now: float, request: HttpRequest) -> None:
        self.request = request
        # A grant for a body in chunks was for the largest body.
        self._held.shrink(BODY_COPIES * len(request.body), now)
        size_bytes = self._cost()
        if not self._held.admits(size_bytes):
            self.request = None
            self._refuse(503, "no memory for another request")
            return
        self._response_bytes = len(self._output)
        self._held.set_running(True, now)
        self._held.resize(size_bytes)
        self._server.handler(self, request)

    def _continue(self) -> None:
        self._add_output(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._flush()

    def _refuse(self, status: int, reason: str) -> None:
        self._server.on_refused(status, reason, self.client)
        self._reader.reset()
        headers = Headers((("Content-Length", "0"), ("Connection", "close")))
        if status == 503:
            headers.add("Retry-After", _RETRY_AFTER_S)
        self._add_output(encode_head(status, headers))
        self._finish(close=True)

    def _has_grant(self, now: float) -> bool:
        """Whether the body may be read on; asks for memory if it is large."""
        reader = self._reader
        if not reader.is_head_read or self._held.grant_bytes:
            self._held.note_received(reader.received_body_bytes, now)
            return True
        size_bytes = reader.announced_body_bytes
        if size_bytes is None:
            if reader.received_body_bytes <= SMALL_CHUNKED_BYTES:
                return True
            size_bytes = self._limits().body_bytes
        if size_bytes <= SMALL_BODY_BYTES:
            return True
        return self._held.ask(BODY_COPIES * size_bytes, now)

    def _wait_for_memory(self) -> None:
        self._is_reading = False
        self._watch()

    def _on_grant_lost(self) -> None:
        self._wait_for_memory()
        self._account()

    def _on_granted(self) -> None:
        if self._is_closed or not self._held.grant_bytes:
            return
        now = boot_time()
        self._waited_s += now - self._last_active_at
        self._last_active_at = now
        self._is_reading = True
        if self._reader.expects_continue and not self._reader.received_body_bytes:
            self._continue()
        self._account()
        self._watch()

    def _on_evicted(self, reason: str) -> None:
        if self._reader.started_at and not self._is_lingering:
            self._refuse(503, reason)
        else:
            self._server.on_refused(0, reason, self.client)
            self._close()

    def _account(self) -> None:
        """Report what this connection holds."""
        if not self._is_closed:
            self._held.resize(self._cost())

    def _cost(self) -> int:
        """Return what this connection holds, in bytes."""
        reader, held = self._reader, self._held
        size_bytes = CONNECTION_BYTES + len(reader.pipelined) + reader.head_bytes
        if self.request is not None:
            headers = self.request.headers
            size_bytes += HEADER_LINE_BYTES * len(headers)
            if not held.grant_bytes:
                size_bytes += BODY_COPIES * len(self.request.body)
        if not held.grant_bytes:
            size_bytes += reader.received_body_bytes
        if held.is_waiting:
            size_bytes += WAITING_BYTES
        if self._server.is_control:
            # The responses of targets are counted by `ResponseMemory`.
            size_bytes += len(self._output)
        return size_bytes

    def _feed_pipelined(self) -> None:
        is_busy = self.request is not None or self._output
        if self._is_closed or is_busy or not self._reader.pipelined:
            return
        data = bytes(self._reader.pipelined)
        self._reader.pipelined.clear()
        self._feed(data)
        if not self._is_closed and not self._held.is_waiting:
            self._is_reading = self._is_reading or self._has_room
            self._watch()

    @abstractmethod
    def _on_caller_end(self) -> None:
        """Handle that the caller sends nothing more."""
