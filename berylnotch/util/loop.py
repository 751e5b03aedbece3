"""Event loop: one thread that serves sockets, timers and calls."""

from __future__ import annotations

import heapq
import itertools
import selectors
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

#: Longest wait, in seconds, for a socket or timer before the loop looks again.
_MAX_WAIT_S = 0.2

#: Socket events after which waiting calls get their turn; a new request must
#: not wait until hundreds of streams were served.
_EVENTS_BETWEEN_CALLS = 8


class Timer:
    """A call that is due at a time; `cancel` makes it do nothing."""

    __slots__ = ("due", "_call")

    def __init__(self, due: float, call: Callable[[], None]) -> None:
        self.due = due
        self._call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Forget the call."""
        self._call = None

    def run(self) -> None:
        """Make the call unless it was cancelled."""
        call, self._call = self._call, None
        if call is not None:
            call()


def _log_error(error: Exception) -> None:
    # Imported on first use: processes that log in another way do not pay for it.
    from loguru import logger

    logger.opt(exception=error).error("event=loop_call_failed")


class Loop:
    """Single-threaded scheduler of socket events, timers and calls.

    Parameters
    ----------
    name : str
        Name of the thread.
    on_error : callable, optional
        Gets an error that a call raised; it is logged by default.
    """

    def __init__(
        self, name: str, on_error: Callable[[Exception], None] = _log_error
    ) -> None:
        self._on_error = on_error
        self._selector = selectors.DefaultSelector()
        self._calls: deque[Callable[[], None]] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()
        self._wake_in, self._wake_out = socket.socketpair()
        self._wake_in.setblocking(False)
        self._wake_out.setblocking(False)
        self._name = name
        self._executor: ThreadPoolExecutor | None = None
        self._closing = False
        self._thread_id = 0
        self._finished: Future[None] | None = None

    @property
    def in_thread(self) -> bool:
        """Whether the caller runs in the loop's thread."""
        return threading.get_ident() == self._thread_id

    def start(self) -> None:
        """Serve in a thread of its own until `close`."""
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=self._name)
        self._finished = self._executor.submit(self.run)

    def close(self) -> None:
        """Stop serving after the calls that are already queued."""
        self.call_soon(self._stop)
        if self._finished is not None and not self.in_thread:
            self._finished.result()
            self._executor.shutdown()

    def run(self) -> None:
        """Serve in the present thread until `close`."""
        self._selector.register(self._wake_out, selectors.EVENT_READ, self._drain)
        self._thread_id = threading.get_ident()
        while not self._closing:
            self._run_once()
        self._selector.close()
        self._wake_in.close()
        self._wake_out.close()

    def call_soon(self, call: Callable[[], None]) -> None:
        """Run ``call`` in the loop's thread; any thread may ask."""
        self._calls.append(call)
        if not self.in_thread:
            self._wake()

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Run ``call`` after ``delay_s`` seconds; any thread may ask."""
        timer = Timer(time.monotonic() + delay_s, call)
        if self.in_thread:
            self._add_timer(timer)
        else:
            self.call_soon(lambda: self._add_timer(timer))
        return timer

    def call_every(self, interval_s: float, call: Callable[[], None]) -> None:
        """Run ``call`` every ``interval_s`` seconds until the loop closes."""

        def repeat() -> None:
            self.call_later(interval_s, repeat)
            call()

        self.call_later(interval_s, repeat)

    def watch(
        self, sock: socket.socket | int, events: int, call: Callable[[int], None]
    ) -> None:
        """Call ``call(events)`` while the socket is ready; 0 stops that."""
        known = self._selector.get_map().get(sock)
        if not events:
            if known is not None:
                self._selector.unregister(sock)
        elif known is None:
            self._selector.register(sock, events, call)
        elif known.events != events or known.data is not call:
            self._selector.modify(sock, events, call)

    def _run_once(self) -> None:
        ready = self._selector.select(self._wait_s())
        for position, (key, events) in enumerate(ready, start=1):
            self._guard(lambda key=key, events=events: key.data(events))
            if position % _EVENTS_BETWEEN_CALLS == 0:
                self._run_calls()
        self._run_timers()
        self._run_calls()

    def _run_calls(self) -> None:
        for _ in range(len(self._calls)):
            self._guard(self._calls.popleft())

    def _wait_s(self) -> float:
        if self._calls:
            return 0.0
        if not self._timers:
            return _MAX_WAIT_S
        return min(max(self._timers[0][0] - time.monotonic(), 0.0), _MAX_WAIT_S)

    def _run_timers(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            self._guard(timer.run)

    def _add_timer(self, timer: Timer) -> None:
        heapq.heappush(self._timers, (timer.due, next(self._order), timer))

    def _guard(self, call: Callable[[], object]) -> None:
        # An error in one call must not stop the others.
        try:
            call()
        except Exception as error:
            self._on_error(error)

    def _stop(self) -> None:
        self._closing = True

    def _wake(self) -> None:
        try:
            self._wake_in.send(b"\0")
        except (BlockingIOError, OSError):
            return

    def _drain(self, _events: int) -> None:
        try:
            while self._wake_out.recv(4096):
                continue
        except BlockingIOError:
            return
