"""Retry budget over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import define

from berylnotch.admission.retry import RetrySettings

#: Parts of a window in which attempts are counted; more are closer to its edges.
PARTS = 10


@define
class _Part:
    """Attempts in one part of a window."""

    number: int
    earned: int = 0
    spent: int = 0


class WindowBudget:
    """Bounds retries in each window to a part of its first attempts and the reserve.

    A bucket of tokens must forget what it saved beyond its reserve, or two bursts
    within a window would spend it twice. Counting the window itself lets a burst of
    failures, as when targets crash together, use all that the window has earned.

    Parameters
    ----------
    settings : RetrySettings
        Ratio and reserve.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, settings: RetrySettings, window_s: float) -> None:
        self._settings = settings
        self._part_s = window_s / PARTS
        self._parts: deque[_Part] = deque()

    def resize(self, settings: RetrySettings) -> None:
        """Take other bounds; what was spent still counts."""
        self._settings = settings

    def balance(self, now: float) -> float:
        """Return the retries that may be made now, negative after smaller bounds."""
        newest = self._advance(now)
        # Parts at the edge count against the budget, and not for it.
        earned = sum(p.earned for p in self._parts if p.number > newest - PARTS)
        spent = sum(p.spent for p in self._parts)
        return self._settings.reserve + self._settings.ratio * earned - spent

    def has_room(self, now: float) -> bool:
        """Tell whether another retry may be made."""
        return self.balance(now) >= 1

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._newest(now).earned += 1

    def spend(self, now: float) -> bool:
        """Take one retry; return whether there was room for it."""
        if not self.has_room(now):
            return False
        self._newest(now).spent += 1
        return True

    def _newest(self, now: float) -> _Part:
        number = self._advance(now)
        if not self._parts or self._parts[-1].number < number:
            self._parts.append(_Part(number))
        return self._parts[-1]

    def _advance(self, now: float) -> int:
        """Forget what no window up to ``now`` holds; return the present part."""
        number = int(now / self._part_s)
        while self._parts and self._parts[0].number < number - PARTS:
            self._parts.popleft()
        return number
