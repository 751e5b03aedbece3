"""A small HTTP/1.1 server on one event loop, for the stand-ins only."""

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

#: Longest request head accepted, in bytes.
HEAD_LIMIT_BYTES = 64 * 1024
#: Longest request body accepted, in bytes.
BODY_LIMIT_BYTES = 16 * 1024 * 1024
_READ_BYTES = 256 * 1024
_BACKLOG = 1024


@frozen
class Request:
    """A whole request."""

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Timer:
    """A call that is due at a time and can be cancelled."""

    __slots__ = ("call", "cancelled")

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.cancelled = False

    def cancel(self) -> None:
        """Drop the call."""
        self.cancelled = True


class Connection:
    """One caller's connection; requests on it are answered in turn."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.on_close: Callable[[], None] | None = None
        self._loop = loop
        self._sock = sock
        self._in = bytearray()
        self._out = bytearray()
        self._busy = False
        self._closing = False
        self._closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the connection is gone."""
        return self._closed

    @property
    def pending(self) -> int:
        """Bytes that the caller hasn't taken yet."""
        return len(self._out)

    def fileno(self) -> int:
        """Descriptor of the socket."""
        return self._sock.fileno()

    def send(self, data: bytes) -> None:
        """Send now what the socket takes and keep the rest."""
        if self._closed:
            return
        if not self._out:
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
        self._out += data

    def respond(
        self, status: int, body: bytes, headers: Mapping[str, str] | None = None
    ) -> None:
        """Send a whole answer and take the next request."""
        fields = {"content-type": "application/json", **(headers or {})}
        fields["content-length"] = str(len(body))
        self.send(format_head(status, fields) + body)
        self.finish()

    def finish(self) -> None:
        """Take the next request on this connection."""
        self._busy = False
        self.on_close = None
        self._read_request()

    def close(self) -> None:
        """Close after an orderly end of the byte stream."""
        if self._closed:
            return
        self._closed = True
        self._loop.forget(self)
        self._sock.close()
        call, self.on_close = self.on_close, None
        if call is not None:
            call()

    def close_after_writes(self) -> None:
        """Close once everything is sent."""
        self._closing = True
        if not self._out:
            self.close()

    def abort(self) -> None:
        """Close with a reset, as a killed process would."""
        if self._closed:
            return
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.close()

    def handle(self, events: int) -> None:
        """Act on the socket being readable or writable."""
        if events & selectors.EVENT_WRITE and not self._closed:
            self._flush()
        if events & selectors.EVENT_READ and not self._closed:
            self._receive()

    def _flush(self) -> None:
        try:
            sent = self._sock.send(self._out)
        except BlockingIOError:
            return
        except OSError:
            self.close()
            return
        del self._out[:sent]
        if self._out:
            return
        self._loop.watch_writes(self, False)
        if self._closing:
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
        self._in += data
        if not self._busy:
            self._read_request()

    def _read_request(self) -> None:
        end = self._in.find(b"\r\n\r\n")
        if end < 0:
            if len(self._in) > HEAD_LIMIT_BYTES:
                self.close()
            return
        method, target, headers = _parse_head(bytes(self._in[:end]))
        length = int(headers.get("content-length", "0"))
        if length > BODY_LIMIT_BYTES:
            self.close()
            return
        if len(self._in) < end + 4 + length:
            if headers.pop("expect", "") and len(self._in) == end + 4:
                self.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            return
        body = bytes(self._in[end + 4 : end + 4 + length])
        del self._in[: end + 4 + length]
        parts = urlsplit(target)
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        self._busy = True
        request = Request(method, parts.path, query, headers, body)
        self._loop.handler(self, request)


class Loop:
    """Event loop with a listening socket and timers.

    Parameters
    ----------
    handler : callable
        Called with each connection and request.
    """

    def __init__(self, handler: Callable[[Connection, Request], None]) -> None:
        self.handler = handler
        self._selector = selectors.DefaultSelector()
        self._listener: socket.socket | None = None
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._running = True
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
        """Refuse new connections."""
        if self._listener is not None:
            self._selector.unregister(self._listener)
            self._listener.close()
            self._listener = None

    def call_at(self, when: float, call: Callable[[], None]) -> Timer:
        """Call at ``when``, in seconds of the monotonic clock."""
        timer = Timer(call)
        heapq.heappush(self._timers, (when, next(self._order), timer))
        return timer

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Call after ``delay_s`` seconds."""
        return self.call_at(time.monotonic() + delay_s, call)

    def watch_writes(self, connection: Connection, watch: bool) -> None:
        """Tell the connection, or no longer, when its socket takes bytes."""
        events = selectors.EVENT_READ
        if watch:
            events |= selectors.EVENT_WRITE
        self._selector.modify(connection, events, connection)

    def forget(self, connection: Connection) -> None:
        """Drop a connection that closes."""
        self._selector.unregister(connection)
        self.connections.discard(connection)

    def watch(self, sock: socket.socket, reader: _Waker) -> None:
        """Call ``reader.handle`` when the socket is readable."""
        self._selector.register(sock, selectors.EVENT_READ, reader)

    def stop(self) -> None:
        """End ``run`` after the current round."""
        self._running = False

    def run(self) -> None:
        """Serve until ``stop``."""
        while self._running:
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
            if not timer.cancelled:
                timer.call()

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
class Program:
    """A stand-in's loop, wanted port (0: any) and who learns the port."""

    loop: Loop
    port: int = 0
    on_listen: Callable[[int], None] = lambda _port: None


def serve(program: Program) -> int:
    """Print the address, serve until SIGTERM or SIGINT, and return 0."""
    port = program.loop.listen(program.port)
    program.on_listen(port)
    wake_read, wake_write = socket.socketpair()
    wake_write.setblocking(False)
    signal.set_wakeup_fd(wake_write.fileno())
    program.loop.watch(wake_read, _Waker(program, wake_read))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    print(f"listening 127.0.0.1:{port}", flush=True)
    program.loop.run()
    signal.set_wakeup_fd(-1)
    sys.stdout.flush()
    return 0


class _Waker:
    """Turns the signal's byte into the end of the loop."""

    is_closed = False

    def __init__(self, program: Program, sock: socket.socket) -> None:
        self._program = program
        self._sock = sock

    def handle(self, _events: int) -> None:
        self._sock.recv(64)
        self._program.loop.stop()


def format_head(status: int, fields: Mapping[str, str]) -> bytes:
    """Return an answer's status line and header fields."""
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _parse_head(head: bytes) -> tuple[str, str, dict[str, str]]:
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = (first + "  ").split(" ", 2)
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, target, headers
