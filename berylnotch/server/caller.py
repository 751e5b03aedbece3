"""Caller's connection after it was taken over: bounded, non-blocking writes."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from berylnotch.util.loop import Loop

#: Waiting bytes above which the upstream should pause.
HIGH_WATER_BYTES = 128 * 1024
#: Waiting bytes below which the upstream may go on.
LOW_WATER_BYTES = 32 * 1024

_DISCARD_BYTES = 64 * 1024
#: Seconds for the caller to take the last bytes of an answer.
_LINGER_S = 30.0


class Caller:
    """Socket of one caller; every method runs in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    sock : socket.socket
        Non-blocking socket.
    on_drained : callable
        Called when a full buffer has fallen below the low-water mark.
    on_gone : callable
        Called once if the caller closes or the connection fails.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_drained: Callable[[], None],
        on_gone: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._on_drained = on_drained
        self._on_gone = on_gone
        self._output = bytearray()
        self._full = False
        self._finishing = False
        self._closed = False

    @property
    def is_full(self) -> bool:
        """Whether the caller reads too slowly for more bytes."""
        return self._full

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    @property
    def waiting_bytes(self) -> int:
        """Bytes accepted by `write` that the socket has not taken."""
        return len(self._output)

    def start(self) -> None:
        """Notice from now on if the caller goes away."""
        self._loop.watch(self._sock, selectors.EVENT_READ, self._on_ready)

    def write(self, data: bytes) -> None:
        """Send bytes, or keep them until the socket takes them."""
        if self._closed or not data:
            return
        if not self._output:
            # Nearly always the socket takes all, and nothing has to be watched.
            data = self._send(data)
        if data:
            self._output += data
            self._update()

    def finish(self) -> None:
        """Close once all bytes are sent."""
        if self._closed:
            return
        self._finishing = True
        self._loop.call_later(_LINGER_S, self.close)
        self._flush()

    def close(self) -> None:
        """Close at once."""
        if self._closed:
            return
        self._closed = True
        self._output.clear()
        self._loop.watch(self._sock, 0, self._on_ready)
        self._sock.close()

    def _send(self, data: bytes) -> bytes:
        """Send what the socket takes now and return the rest."""
        try:
            sent = self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return data
        except OSError:
            self._fail()
            return b""
        return data[sent:]

    def _flush(self) -> None:
        try:
            while self._output:
                sent = self._sock.send(self._output)
                del self._output[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._fail()
            return
        if self._finishing and not self._output:
            self.close()
            return
        self._update()

    def _update(self) -> None:
        events = selectors.EVENT_READ
        if self._output:
            events |= selectors.EVENT_WRITE
        self._loop.watch(self._sock, events, self._on_ready)
        if len(self._output) > HIGH_WATER_BYTES:
            self._full = True
        elif self._full and len(self._output) < LOW_WATER_BYTES:
            self._full = False
            self._on_drained()

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_READ:
            self._check_gone()
        if events & selectors.EVENT_WRITE and not self._closed:
            self._flush()

    def _check_gone(self) -> None:
        # Bytes behind the request are dropped: the answer closes the connection.
        try:
            if self._sock.recv(_DISCARD_BYTES):
                return
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            pass
        self._fail()

    def _fail(self) -> None:
        if self._closed:
            return
        self.close()
        if not self._finishing:
            self._on_gone()
