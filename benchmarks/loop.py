"""Event loop on simulated time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Loop:
    """Runs scheduled actions in order of time; ``now`` is in simulated seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run ``action`` in ``delay`` seconds."""
        entry = (self.now + delay, next(self._sequence), action)
        heapq.heappush(self._scheduled, entry)

    def every(self, period: float, until: float, action: Callable[[], None]) -> None:
        """Run ``action`` periodically up to ``until``."""

        def run() -> None:
            action()
            if self.now + period <= until:
                self.after(period, run)

        self.after(period, run)

    def run(self) -> None:
        """Run until no scheduled action remains."""
        while self._scheduled:
            self.now, _, action = heapq.heappop(self._scheduled)
            action()
