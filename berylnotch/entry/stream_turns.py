"""Order in which streams with more events than an iteration allows are continued.

The limit of one stream bounds the delay that this stream causes. Dozens of such
streams together would still delay each iteration of the loop, and a request needs
several iterations.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from berylnotch.util.loop import Loop

#: Number of streams that are continued in one iteration of the loop. Beside 64 endless
#: streams, requests took up to 0.17 s with 8, and up to 0.37 s with all of them.
MAX_STREAMS_PER_TURN = 8


class StreamTurns:
    """Continues the waiting streams of a router in turn, a few in each iteration.

    Parameters
    ----------
    loop : Loop
        Event loop that runs the calls.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._waiting: deque[Callable[[], None]] = deque()
        self._turn = -1
        self._is_scheduled = False

    def add(self, call: Callable[[], None]) -> None:
        """Make a call in a later iteration, after the calls that wait already."""
        self._waiting.append(call)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._turn = self._loop.turn
            self._loop.call_soon(self._run)

    def _run(self) -> None:
        # The loop runs queued calls several times in an iteration.
        try:
            if self._turn != self._loop.turn:
                self._turn = self._loop.turn
                for _ in range(min(MAX_STREAMS_PER_TURN, len(self._waiting))):
                    self._waiting.popleft()()
        finally:
            # An error of one stream must not stop the others.
            self._is_scheduled = bool(self._waiting)
            if self._is_scheduled:
                self._loop.call_soon(self._run)
