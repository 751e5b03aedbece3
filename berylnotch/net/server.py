"""HTTP/1.1 server for callers.

A connection serves one request at a time. While a request is served, further bytes from
the caller are buffered, and a close by the caller is detected at once.
"""

from __future__ import annotations

import selectors
import socket
from collections import Counter
from collections.abc import Callable

from berylnotch.net.messages import Headers, HttpRequest, encode_head
from berylnotch.net.reading import HttpLimits, RequestReader, UnreadableRequestError
from berylnotch.net.sockets import Acceptor
from berylnotch.util.address import Address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

_READ_BYTES = 64 * 1024

#: Unsent output to a caller, in bytes, above which the source of the output should
#: pause.
HIGH_WATER_BYTES = 256 * 1024

#: Maximum number of bytes of pipelined requests that are buffered while a request is
#: served.
_MAX_PIPELINED_BYTES = 64 * 1024

#: Shortest time in seconds for which input is read and discarded after the last sent
#: byte, unless the caller closes before. An immediate close with unread input would
#: reset the connection, and the caller could lose the response. A server that finishes
#: also gives connections without a request this time for one that is in transit.
_LINGER_S = 1.0

#: Minimum rate, in bytes per second, at which a caller has to send a request and read a
#: response. A caller is disconnected if a transfer takes longer than this rate allows
#: plus the idle timeout.
_MIN_BYTES_PER_S = 1024.0

#: Seconds between two checks of all connections for exceeded time limits.
_LIMIT_CHECK_INTERVAL_S = 0.5

#: Maximum number of callers' connections; the remaining file descriptors are for
#: connections to targets.
_MAX_CONNECTIONS = 3000


