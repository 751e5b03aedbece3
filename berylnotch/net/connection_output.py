"""Responses on a caller's connection, and the output that is not sent yet."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from berylnotch.net.messages import Headers, HttpRequest, encode_head

#: Unsent output to a caller, in bytes, above which the source of the output should
#: pause.
HIGH_WATER_BYTES = 256 * 1024


class ConnectionOutput(ABC):
    """Writing half of a connection from one caller.

    Parameters
    ----------
    sock : socket.socket
        Non-blocking socket.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self._output = bytearray()
        self._is_closed = False
        self._close_after_stream = False
        #: Request that is being served, or None.
        self.request: HttpRequest | None = None
        #: Bytes of the current response; the caller may not have read them after they
        #: were sent.
        self._response_bytes = 0
        #: Called once when all buffered output has been sent, or by the close.
        self._on_sent: list[Callable[[], None]] = []

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._is_closed

    @property
    def is_congested(self) -> bool:
        """Whether the source of the output should pause, for backpressure."""
        return len(self._output) > HIGH_WATER_BYTES

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

    def _add_output(self, data: bytes | bytearray) -> None:
        self._output += data
        self._response_bytes += len(data)

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

    def _notify_sent(self) -> None:
        callbacks, self._on_sent = self._on_sent, []
        for on_sent in callbacks:
            on_sent()

    @abstractmethod
    def _finish(self, close: bool) -> None:
        """End the current response, and with ``close`` the connection."""

    @abstractmethod
    def _close(self) -> None:
        """Close the connection."""

    @abstractmethod
    def _closes_after_response(self) -> bool:
        """Return whether the current response is the last one."""

    @abstractmethod
    def _on_output_sent(self) -> None:
        """Handle that all output has been sent."""

    @abstractmethod
    def _watch(self) -> None:
        """Register the events that the connection waits for."""
