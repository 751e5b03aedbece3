"""Buffered connection to a caller, detached from the HTTP server.

Writes are non-blocking. Backpressure starts when the buffer exceeds the high-water
mark and ends when the buffer falls below the low-water mark.
"""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from berylnotch.util.loop import Loop

#: Buffered bytes above which the upstream should be paused.
HIGH_WATER_BYTES = 128 * 1024
#: Buffered bytes below which the upstream may be resumed.
LOW_WATER_BYTES = 32 * 1024

_DISCARD_READ_BYTES = 64 * 1024
#: Seconds without a byte that the caller takes, after which the rest of a finished
#: answer is given up.
_FLUSH_TIMEOUT_S = 30.0
#: Lowest rate in bytes per second, beside that time, at which the rest has to be taken,
#: since it keeps memory from the responses to other callers.
_MIN_FLUSH_BYTES_PER_S = 64 * 1024.0


#: Seconds after the last byte of an answer for which the connection waits for the
#: caller to close it.
_LINGER_S = 2.0


class CallerConnection:
    """Socket of one caller; every method runs in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    sock : socket.socket
        Non-blocking socket.
    on_drained : callable
        Called when the buffer, after exceeding the high-water mark, falls below the
        low-water mark.
    on_disconnected : callable
        Called once if the caller closes or the connection fails.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_drained: Callable[[], None],
        on_disconnected: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._on_drained = on_drained
        self._on_disconnected = on_disconnected
        self._buffer = bytearray()
        self._full = False
        self._finishing = False
        self._lingering = False
        self._closed = False

    @property
    def is_full(self) -> bool:
        """Whether the buffer exceeded the high-water mark and has not drained yet."""
        return self._full

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    @property
    def is_sent(self) -> bool:
        """Whether the answer has ended and the kernel has all of its bytes.

        The kernel goes on to send them also after the end of the process.
        """
        return self._closed or self._lingering

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes passed to `write` that are not sent yet."""
        return len(self._buffer)

    def start(self) -> None:
        """Start watching the socket for a disconnect of the caller."""
        self._loop.watch(self._sock, selectors.EVENT_READ, self._on_ready)

    def write(self, data: bytes) -> None:
        """Send bytes, and buffer those that the socket does not accept yet."""
        if self._closed or not data:
            return
        if not self._buffer:
            # The socket nearly always accepts all bytes, so that waiting for it to
            # become writable is not needed.
            data = self._send(data)
        if data:
            self._buffer += data
            self._update_watch()

    def finish(self) -> None:
        """Close once all bytes are sent."""
        if self._closed:
            return
        self._finishing = True
        self._flush()
        left_bytes = len(self._buffer)
        if left_bytes:
            flush_s = _FLUSH_TIMEOUT_S + left_bytes / _MIN_FLUSH_BYTES_PER_S
            self._loop.call_later(flush_s, self.close)
            self._check_later()

    def _check_later(self) -> None:
        """Close later if the caller has taken nothing until then."""
        left_bytes = len(self._buffer)

        def check() -> None:
            if not self._buffer:
                return
            if len(self._buffer) == left_bytes:
                self.close()
            else:
                self._check_later()

        self._loop.call_later(_FLUSH_TIMEOUT_S, check)

    def close(self) -> None:
        """Close at once."""
        if self._closed:
            return
        self._closed = True
        self._buffer.clear()
        self._loop.watch(self._sock, 0, self._on_ready)
        self._sock.close()

    def _send(self, data: bytes) -> bytes:
        """Send the bytes that the socket accepts now and return the rest."""
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return data
        except OSError:
            self._on_connection_lost()
            return b""
        return data[sent:]

    def _flush(self) -> None:
        try:
            while self._buffer:
                sent = self._sock.send(self._buffer)
                del self._buffer[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._on_connection_lost()
            return
        if self._finishing and not self._buffer:
            self._linger()
            return
        self._update_watch()

    def _linger(self) -> None:
        """Read what the caller still sends until it closes.

        A socket that is closed with unread bytes is reset, and the reset discards the
        part of the answer that has not reached the caller.
        """
        if self._lingering:
            return
        self._lingering = True
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()
            return
        self._loop.watch(self._sock, selectors.EVENT_READ, self._on_ready)
        self._loop.call_later(_LINGER_S, self.close)

    def _update_watch(self) -> None:
        events = selectors.EVENT_READ
        if self._buffer:
            events |= selectors.EVENT_WRITE
        self._loop.watch(self._sock, events, self._on_ready)
        if len(self._buffer) > HIGH_WATER_BYTES:
            self._full = True
        elif self._full and len(self._buffer) < LOW_WATER_BYTES:
            self._full = False
            self._on_drained()

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_READ:
            self._check_disconnected()
        if events & selectors.EVENT_WRITE and not self._closed:
            self._flush()

    def _check_disconnected(self) -> None:
        # Bytes after the request are discarded: the answer closes the connection.
        try:
            if self._sock.recv(_DISCARD_READ_BYTES):
                return
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            pass
        self._on_connection_lost()

    def _on_connection_lost(self) -> None:
        if self._closed:
            return
        self.close()
        if not self._finishing:
            self._on_disconnected()
