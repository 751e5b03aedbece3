"""Largest value that a number had within a time."""

from __future__ import annotations

from collections import deque


class RecentMaximum:
    """Remembers the former values of a number for a time.

    Parameters
    ----------
    memory_s : float
        Seconds after a change for which the former value is remembered.
    """

    def __init__(self, memory_s: float) -> None:
        self._memory_s = memory_s
        #: Former values, each with the time at which it changed.
        self._former: deque[tuple[float, int]] = deque()

    def replace(self, now: float, former: int) -> None:
        """Remember a value that changes now."""
        self._former.append((now, former))
        while self._former[0][0] < now - self._memory_s:
            self._former.popleft()

    def largest(self, now: float, current: int) -> int:
        """Return the largest of the current value and the remembered ones."""
        since = now - self._memory_s
        former = (value for changed_at, value in self._former if changed_at >= since)
        return max(current, max(former, default=current))
