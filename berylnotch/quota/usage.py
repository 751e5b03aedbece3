"""Average use of tokens over time, and the priority derived from this average."""

from __future__ import annotations

import math

#: Priority of an organisation that uses less than its share allows.
BEST_PRIORITY = 0

#: Priority of an organisation that uses far more than its share allows.
WORST_PRIORITY = 9

#: Priority of an organisation that uses exactly its share.
NEUTRAL_PRIORITY = 4

#: Number of priority steps for each doubling of the use.
STEPS_PER_DOUBLING = 2


class UsageAverage:
    """Exponentially decaying average of tokens a second.

    Parameters
    ----------
    window_s : float
        Time constant of the decay, in seconds.
    now : float
        Time of creation, in seconds of the monotonic clock.
    """

    def __init__(self, window_s: float, now: float) -> None:
        self._window_s = window_s
        self._tokens = 0.0
        self._updated_at = now

    def add(self, now: float, tokens: float) -> None:
        """Count tokens used at ``now``."""
        self._decay(now)
        self._tokens += tokens

    def per_s(self, now: float) -> float:
        """Return the average use in tokens a second."""
        self._decay(now)
        return self._tokens / self._window_s

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        self._tokens *= math.exp(-elapsed_s / self._window_s)
        self._updated_at = now


def usage_priority(
    use: float, share: float, total_use: float, total_share: float
) -> int:
    """Return the priority of an organisation, 0 (best) to 9.

    Parameters
    ----------
    use, share : float
        Use of the organisation in tokens a second, and weight of the organisation.
    total_use, total_share : float
        Sums of use and weight over all organisations with any use.
    """
    if use <= 0 or total_use <= 0:
        return BEST_PRIORITY
    ratio = (use / share) / (total_use / total_share)
    priority = round(NEUTRAL_PRIORITY + STEPS_PER_DOUBLING * math.log2(ratio))
    return max(BEST_PRIORITY, min(WORST_PRIORITY, priority))
