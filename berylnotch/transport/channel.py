"""A connection in an event loop: session, socket, calls and answers."""

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

#: Sends the answer to a request.
Reply = Callable[[object], None]

#: Takes the identity of the other side, its message and a way to answer.
Handler = Callable[[str, Any, Reply], None]

#: Bytes that may wait for a slow receiver before the connection is dropped.
_MAX_OUTPUT_BYTES = 32 * 1024 * 1024
_READ_BYTES = 256 * 1024


class _Call:
    """A request that waits for its answer."""

    __slots__ = ("future", "timer")

    def __init__(self, future: Future[Any], timer: Timer) -> None:
        self.future = future
        self.timer = timer


class Channel:
    """One open connection; every method runs in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    sock : socket.socket
        Connected or connecting non-blocking socket.
    session : Session
        Handshake and framing.
    handler : callable
        Gets the messages that are no answers.
    on_close : callable
        Called once with the reason when the connection ends.
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
        self._waiting: list[tuple[int, bool, object]] = []
        self._calls: dict[int, _Call] = {}
        self._next_call = 1
        self._closed = False
        self._has_sent = False

    @property
    def has_sent(self) -> bool:
        """Whether a byte has left this process, so the socket was connected."""
        return self._has_sent

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed

    @property
    def is_open(self) -> bool:
        """Whether both sides have proved who they are."""
        return self._session.is_open and not self._closed

    def start(self) -> None:
        """Serve the socket."""
        self._flush()

    def close(self, reason: str = "closed") -> None:
        """End the connection; requests without an answer fail."""
        if self._closed:
            return
        self._closed = True
        self._loop.watch(self._sock, 0, self._on_ready)
        self._sock.close()
        calls, self._calls = self._calls, {}
        for call in calls.values():
            call.timer.cancel()
            call.future.set_exception(ConnectionLostError(reason))
        self._on_close(self, reason)

    def send(self, message: object) -> None:
        """Send a one-way message."""
        self._queue(0, False, message)

    def call(self, message: object, timeout_s: float, future: Future[Any]) -> None:
        """Send a request; ``future`` gets the answer or a `TransportError`."""
        if self._closed:
            future.set_exception(ConnectionLostError("connection is closed"))
            return
        number = self._next_call
        self._next_call += 1
        timer = self._loop.call_later(timeout_s, lambda: self._expire(number))
        self._calls[number] = _Call(future, timer)
        self._queue(number, False, message)

    def _expire(self, number: int) -> None:
        call = self._calls.pop(number, None)
        if call is not None:
            call.future.set_exception(CallTimeoutError("no answer in time"))

    def _queue(self, call: int, reply: bool, message: object) -> None:
        if self._closed:
            return
        if not self._session.is_open:
            self._waiting.append((call, reply, message))
            return
        self._session.send(call, reply, message)
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
            self.close("receiver too slow")
            return
        events = selectors.EVENT_READ
        if self._output:
            events |= selectors.EVENT_WRITE
        self._loop.watch(self._sock, events, self._on_ready)

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_READ:
            self._receive()
        if events & selectors.EVENT_WRITE and not self._closed:
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
            self.close("closed by the other side")
            return
        self._take(data)

    def _take(self, data: bytes) -> None:
        was_open = self._session.is_open
        try:
            messages = self._session.feed(data)
        except TransportError as error:
            self.close(str(error))
            return
        if self._session.is_open and not was_open:
            self._send_waiting()
        for envelope, message in messages:
            self._dispatch(envelope.call, envelope.reply, message)
        if not self._closed:
            self._flush()

    def _send_waiting(self) -> None:
        waiting, self._waiting = self._waiting, []
        for call, reply, message in waiting:
            self._session.send(call, reply, message)

    def _dispatch(self, number: int, is_reply: bool, message: Any) -> None:
        if not is_reply:
            self._handler(self._session.identity, message, self._replier(number))
            return
        call = self._calls.pop(number, None)
        if call is not None:
            call.timer.cancel()
            call.future.set_result(message)

    def _replier(self, number: int) -> Reply:
        def reply(message: object) -> None:
            if number:
                self._loop.call_soon(lambda: self._queue(number, True, message))

        return reply
