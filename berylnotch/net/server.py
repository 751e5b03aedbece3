"""HTTP/1.1 server: reads requests of callers and writes answers.

One request of a connection is served at a time. Bytes that a caller sends
meanwhile wait, and its close is seen at once.
"""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from berylnotch.net.messages import Headers, HttpRequest, encode_head
from berylnotch.net.reading import HttpLimits, RequestReader, UnreadableRequestError
from berylnotch.net.sockets import Acceptor
from berylnotch.util.address import Address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

_READ_BYTES = 64 * 1024

#: Output that may wait for a slow caller before its source is paused, in bytes.
HIGH_WATER_BYTES = 256 * 1024

#: Bytes of a following request that are read while one is served.
_MAX_AHEAD_BYTES = 64 * 1024

#: Seconds for which a refused caller's bytes are still read, so that the answer
#: is not lost to a reset.
_LINGER_S = 1.0

#: Bytes a second that a caller sends and reads at the least; who is slower for longer
#: than the idle time is given up.
_MIN_BYTES_PER_S = 1024.0

#: Seconds between two searches for connections that are over their limits.
_SWEEP_S = 0.5

#: Connections of callers at once; the rest of the descriptors serves targets.
_MAX_CONNECTIONS = 3000


class ServerConnection:
    """Connection of one caller.

    Parameters
    ----------
    server : HttpServer
        Server that accepted it.
    sock : socket.socket
        Non-blocking socket.
    """

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self._server = server
        self._loop = server.loop
        self._sock = sock
        self._reader = RequestReader(server.limits)
        self._output = bytearray()
        self._is_closed = False
        self._is_lingering = False
        self._close_after = False
        self._is_reading = True
        self._events = 0
        #: Request being served, or None.
        self.request: HttpRequest | None = None
        self._active_at = boot_time()
        #: Bytes of an ended answer that the caller had yet to read.
        self._answer_bytes = 0
        #: Called once if the caller leaves while its request is served.
        self.on_gone: Callable[[], None] | None = None
        #: Called when waiting output has been sent.
        self.on_drained: Callable[[], None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._is_closed

    @property
    def is_congested(self) -> bool:
        """Whether so much output waits that its source should pause."""
        return len(self._output) > HIGH_WATER_BYTES

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, served or answered."""
        return self.request is None and not self._reader.begun_at and not self._output

    def start(self) -> None:
        """Serve the socket."""
        self._watch()

    def respond(
        self, status: int, headers: Headers, body: bytes = b"", close: bool = False
    ) -> None:
        """Send a whole answer to the present request."""
        if self._is_closed:
            return
        close = close or self._must_close
        is_head = self.request is not None and self.request.method == "HEAD"
        if status != 204 and status >= 200:
            headers.add("Content-Length", str(len(body)))
        if close:
            headers.add("Connection", "close")
        self._output += encode_head(status, headers)
        if not is_head:
            self._output += body
        self._finish(close)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows in pieces."""
        if self._is_closed:
            return
        self._close_after = self._must_close
        headers.add("Transfer-Encoding", "chunked")
        if self._close_after:
            headers.add("Connection", "close")
        self._output += encode_head(status, headers)
        self._flush()

    def send_piece(self, data: bytes) -> None:
        """Send a piece of a streamed body."""
        if self._is_closed or not data:
            return
        self._output += b"%x\r\n" % len(data)
        self._output += data
        self._output += b"\r\n"
        self._flush()

    def end_stream(self) -> None:
        """Mark a streamed body as complete."""
        if self._is_closed:
            return
        self._output += b"0\r\n\r\n"
        self._finish(self._close_after)

    def abort(self) -> None:
        """End the connection; what was sent of an answer stays incomplete."""
        self.on_gone = None
        self._close()

    def check_limits(self, now: float) -> None:
        """Refuse a request that is read too slowly; close if idle for too long."""
        if self._is_closed or self.request is not None or self._is_lingering:
            return
        limits = self._server.limits()
        if self._reader.begun_at and not self._reader.is_head_read:
            if now - self._reader.begun_at > limits.header_s:
                self._refuse(408, "headers took too long")
        elif self._reader.begun_at:
            received_s = self._reader.body_size / _MIN_BYTES_PER_S
            is_slow = now - self._reader.begun_at > limits.idle_s + received_s
            if is_slow or now - self._active_at > limits.idle_s:
                self._refuse(408, "body took too long")
        elif self._output:
            allowed_s = limits.idle_s + self._answer_bytes / _MIN_BYTES_PER_S
            if now - self._active_at > allowed_s:
                self._close()
        elif now - self._active_at > limits.idle_s:
            self._close()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or served."""
        if self.is_idle and not self._is_lingering:
            self._close()

    # Reading.

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_READ:
            self._receive()
        if events & selectors.EVENT_WRITE and not self._is_closed:
            self._flush()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self._close()
        elif self._is_lingering:
            return
        elif self.request is not None:
            self._reader.ahead += data
            if len(self._reader.ahead) > _MAX_AHEAD_BYTES:
                self._is_reading = False
                self._watch()
        else:
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        now = boot_time()
        self._active_at = now
        had_head = self._reader.is_head_read
        try:
            request = self._reader.feed(now, data)
        except UnreadableRequestError as error:
            self._refuse(error.status, error.reason)
            return
        if request is not None:
            self.request = request
            self._server.handler(self, request)
        elif self._reader.wants_continue and not had_head:
            self._output += b"HTTP/1.1 100 Continue\r\n\r\n"
            self._flush()

    def _refuse(self, status: int, reason: str) -> None:
        self._server.on_refused(status, reason)
        self._reader.reset()
        headers = Headers((("Content-Length", "0"), ("Connection", "close")))
        self._output += encode_head(status, headers)
        self._finish(close=True)

    # Writing.

    @property
    def _must_close(self) -> bool:
        request = self.request
        return self._server.is_draining or request is None or not request.keep_alive

    def _finish(self, close: bool) -> None:
        self.request = None
        self.on_gone = None
        self.on_drained = None
        self._active_at = boot_time()
        self._answer_bytes = len(self._output)
        self._is_reading = True
        if close:
            self._is_lingering = True
            self._reader.ahead.clear()
            self._loop.call_later(_LINGER_S, self._close)
        self._flush()
        if not close and not self._is_closed and self._reader.ahead:
            self._loop.call_soon(self._feed_ahead)

    def _feed_ahead(self) -> None:
        if self._is_closed or self.request is not None or not self._reader.ahead:
            return
        data = bytes(self._reader.ahead)
        self._reader.ahead.clear()
        self._feed(data)

    def _flush(self) -> None:
        try:
            while self._output:
                sent = self._sock.send(self._output)
                del self._output[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._close()
            return
        if not self._output:
            if self._is_lingering:
                self._shut_down_writing()
            elif self.on_drained is not None:
                self.on_drained()
        self._watch()

    def _shut_down_writing(self) -> None:
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close()

    def _watch(self) -> None:
        if self._is_closed:
            return
        events = selectors.EVENT_READ if self._is_reading else 0
        if self._output:
            events |= selectors.EVENT_WRITE
        if events != self._events:
            self._events = events
            self._loop.watch(self._sock, events, self._on_ready)

    def _close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.watch(self._sock, 0, self._on_ready)
        self._sock.close()
        self._server.forget(self)
        on_gone, self.on_gone = self.on_gone, None
        if on_gone is not None:
            on_gone()


#: Serves a request; the connection takes the answer.
RequestHandler = Callable[[ServerConnection, HttpRequest], None]


class HttpServer:
    """Listening address and the connections of its callers.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    address : Address
        Where to listen; port 0 picks a free one.
    handler : callable
        Gets each connection with its request.
    limits : callable
        Returns the limits in force.
    on_refused : callable
        Gets status and reason of a request refused while it was read.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        handler: RequestHandler,
        limits: Callable[[], HttpLimits] = HttpLimits,
        on_refused: Callable[[int, str], None] = lambda status, reason: None,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused
        #: Whether each connection is closed after its present answer.
        self.is_draining = False
        #: Boot time at which the newest caller was accepted.
        self.accepted_at = 0.0
        self._connections: set[ServerConnection] = set()
        self._acceptor = Acceptor(loop, address, self._accept)

    @property
    def address(self) -> Address:
        """Address in use."""
        return self._acceptor.address

    @property
    def busy_count(self) -> int:
        """Connections with a request that is not yet answered."""
        return sum(not connection.is_idle for connection in self._connections)

    def start(self) -> None:
        """Accept callers."""
        self._acceptor.start()
        self.loop.call_every(_SWEEP_S, self._sweep)

    def close(self) -> None:
        """Stop accepting and end all connections."""
        self._acceptor.close()
        for connection in tuple(self._connections):
            connection.abort()

    def close_idle(self) -> None:
        """Close the connections without a request."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def forget(self, connection: ServerConnection) -> None:
        """Drop a connection that has ended."""
        self._connections.discard(connection)

    def _accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= _MAX_CONNECTIONS:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted_at = boot_time()
        connection = ServerConnection(self, sock)
        self._connections.add(connection)
        connection.start()

    def _sweep(self) -> None:
        now = boot_time()
        for connection in tuple(self._connections):
            connection.check_limits(now)
