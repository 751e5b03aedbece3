"""Minimal HTTP/1.1 server on an event loop, for the stand-ins only."""

from __future__ import annotations

import heapq
import itertools
import selectors
import signal
import socket
import struct
import sys
import time
from collections.abc import Callable, Mapping
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from attrs import frozen

#: Maximum length of a request's header section, in bytes.
HEAD_LIMIT_BYTES = 64 * 1024
#: Maximum length of a request body, in bytes.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
_READ_BYTES = 256 * 1024
_BACKLOG = 1024


@frozen
class Request:
    """Complete request."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Timer:
    """Scheduled callback that can be cancelled."""

    __slots__ = ("callback", "is_cancelled")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        """Cancel the callback."""
        self.is_cancelled = True


class Connection:
    """Connection of a caller; its requests are handled one after the other."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.on_close: Callable[[], None] | None = None
        self._loop = loop
        self._sock = sock
        self._received = bytearray()
        self._unsent = bytearray()
        self._is_handling = False
        self._closes_after_writes = False
        self._is_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._is_closed

    @property
    def unsent_bytes(self) -> int:
        """Number of buffered bytes that the socket has not accepted yet."""
        return len(self._unsent)

    def fileno(self) -> int:
        """File descriptor of the socket."""
        return self._sock.fileno()

    def send(self, data: bytes) -> None:
        """Send as much as the socket accepts, and buffer the remainder."""
        if self._is_closed:
            return
        if not self._unsent:
            try:
                sent = self._sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.close()
                return
            if sent == len(data):
                return
            data = data[sent:]
            self._loop.watch_writes(self, True)
        self._unsent += data

    def respond(
        self, status: int, body: bytes, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a complete response and start on the next request."""
        header_fields = {"content-type": "application/json", **(headers or {})}
        header_fields["content-length"] = str(len(body))
        self.send(format_head(status, header_fields) + body)
        self.finish_response()

    def finish_response(self) -> None:
        """End the current request and start on the next one of the connection."""
        self._is_handling = False
        self.on_close = None
        self._read_request()

    def close(self) -> None:
        """Close the socket and call ``on_close``."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.remove_connection(self)
        self._sock.close()
        callback, self.on_close = self.on_close, None
        if callback is not None:
            callback()

    def close_after_writes(self) -> None:
        """Close as soon as all buffered bytes are sent."""
        self._closes_after_writes = True
        if not self._unsent:
            self.close()

    def abort(self) -> None:
        """Reset the connection, to simulate a process that was killed."""
        if self._is_closed:
            return
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def handle(self, events: int) -> None:
        """Handle readiness events of the socket."""
        if events & selectors.EVENT_WRITE and not self._is_closed:
            self._send_unsent()
        if events & selectors.EVENT_READ and not self._is_closed:
            self._receive()

    def _send_unsent(self) -> None:
        try:
            sent = self._sock.send(self._unsent)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        del self._unsent[:sent]
        if self._unsent:
            return
        self._loop.watch_writes(self, False)
        if self._closes_after_writes:
            self.close()

    def _receive(self) -> None:
        try:
            data = self._sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        self._received += data
        if not self._is_handling:
            self._read_request()

    def _read_request(self) -> None:
        head_end = self._received.find(b"\r\n\r\n")
        if head_end < 0:
            if len(self._received) > HEAD_LIMIT_BYTES:
                self.close()
            return
        method, target, headers = _parse_head(bytes(self._received[:head_end]))
        length = int(headers.get("content-length", "0"))
        if length > BODY_LIMIT_BYTES:
            self.close()
            return
        if len(self._received) < head_end + 4 + length:
            if headers.pop("expect", "") and len(self._received) == head_end + 4:
                self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            return
        body = bytes(self._received[head_end + 4 : head_end + 4 + length])
        del self._received[: head_end + 4 + length]
        url = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        self._is_handling = True
        request = Request(method, url.path, query, headers, body)
        self._loop.handler(self, request)


class Loop:
    """Event loop with a listening socket and timers.

    Parameters
    ----------
    handler : callable
        Called with the connection and the request, for each complete request.
    """

    def __init__(self, handler: Callable[[Connection, Request], None]) -> None:
        self.handler = handler
        self._selector = selectors.DefaultSelector()
        self._listener: socket.socket | None = None
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_numbers = itertools.count()
        self._is_running = True
        self.connections: set[Connection] = set()

    def listen(self, port: int) -> int:
        """Open the listening socket on loopback and return its port."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(_BACKLOG)
        listener.setblocking(False)
        self._selector.register(listener, selectors.EVENT_READ, None)
        self._listener = listener
        return listener.getsockname()[1]

    def close_listener(self) -> None:
        """Close the listening socket, so that new connections are refused."""
        if self._listener is not None:
            self._selector.unregister(self._listener)
            self._listener.close()
            self._listener = None

    def call_at(self, due_s: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback at ``due_s``, in seconds of the monotonic clock."""
        timer = Timer(callback)
        heapq.heappush(self._timers, (due_s, next(self._timer_numbers), timer))
        return timer

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback after ``delay_s`` seconds."""
        return self.call_at(time.monotonic() + delay_s, callback)

    def watch_writes(self, connection: Connection, is_watched: bool) -> None:
        """Start or stop watching a connection's socket for writability."""
        events = selectors.EVENT_READ
        if is_watched:
            events |= selectors.EVENT_WRITE
        self._selector.modify(connection, events, connection)

    def remove_connection(self, connection: Connection) -> None:
        """Remove a connection before its socket is closed."""
        self._selector.unregister(connection)
        self.connections.discard(connection)

    def watch_reads(self, sock: socket.socket, signal_reader: _SignalReader) -> None:
        """Call ``signal_reader.handle`` when the socket is readable."""
        self._selector.register(sock, selectors.EVENT_READ, signal_reader)

    def stop(self) -> None:
        """Stop ``run`` after the current iteration."""
        self._is_running = False

    def run(self) -> None:
        """Run the event loop until ``stop`` is called, then close all sockets."""
        while self._is_running:
            for key, events in self._selector.select(self._timeout_s()):
                if key.data is None:
                    self._accept()
                elif not key.data.is_closed:
                    key.data.handle(events)
            self._run_timers()
        for connection in list(self.connections):
            connection.close()
        self.close_listener()
        self._selector.close()

    def _timeout_s(self) -> float | None:
        if not self._timers:
            return None
        return max(0.0, self._timers[0][0] - time.monotonic())

    def _run_timers(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if not timer.is_cancelled:
                timer.callback()

    def _accept(self) -> None:
        while self._listener is not None:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection = Connection(self, sock)
            self.connections.add(connection)
            self._selector.register(sock, selectors.EVENT_READ, connection)


@frozen
class Server:
    """Event loop of a stand-in and the port to listen on.

    Attributes
    ----------
    loop : Loop
        Event loop of the stand-in.
    port : int
        Port to listen on; 0 selects a free port.
    on_listen : callable
        Called with the port that the loop listens on.
    """

    loop: Loop
    port: int = 0
    on_listen: Callable[[int], None] = lambda _port: None


def serve(server: Server) -> int:
    """Print the listen address, serve until SIGTERM or SIGINT, and return 0."""
    port = server.loop.listen(server.port)
    server.on_listen(port)
    wake_read, wake_write = socket.socketpair()
    wake_write.setblocking(False)
    signal.set_wakeup_fd(wake_write.fileno())
    server.loop.watch_reads(wake_read, _SignalReader(server, wake_read))
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: None)
    print(f"listening 127.0.0.1:{port}", flush=True)
    server.loop.run()
    signal.set_wakeup_fd(-1)
    sys.stdout.flush()
    return 0


class _SignalReader:
    """Stops the loop when a signal writes to the wake-up socket."""

    is_closed = False

    def __init__(self, server: Server, sock: socket.socket) -> None:
        self._server = server
        self._sock = sock

    def handle(self, _events: int) -> None:
        self._sock.recv(64)
        self._server.loop.stop()


def format_head(status: int, header_fields: Mapping[str, str]) -> bytes:
    """Return the encoded status line and header fields of a response."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in header_fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _parse_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    request_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = (request_line + "  ").split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, target, headers
