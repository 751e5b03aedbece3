"""Single-threaded event loop for sockets, timers and queued calls."""

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

#: Longest time, in seconds, that one iteration waits for a socket or a timer.
_MAX_WAIT_S = 0.2

#: Socket events after which the queued calls run, so that a new request does not wait
#: until the events of hundreds of streams are handled.
_MAX_EVENTS_BETWEEN_CALLS = 8

#: Age in seconds of the newest look for input from which the loop looks again before
#: it runs timers: more than handling the input usually takes, and less than any time
#: limit.
_MAX_INPUT_AGE_S = 0.05

#: Maximum number of further looks for input before the timers run, so that a loop with
#: more input than it can handle still runs timers.
_MAX_FURTHER_LOOKS = 2


class Timer:
    """A call scheduled for a time; `cancel` turns it into a no-op."""

    __slots__ = ("due", "_call")

    def __init__(self, due: float, call: Callable[[], None]) -> None:
        self.due = due
        self._call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Drop the call."""
        self._call = None

    def run(self) -> None:
        """Run the call unless it was cancelled."""
        call, self._call = self._call, None
        if call is not None:
            call()


def _log_error(error: Exception) -> None:
    # Imported on first use, so that a process with its own ``on_error`` does not load
    # loguru.
    from loguru import logger

    logger.opt(exception=error).error("event=loop_call_failed")


class Loop:
    """Single-threaded scheduler of socket events, timers and calls.

    Parameters
    ----------
    name : str
        Name of the thread.
    on_error : callable, optional
        Receives each exception that a call raises; by default it is logged.
    """

    def __init__(
        self, name: str, on_error: Callable[[Exception], None] = _log_error
    ) -> None:
        self._on_error = on_error
        self._selector = selectors.DefaultSelector()
        self._calls: deque[Callable[[], None]] = deque()
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence_numbers = itertools.count()
        self._wake_writer, self._wake_reader = socket.socketpair()
        self._wake_writer.setblocking(False)
        self._wake_reader.setblocking(False)
        self._name = name
        self._executor: ThreadPoolExecutor | None = None
        self._is_closing = False
        self._turn = 0
        self._thread_id = 0
        self._finished: Future[None] | None = None

    @property
    def turn(self) -> int:
        """Number of the current iteration."""
        return self._turn

    @property
    def in_thread(self) -> bool:
        """Whether the current thread is the loop's thread."""
        return threading.get_ident() == self._thread_id

    def start(self) -> None:
        """Run the loop in a new thread until `close`."""
        self._executor = ThreadPoolExecutor(1, thread_name_prefix=self._name)
        self._finished = self._executor.submit(self.run)

    def close(self) -> None:
        """Stop the loop once the calls that are already queued have run."""
        self.call_soon(self._stop)
        if self._finished is not None and not self.in_thread:
            self._finished.result()
            self._executor.shutdown()

    def run(self) -> None:
        """Run the loop in the current thread until `close`."""
        self._selector.register(
            self._wake_reader, selectors.EVENT_READ, self._drain_wakeups
        )
        self._thread_id = threading.get_ident()
        while not self._is_closing:
            self._run_once()
        self._selector.close()
        self._wake_writer.close()
        self._wake_reader.close()

    def call_soon(self, call: Callable[[], None]) -> None:
        """Queue ``call`` for the loop's thread; safe to call from any thread."""
        self._calls.append(call)
        if not self.in_thread:
            self._wake()

    def call_from_signal(self, call: Callable[[], None]) -> None:
        """Queue ``call`` from a signal handler, and wake the loop.

        A handler runs in the main thread, which may be the loop's thread. The selector
        resumes its wait after a handler, so without a wake-up the call would run only
        after the longest wait.
        """
        self._calls.append(call)
        self._wake()

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Run ``call`` after ``delay_s`` seconds; safe to call from any thread."""
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
        """Call ``call(events)`` whenever the socket is ready for ``events``.

        With ``events`` 0, the socket is no longer watched.
        """
        registered = self._selector.get_map().get(sock)
        if not events:
            if registered is not None:
                self._selector.unregister(sock)
        elif registered is None:
            self._selector.register(sock, events, call)
        elif registered.events != events or registered.data is not call:
            self._selector.modify(sock, events, call)

    def _run_once(self) -> None:
        self._turn += 1
        looked_at = self._handle_input(self._wait_s())
        for _ in range(_MAX_FURTHER_LOOKS):
            now = time.monotonic()
            is_timer_due = bool(self._timers) and self._timers[0][0] <= now
            if not is_timer_due or now - looked_at < _MAX_INPUT_AGE_S:
                break
            # The process was suspended or busy. What arrived meanwhile comes first,
            # since a timer may act on the lack of it.
            looked_at = self._handle_input(0.0)
        self._run_timers()
        self._run_calls()

    def _handle_input(self, wait_s: float) -> float:
        """Handle socket events; return the time at which the sockets were last checked.

        Parameters
        ----------
        wait_s : float
            Longest time in seconds to wait for events.
        """
        began_at = time.monotonic()
        ready = self._selector.select(wait_s)
        # A suspension ends the wait without looking for events again.
        looked_at = min(time.monotonic(), began_at + wait_s)
        for position, (key, events) in enumerate(ready, start=1):
            self._call_safely(lambda key=key, events=events: key.data(events))
            if position % _MAX_EVENTS_BETWEEN_CALLS == 0:
                self._run_calls()
        return looked_at

    def _run_calls(self) -> None:
        for _ in range(len(self._calls)):
            self._call_safely(self._calls.popleft())

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
            self._call_safely(timer.run)

    def _add_timer(self, timer: Timer) -> None:
        heapq.heappush(self._timers, (timer.due, next(self._sequence_numbers), timer))

    def _call_safely(self, call: Callable[[], object]) -> None:
        # An exception in one call must not prevent the others from running.
        try:
            call()
        except Exception as error:
            self._on_error(error)

    def _stop(self) -> None:
        self._is_closing = True

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except (BlockingIOError, OSError):
            return

    def _drain_wakeups(self, _events: int) -> None:
        try:
            while self._wake_reader.recv(4096):
                continue
        except BlockingIOError:
            return