class ServerConnection:
    """Connection from one caller.

    Parameters
    ----------
    server : HttpServer
        Server that accepted the connection.
    sock : socket.socket
        Non-blocking socket.
    """

    def __init__(self, server: HttpServer, sock: socket.socket) -> None:
        self._server = server
        self._loop = server.loop
        self._sock = sock
        self._reader = RequestReader(self._limits)
        #: Limits in force when the current request or idle time began.
        self._initial_limits = server.limits()
        self._output = bytearray()
        self._is_closed = False
        self._is_lingering = False
        self._has_caller_ended = False
        self._close_after_stream = False
        self._is_reading = True
        self._events = 0
        #: Request that is being served, or None.
        self.request: HttpRequest | None = None
        self._last_active_at = boot_time()
        #: Bytes that were unsent when the last response ended; they extend the time
        #: limit for reading the response.
        self._backlog_bytes = 0
        #: Bytes of the current response; the caller may not have read them after they
        #: were sent.
        self._response_bytes = 0
        self._responded_request: HttpRequest | None = None
        #: Called once if the caller disconnects while its request is served.
        self.on_disconnected: Callable[[], None] | None = None
        #: Called once when all buffered output has been sent, or by the close.
        self._on_sent: list[Callable[[], None]] = []
        #: Called when all buffered output has been sent.
        self.on_drained: Callable[[], None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._is_closed

    @property
    def is_congested(self) -> bool:
        """Whether the source of the output should pause, for backpressure."""
        return len(self._output) > HIGH_WATER_BYTES

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or served and all output is sent."""
        return self.state == "idle"

    @property
    def unanswered_request(self) -> HttpRequest | None:
        """Request that was read and whose response is not sent in full, or None."""
        return self.request or self._responded_request

    def start(self) -> None:
        """Register the socket with the loop."""
        self._watch()

    def respond(
        self,
        status: int,
        headers: Headers,
        body: bytes | bytearray = b"",
        close: bool = False,
        on_sent: Callable[[], None] | None = None,
    ) -> None:
        """Send a complete response to the current request.

        ``on_sent`` is called once the output has been sent or the connection is closed.
        """
        if self._is_closed:
            if on_sent is not None:
                on_sent()
            return
        if on_sent is not None:
            self._on_sent.append(on_sent)
        close = close or self._closes_after_response()
        is_head = self.request is not None and self.request.method == "HEAD"
        if status != 204 and status >= 200:
            headers.add("Content-Length", str(len(body)))
        if close:
            headers.add("Connection", "close")
        self._add_output(encode_head(status, headers))
        if not is_head:
            self._add_output(body)
        self._finish(close)

    def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows in chunks."""
        if self._is_closed:
            return
        self._close_after_stream = self._closes_after_response()
        headers.add("Transfer-Encoding", "chunked")
        if self._close_after_stream:
            headers.add("Connection", "close")
        self._add_output(encode_head(status, headers))
        self._flush()

    def send_chunk(self, data: bytes) -> None:
        """Send a chunk of a streamed body."""
        if self._is_closed or not data:
            return
        self._add_output(b"%x\r\n" % len(data))
        self._add_output(data)
        self._add_output(b"\r\n")
        self._flush()

    def end_stream(self) -> None:
        """Send the last chunk of a streamed body."""
        if self._is_closed:
            return
        self._add_output(b"0\r\n\r\n")
        self._finish(self._close_after_stream)

    def break_off(self) -> None:
        """End a response in progress without its last chunk.

        All that was sent so far is delivered, and then the connection ends, so that the
        caller sees that the response is incomplete.
        """
        if not self._is_closed:
            self._finish(close=True)

    def abort(self) -> None:
        """Close the connection at once; unsent and unread output may be lost."""
        self.on_disconnected = None
        self._close()

    @property
    def state(self) -> str:
        """``idle``, ``reading``, ``serving`` or ``sending`` the rest of a response."""
        if self.request is not None:
            return "serving"
        if self._output:
            return "sending"
        is_reading = self._reader.started_at or self._reader.has_pipelined
        return "reading" if is_reading else "idle"

    def check_limits(self, now: float) -> None:
        """Refuse a request that arrives too slowly; close an idle connection."""
        if self._is_closed or self.request is not None:
            return
        if self._is_lingering and not self._output:
            # `_shut_down_writing` has scheduled the close.
            return
        if not self._exceeded_limit(now):
            return
        if self._is_reading:
            # This process may have been suspended while the input arrived.
            self._receive()
            if self._is_closed or self.request is not None:
                return
        problem = self._exceeded_limit(now)
        if self._reader.started_at and problem:
            self._refuse(408, problem)
        elif problem:
            self._close()

    def _exceeded_limit(self, now: float) -> str:
        """Return which time limit the caller has exceeded, empty if none."""
        limits = self._limits()
        idle_s = now - self._last_active_at
        read_s = now - self._reader.started_at
        if self._reader.started_at and not self._reader.is_head_read:
            return "headers not received in time" if read_s > limits.header_s else ""
        if self._reader.started_at:
            max_transfer_s = self._reader.received_body_bytes / _MIN_BYTES_PER_S
            is_slow = read_s > limits.idle_s + max_transfer_s
            return "body took too long" if is_slow or idle_s > limits.idle_s else ""
        max_idle_s = limits.idle_s
        if self._output:
            max_idle_s += self._backlog_bytes / _MIN_BYTES_PER_S
        return "idle for too long" if idle_s > max_idle_s else ""

    def close_if_idle(self) -> None:
        """Close unless a request is being read or served."""
        if self.is_idle and not self._is_lingering:
            self._close()

    def on_server_finishing(self) -> None:
        """Serve what has arrived, and close if no request follows it."""
        if self._is_reading and not self._is_closed:
            self._receive()
        self._close_unless_used()

    # Reading.

    def _limits(self) -> HttpLimits:
        # Limits that fall meanwhile hold for the next request only.
        return self._initial_limits.widen(self._server.limits())

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
            self._on_caller_end()
        elif self._is_lingering:
            return
        elif self.request is not None or self._reader.pipelined:
            # Buffered bytes that `_feed_pipelined` has not parsed yet come first.
            self._reader.pipelined += data
            if len(self._reader.pipelined) > _MAX_PIPELINED_BYTES:
                self._is_reading = False
                self._watch()
        else:
            self._feed(data)

    def _on_caller_end(self) -> None:
        if self.request is not None or not self._output:
            self._close()
            return
        # The caller may read the rest of its response although it sends nothing more.
        self._has_caller_ended = True
        self._is_lingering = True
        self._is_reading = False
        self._reader.pipelined.clear()
        self._watch()

    def _read_ahead(self) -> None:
        """Buffer the input that has arrived while a request is served."""
        pipelined = self._reader.pipelined
        try:
            while len(pipelined) <= _MAX_PIPELINED_BYTES:
                data = self._sock.recv(_READ_BYTES)
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
        try:
            request = self._reader.feed(now, data)
        except UnreadableRequestError as error:
            self._refuse(error.status, error.reason)
            return
        if request is not None:
            self.request = request
            self._response_bytes = len(self._output)
            self._server.handler(self, request)
        elif self._reader.expects_continue and not was_head_read:
            self._add_output(b"HTTP/1.1 100 Continue\r\n\r\n")
            self._flush()

    def _refuse(self, status: int, reason: str) -> None:
        self._server.on_refused(status, reason)
        self._reader.reset()
        headers = Headers((("Content-Length", "0"), ("Connection", "close")))
        self._add_output(encode_head(status, headers))
        self._finish(close=True)

    # Writing.

    def _closes_after_response(self) -> bool:
        """Return whether the current response is the last one on the connection.

        While the server drains, it is the last one unless the caller has sent more: the
        caller may not repeat a request that was read and got no response.
        """
        if self.request is None or not self.request.keep_alive:
            return True
        if not self._server.is_draining:
            return False
        self._read_ahead()
        return not self._reader.has_pipelined

    def _add_output(self, data: bytes | bytearray) -> None:
        self._output += data
        self._response_bytes += len(data)

    def _finish(self, close: bool) -> None:
        self._responded_request = self.request
        self.request = None
        self.on_disconnected = None
        self.on_drained = None
        self._last_active_at = boot_time()
        self._initial_limits = self._server.limits()
        self._backlog_bytes = len(self._output)
        self._is_reading = True
        if close:
            self._is_lingering = True
            self._reader.pipelined.clear()
        self._flush()
        if not close and not self._is_closed and self._reader.pipelined:
            self._loop.call_soon(self._feed_pipelined)

    def _feed_pipelined(self) -> None:
        if self._is_closed or self.request is not None or not self._reader.pipelined:
            return
        data = bytes(self._reader.pipelined)
        self._reader.pipelined.clear()
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
            self._on_output_sent()
        self._watch()

    def _on_output_sent(self) -> None:
        self._responded_request = None
        self._notify_sent()
        if self._is_lingering:
            self._shut_down_writing()
        elif self.on_drained is not None:
            self.on_drained()
        if self.request is None:
            self._last_active_at = boot_time()
            if self._server.is_finishing:
                self._close_unless_used()

    def _notify_sent(self) -> None:
        callbacks, self._on_sent = self._on_sent, []
        for on_sent in callbacks:
            on_sent()

    def _shut_down_writing(self) -> None:
        if self._has_caller_ended:
            self._close()
            return
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close()
            return
        # The kernel may hold a large response for a slow caller after it was sent.
        linger_s = _LINGER_S + self._response_bytes / _MIN_BYTES_PER_S
        self._loop.call_later(min(linger_s, self._limits().idle_s), self._close)

    def _close_unless_used(self) -> None:
        """Close an idle connection once a request in transit would have arrived."""
        if self._is_closed or self._is_lingering or not self.is_idle:
            return
        left_s = self._last_active_at + _LINGER_S - boot_time()
        if left_s > 0:
            self._loop.call_later(left_s, self.on_server_finishing)
        else:
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
        self._server.remove(self)
        self._notify_sent()
        on_disconnected, self.on_disconnected = self.on_disconnected, None
        if on_disconnected is not None:
            on_disconnected()


#: Serves a request and sends the response on its connection.
RequestHandler = Callable[[ServerConnection, HttpRequest], None]


class HttpServer:
    """HTTP server on one address, with its connections.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    address : Address
        Address to listen on; port 0 selects a free port.
    handler : callable
        Called with the connection and each complete request.
    limits : callable
        Returns the current limits.
    on_refused : callable
        Called with the status and the reason of each request that was refused before
        it was read in full.
    on_unanswered : callable
        Called with each request whose connection the server closes without a response.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        handler: RequestHandler,
        limits: Callable[[], HttpLimits] = HttpLimits,
        on_refused: Callable[[int, str], None] = lambda status, reason: None,
        on_unanswered: Callable[[HttpRequest], None] = lambda request: None,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused
        self.on_unanswered = on_unanswered
        #: Whether each connection is closed after the responses to the requests that
        #: have arrived on it.
        self.is_draining = False
        #: Time at which the newest connection was accepted, in seconds since boot.
        self.accepted_at = 0.0
        self._connections: set[ServerConnection] = set()
        self._on_finished: Callable[[], None] | None = None
        self._acceptor = Acceptor(loop, address, self._accept)

    @property
    def address(self) -> Address:
        """Address that the server listens on, with the actual port."""
        return self._acceptor.address

    def connection_counts(self) -> Counter[str]:
        """Return the number of connections by their state."""
        return Counter(connection.state for connection in self._connections)

    @property
    def active_connection_count(self) -> int:
        """Number of connections that are not idle."""
        return sum(not connection.is_idle for connection in self._connections)

    def start(self) -> None:
        """Start to accept connections."""
        self._acceptor.start()
        self.loop.call_every(_LIMIT_CHECK_INTERVAL_S, self._check_all_limits)

    @property
    def is_finishing(self) -> bool:
        """Whether the server delivers its last responses."""
        return self._on_finished is not None

    def finish(self, close_by: float, done: Callable[[], None]) -> None:
        """Stop accepting connections, and close the open ones once they are served.

        Connections that wait to be accepted are served as well. A connection is closed
        once its caller has closed it after the last response, or has sent nothing more
        for some time.

        Parameters
        ----------
        close_by : float
            Time, in seconds since boot, at which the connections that are still open
            are aborted.
        done : callable
            Called once all connections are closed.
        """
        self.is_draining = True
        self._on_finished = done
        self._acceptor.close()
        for connection in tuple(self._connections):
            connection.on_server_finishing()
        self.loop.call_later(max(0.0, close_by - boot_time()), self.close)
        self._check_finished()

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and close the port."""
        self._acceptor.close()

    def close(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self._acceptor.close()
        for connection in tuple(self._connections):
            request = connection.unanswered_request
            if request is not None:
                self.on_unanswered(request)
            connection.abort()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def remove(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._check_finished()

    def _check_finished(self) -> None:
        if self._on_finished is not None and not self._connections:
            done, self._on_finished = self._on_finished, None
            self.loop.call_soon(done)

    def _accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= _MAX_CONNECTIONS:
            sock.close()
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.accepted_at = boot_time()
        connection = ServerConnection(self, sock)
        self._connections.add(connection)
        connection.start()

    def _check_all_limits(self) -> None:
        now = boot_time()
        for connection in tuple(self._connections):
            connection.check_limits(now)
