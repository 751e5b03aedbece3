"""Retry budget over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import define

from berylnotch.admission.retry import RetrySettings

#: Parts of a window in which attempts are counted; more are closer to its edges.
N_INTERVALS = 10


@define
class _Interval:
    """Attempts in one part of a window."""

    index: int
    n_first_attempts: int = 0
    n_retries: int = 0


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
        self._interval_s = window_s / N_INTERVALS
        self._intervals: deque[_Interval] = deque()

    def resize(self, settings: RetrySettings) -> None:
        """Take other bounds; what was spent still counts."""
        self._settings = settings

    def balance(self, now: float) -> float:
        """Return the retries that may be made now, negative after smaller bounds."""
        current = self._drop_old_intervals(now)
        # Parts at the edge count against the budget, and not for it.
        n_first_attempts = sum(
            interval.n_first_attempts
            for interval in self._intervals
            if interval.index > current - N_INTERVALS
        )
        n_retries = sum(interval.n_retries for interval in self._intervals)
        return (
            self._settings.reserve + self._settings.ratio * n_first_attempts - n_retries
        )

    def has_room(self, now: float) -> bool:
        """Tell whether another retry may be made."""
        return self.balance(now) >= 1

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._current_interval(now).n_first_attempts += 1

    def spend(self, now: float) -> bool:
        """Take one retry; return whether there was room for it."""
        if not self.has_room(now):
            return False
        self._current_interval(now).n_retries += 1
        return True

    def _current_interval(self, now: float) -> _Interval:
        index = self._drop_old_intervals(now)
        if not self._intervals or self._intervals[-1].index < index:
            self._intervals.append(_Interval(index))
        return self._intervals[-1]

    def _drop_old_intervals(self, now: float) -> int:
        """Forget what no window up to ``now`` holds; return the present part."""
        index = int(now / self._interval_s)
        while self._intervals and self._intervals[0].index < index - N_INTERVALS:
            self._intervals.popleft()
        return index
