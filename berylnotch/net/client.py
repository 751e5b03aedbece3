"""HTTP/1.1 client connection to a target: one request at a time, no hidden resend."""

from __future__ import annotations

import selectors
from collections.abc import Callable
from enum import Enum

import httptools
from attrs import frozen

from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.sockets import connect
from berylnotch.util.address import Address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop, Timer

_READ_BYTES = 64 * 1024

#: Bytes beside the body of the own answer that are taken for one request, beyond as
#: many as the body has: heads, interim and foreign answers, chunk sizes, trailers.
MAX_OVERHEAD_BYTES = 256 * 1024


class Failure(Enum):
    """How far an exchange came before its connection failed."""

    #: No byte left this process, so the target has not seen the request.
    NOT_SENT = "not_sent"
    #: The target may have read the request.
    BROKEN = "broken"


@frozen
class ResponseHead:
    """Status and headers of an answer.

    ``is_delimited`` tells whether length or chunks mark the end of the body; else
    the end of the connection does.
    """

    status: int
    headers: Headers
    is_delimited: bool


class ResponseSink:
    """What an exchange tells its owner; each method does nothing by default.

    `on_head` returns whether the answer belongs to the request. Another one is
    skipped, and the connection serves no further request.
    """

    def on_head(self, head: ResponseHead) -> bool:
        """Take the head of an answer."""
        return True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_complete(self) -> None:
        """Note that the answer is whole."""

    def on_failure(self, failure: Failure, reason: str) -> None:
        """Note that no whole answer will come."""


class ClientConnection:
    """Connection to one address.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Where to connect.
    dead_after_s : float
        Silence of the peer's kernel after which the connection is given up.
    connect_s : float
        Longest wait for the connection.
    """

    def __init__(
        self, loop: Loop, address: Address, dead_after_s: float, connect_s: float
    ) -> None:
        self.address = address
        self._loop = loop
        self._dead_after_s = dead_after_s
        self._connect_s = connect_s
        self._sock = None
        self._timer: Timer | None = None
        self._output = bytearray()
        self._events = 0
        self._is_connected = False
        self._is_closed = False
        self._has_sent = False
        self._requests = 0
        self._is_reusable = True
        self._is_paused = False
        self._sink: ResponseSink | None = None
        self._is_skipping = False
        self._is_head_read = False
        self._is_complete = False
        self._method = "GET"
        self._received = 0
        self._handed_on = 0
        self._parser: httptools.HttpResponseParser | None = None
        self._headers = Headers()
        #: Boot time at which the connection became idle.
        self.idle_since = 0.0
        #: Seconds for which the target keeps it open while idle, if it said so.
        self.keep_alive_s: float | None = None
        #: Called when an idle connection ends.
        self.on_idle_close: Callable[[ClientConnection], None] | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._is_closed

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be sent."""
        return self._is_reusable and not self._is_closed and self._sink is None

    @property
    def is_reused(self) -> bool:
        """Whether another request was sent before the present one."""
        return self._requests > 1

    @property
    def has_sent(self) -> bool:
        """Whether a byte of the present request has left this process."""
        return self._has_sent

    def send(self, request: HttpRequest, sink: ResponseSink) -> None:
        """Send a request; `sink` hears of the answer, never during this call."""
        self._sink = sink
        self._requests += 1
        self._has_sent = False
        self._is_skipping = False
        self._received = self._handed_on = 0
        self._method = request.method
        self._new_parser()
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
        """Read on."""
        self._is_paused = False
        self._watch()

    def close(self) -> None:
        """End the connection; the sink hears nothing more."""
        self._sink = None
        self._close()

    def _connect(self) -> None:
        if self._is_closed:
            return
        self._timer = self._loop.call_later(self._connect_s, self._connect_timed_out)
        try:
            self._sock = connect(self.address, self._dead_after_s)
        except OSError as error:
            self._fail(f"connect failed: {error}")
            return
        self._watch()

    def _connect_timed_out(self) -> None:
        if not self._is_connected:
            self._fail(f"not connected within {self._connect_s:g} s")

    def _new_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = Headers()
        self._is_head_read = False
        self._is_complete = False

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and not self._is_closed:
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
            if self._is_connected:
                # The answer may have come before the target stopped reading.
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
            self._end_of_input()
        elif self._sink is None:
            # Bytes without a request are no answer to anything.
            self._close()
        else:
            self._feed(data)

    def _feed(self, data: bytes) -> None:
        while data and self._sink is not None:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserCallbackError as error:
                raise error.__context__ or error from None
            except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
                if self._is_complete:
                    self._is_reusable = False
                else:
                    self._is_reusable = False
                    self._fail(f"no HTTP answer: {error}")
                    return
            self._received += len(data)
            data = b""
            if self._is_complete:
                self._message_ended()
            elif self._received > MAX_OVERHEAD_BYTES + 2 * self._handed_on:
                self._is_reusable = False
                self._fail(f"no whole answer in {self._received} bytes")

    def _end_of_input(self) -> None:
        sink = self._sink
        is_by_close = self._is_head_read and not self._is_delimited
        if sink is None or not is_by_close or self._is_skipping:
            self._fail("closed by the target")
            return
        self._sink = None
        self._close()
        sink.on_complete()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Begin an answer; a second one in the same piece is noted as odd."""
        if self._is_complete:
            self._is_reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if not self._is_complete:
            self._headers.add(name.decode("latin-1"), value.decode("latin-1").strip())

    def on_headers_complete(self) -> None:
        """Hand the head on, unless it is an interim one."""
        if self._is_complete or self._parser.get_status_code() < 200:
            return
        headers = self._headers
        self._is_delimited = bool(
            headers.get("Content-Length")
            or "chunked" in headers.get("Transfer-Encoding").lower()
            or self._parser.get_status_code() in (204, 304)
        )
        self._is_head_read = True
        if not self._is_delimited or not self._parser.should_keep_alive():
            self._is_reusable = False
        self._read_keep_alive()
        head = ResponseHead(self._parser.get_status_code(), headers, self._is_delimited)
        if self._sink is not None and not self._sink.on_head(head):
            self._is_skipping = True
            self._is_reusable = False

    def on_body(self, data: bytes) -> None:
        """Hand a part of the body on."""
        if self._is_complete or self._is_skipping or self._sink is None:
            return
        self._handed_on += len(data)
        self._sink.on_body(data)

    def on_message_complete(self) -> None:
        """Note the end of an answer; interim and skipped ones do not count."""
        if self._is_head_read and not self._is_skipping:
            self._is_complete = True
            return
        # The own answer follows, maybe in the same piece.
        self._headers = Headers()
        self._is_head_read = False
        self._is_skipping = False

    def _message_ended(self) -> None:
        sink, self._sink = self._sink, None
        if self._output:
            # The target answered before it had read the request.
            self._is_reusable = False
        self.idle_since = boot_time()
        if not self._is_reusable:
            self._close()
        sink.on_complete()

    def _read_keep_alive(self) -> None:
        for part in self._headers.get("Keep-Alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdecimal():
                self.keep_alive_s = float(value)

    def _fail(self, reason: str) -> None:
        if self._is_closed:
            return
        sink, self._sink = self._sink, None
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
        if self.on_idle_close is not None:
            self.on_idle_close(self)
