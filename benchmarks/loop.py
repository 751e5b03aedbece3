"""An event loop on simulated time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs actions in order of their time; ``now`` is in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._actions: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` in ``delay`` seconds."""
        entry = (self.now + delay, next(self._order), action)
        heapq.heappush(self._actions, entry)

    def every(self, period: float, until: float, action: Callable[[], None]) -> None:
        """Run ``action`` periodically up to ``until``."""

        def run() -> None:
            action()
            if self.now + period <= until:
                self.after(period, run)

        self.after(period, run)

    def run(self) -> None:
        """Run until nothing is left."""
        while self._actions:
            self.now, _, action = heapq.heappop(self._actions)
            action()
