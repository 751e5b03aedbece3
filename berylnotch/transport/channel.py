"""Connection on the event loop that matches replies with requests."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

from berylnotch.errors import TransportError
from berylnotch.transport.errors import CallTimeoutError, ConnectionLostError
from berylnotch.util.loop import Loop, Timer

if TYPE_CHECKING:
    from berylnotch.transport.plain import PlainSession
    from berylnotch.transport.session import Session

#: Sends the reply to a request.
Reply = Callable[[object], None]

#: Handles a message; called with the identity of the peer, the message and a function
#: that sends the reply.
Handler = Callable[[str, Any, Reply], None]

#: Unsent output, in bytes, above which the connection to a slow receiver is closed.
_MAX_OUTPUT_BYTES = 32 * 1024 * 1024
_READ_BYTES = 256 * 1024


class _PendingCall:
    """Request that waits for its reply."""

    __slots__ = ("future", "timer")

    def __init__(self, future: Future[Any], timer: Timer) -> None:
        self.future = future
        self.timer = timer


class Channel:
    """Connection to a peer; every method has to be called in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    sock : socket.socket
        Connected or connecting non-blocking socket.
    session : Session
        Handshake and framing of the connection.
    handler : callable
        Called with each message that is not a reply.
    on_close : callable
        Called once with the channel and the reason when the connection ends.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        session: Session | PlainSession,
        handler: Handler,
        on_close: Callable[[Channel, str], None],
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._session = session
        self._handler = handler
        self._on_close = on_close
        self._output = bytearray()
        self._queued: list[tuple[int, bool, object]] = []
        self._pending_calls: dict[int, _PendingCall] = {}
        self._next_call_id = 1
        self._is_closed = False
        self._has_sent = False

    @property
    def has_sent(self) -> bool:
        """Whether a byte has been sent, which shows that the socket was connected."""
        return self._has_sent

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed."""
        return self._is_closed

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and the connection is not closed."""
        return self._session.is_open and not self._is_closed

    def start(self) -> None:
        """Register the socket with the loop."""
        self._flush()

    def close(self, reason: str = "closed") -> None:
        """Close the connection; requests without a reply fail with `reason`."""
        if self._is_closed:
            return
        self._is_closed = True
        self._loop.watch(self._sock, 0, self._on_ready)
        self._sock.close()
        pending_calls, self._pending_calls = self._pending_calls, {}
        for call in pending_calls.values():
            call.timer.cancel()
            call.future.set_exception(ConnectionLostError(reason))
        self._on_close(self, reason)

    def send(self, message: object) -> None:
        """Send a one-way message."""
        self._send_or_queue(0, False, message)

    def call(self, message: object, timeout_s: float, future: Future[Any]) -> None:
        """Send a request; ``future`` gets the reply or a `TransportError`."""
        if self._is_closed:
            future.set_exception(ConnectionLostError("connection is closed"))
            return
        call_id = self._next_call_id
        self._next_call_id += 1
        timer = self._loop.call_later(timeout_s, lambda: self._expire_call(call_id))
        self._pending_calls[call_id] = _PendingCall(future, timer)
        self._send_or_queue(call_id, False, message)

    def _expire_call(self, call_id: int) -> None:
        call = self._pending_calls.pop(call_id, None)
        if call is not None:
            call.future.set_exception(
                CallTimeoutError("no reply within the time limit")
            )

    def _send_or_queue(self, call_id: int, is_reply: bool, message: object) -> None:
        if self._is_closed:
            return
        if not self._session.is_open:
            self._queued.append((call_id, is_reply, message))
            return
        self._session.send(call_id, is_reply, message)
        self._flush()

    def _flush(self) -> None:
        self._output += self._session.take_output()
        try:
            while self._output:
                sent = self._sock.send(self._output)
                self._has_sent = True
                del self._output[:sent]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError as error:
            self.close(f"send failed: {error}")
            return
        if len(self._output) > _MAX_OUTPUT_BYTES:
            self.close("unsent output over the limit; the receiver is too slow")
            return
        events = selectors.EVENT_READ
        if self._output:
            events |= selectors.EVENT_WRITE
        self._loop.watch(self._sock, events, self._on_ready)

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
        except OSError as error:
            self.close(f"receive failed: {error}")
            return
        if not data:
            self.close("closed by the peer")
            return
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        was_open = self._session.is_open
        try:
            messages = self._session.feed(data)
        except TransportError as error:
            self.close(str(error))
            return
        if self._session.is_open and not was_open:
            self._send_queued()
        for envelope, message in messages:
            self._dispatch(envelope.call, envelope.reply, message)
        if not self._is_closed:
            self._flush()

    def _send_queued(self) -> None:
        queued, self._queued = self._queued, []
        for call_id, is_reply, message in queued:
            self._session.send(call_id, is_reply, message)

    def _dispatch(self, call_id: int, is_reply: bool, message: Any) -> None:
        if not is_reply:
            self._handler(self._session.identity, message, self._make_reply(call_id))
            return
        call = self._pending_calls.pop(call_id, None)
        if call is not None:
            call.timer.cancel()
            call.future.set_result(message)

    def _make_reply(self, call_id: int) -> Reply:
        def reply(message: object) -> None:
            if call_id:
                self._loop.call_soon(
                    lambda: self._send_or_queue(call_id, True, message)
                )

        return reply
