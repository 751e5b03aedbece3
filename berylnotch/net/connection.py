"""Connection from one caller.

A connection serves one request at a time. While a request is served, further bytes from
the caller are buffered, and a close by the caller is detected at once.
"""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from berylnotch.net.connection_input import ConnectionInput
from berylnotch.net.messages import HttpRequest
from berylnotch.net.request_limits import MIN_SENT_BYTES_PER_S
from berylnotch.util.clock import boot_time

#: Shortest time in seconds for which input is read and discarded after the last sent
#: byte, unless the caller closes before. An immediate close with unread input would
#: reset the connection, and the caller could lose the response. A server that finishes
#: also gives connections without a request this time for one that is in transit.
_LINGER_S = 1.0

#: Longest time in seconds for a body, beside the idle timeout. A body of 4 MiB needs
#: 7 kB/s for it.
_MAX_BODY_S = 600.0

#: Minimum rate, in bytes per second, at which a caller has to send a request and read a
#: response. A caller is disconnected if a transfer takes longer than this rate allows
#: plus the idle timeout. While other responses wait for memory, a response has to be
#: read at `MIN_SENT_BYTES_PER_S`: one of 16 MiB could keep them waiting for 4.5 hours.
_MIN_BYTES_PER_S = 1024.0


class ServerConnection(ConnectionInput):
    """Connection from one caller."""

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
        if self._is_closed or self.request is not None or self._held.is_waiting:
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
            max_transfer_s = min(max_transfer_s, _MAX_BODY_S) + self._waited_s
            is_slow = read_s > limits.idle_s + max_transfer_s
            return "body took too long" if is_slow or idle_s > limits.idle_s else ""
        max_idle_s = limits.idle_s
        if self._output:
            is_scarce = self._server.is_memory_scarce()
            rate = MIN_SENT_BYTES_PER_S if is_scarce else _MIN_BYTES_PER_S
            max_idle_s += self._backlog_bytes / rate
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

    def _on_ready(self, events: int) -> None:
        if events & selectors.EVENT_READ:
            self._receive()
        if events & selectors.EVENT_WRITE and not self._is_closed:
            self._flush()

    def detach(self) -> tuple[int, Callable[[], None]]:
        """Give away the connection with its request, and forget it.

        Returns
        -------
        tuple of int and callable
            Descriptor of the socket, and a function to call once the request has ended,
            which frees its memory. If the caller has disconnected, the descriptor is
            that of a closed connection.
        """
        if self._is_closed:
            other, own = socket.socketpair()
            other.close()
            return own.detach(), lambda: None
        self.on_disconnected = None
        self._is_closed = True
        self._loop.watch(self._sock, 0, self._on_ready)
        self._server.remove(self)
        return self._sock.detach(), lambda: self._held.close(boot_time())

    def break_off_reading(self) -> bool:
        """Pass on a request whose body is incomplete; return whether there is one."""
        is_body = self._reader.is_head_read and not self._is_closed
        if self._server.on_broken_off is None or not is_body:
            return False
        now = boot_time()
        self.request = self._reader.take_broken(now)
        self._response_bytes = len(self._output)
        self._held.release(now)
        self._held.set_running(True, now)
        self._is_reading = False
        self._watch()
        self._server.on_broken_off(self, self.request)
        return True

    def _on_caller_end(self) -> None:
        if self.request is None and self.break_off_reading():
            return
        if self.request is not None or not self._output:
            self._close()
            return
        # The caller may read the rest of its response although it sends nothing more.
        self._has_caller_ended = True
        self._is_lingering = True
        self._is_reading = False
        self._reader.pipelined.clear()
        self._watch()

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

    def _finish(self, close: bool) -> None:
        now = boot_time()
        self.on_disconnected = None
        self.on_drained = None
        self._last_active_at = now
        if self.request is not None and self._held.grant_bytes:
            # Objects in reference cycles may refer to the request until the garbage
            # collector runs, and would keep its large body.
            self.request.body = b""
        if self.request is not None and not self._server.is_control:
            # Unsent output of control ports has to fit into the memory for callers.
            self._held.protect(self._response_bytes, now)
        self._responded_request = self.request
        self.request = None
        self._held.set_running(False, now)
        self._held.release(now)
        self._initial_limits = self._server.limits()
        self._backlog_bytes = len(self._output)
        if close:
            self._is_lingering = True
            self._reader.pipelined.clear()
        self._is_reading = self._has_room
        self._flush()
        self._account()

    def _on_output_sent(self) -> None:
        self._responded_request = None
        if not self._is_lingering:
            self._held.protected_until = 0.0
        self._notify_sent()
        if self._is_lingering:
            self._shut_down_writing()
        elif self.on_drained is not None:
            self.on_drained()
        if self.request is None:
            self._last_active_at = boot_time()
            if self._reader.pipelined and not self._is_lingering:
                self._loop.call_soon(self._feed_pipelined)
            if self._server.is_finishing:
                self._close_unless_used()

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
        self._reader.reset()
        if self._held is not None:
            self._held.close(boot_time())
        self._notify_sent()
        on_disconnected, self.on_disconnected = self.on_disconnected, None
        if on_disconnected is not None:
            on_disconnected()
