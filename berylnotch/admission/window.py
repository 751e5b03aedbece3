"""Retry budget over a sliding window."""

from __future__ import annotations

from collections import deque

from attrs import define

from berylnotch.admission.retry import RetrySettings

#: Number of intervals into which a window is divided for counting attempts. More
#: intervals approximate the edges of the sliding window more closely.
N_INTERVALS = 10


@define
class _Interval:
    """Number of first attempts and retries in one interval."""

    index: int
    n_first_attempts: int = 0
    n_retries: int = 0


class WindowBudget:
    """Limits retries in each window to the reserve plus a fraction of first attempts.

    A token bucket must discard tokens above its reserve; otherwise two bursts within
    one window would spend the same tokens twice. Counting attempts over the window
    lets a burst of failures, for example when several targets crash together, use
    the whole budget that the window has earned.

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

    @property
    def reserve(self) -> float:
        """Retries that are allowed in each window beside those of first attempts."""
        return self._settings.reserve

    def resize(self, settings: RetrySettings) -> None:
        """Apply changed settings; earlier retries still count."""
        self._settings = settings

    def balance(self, now: float) -> float:
        """Return the remaining retries; negative after the settings were reduced."""
        current = self._drop_old_intervals(now)
        # The oldest interval lies only partly inside the window. Its retries count,
        # but its first attempts do not, so that no window exceeds its budget.
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
        """Return whether another retry may be made."""
        return self.balance(now) >= 1

    def earn(self, now: float) -> None:
        """Count a first attempt."""
        self._current_interval(now).n_first_attempts += 1

    def spend(self, now: float) -> bool:
        """Take one retry from the budget; return whether the budget allowed it."""
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
        """Drop intervals that ended before the window; return the current index."""
        index = int(now / self._interval_s)
        while self._intervals and self._intervals[0].index < index - N_INTERVALS:
            self._intervals.popleft()
        return index
