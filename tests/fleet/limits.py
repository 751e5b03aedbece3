"""The users' bound on the requests that a target with a limit gets from all routers."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Sequence

#: In any window of this length, in seconds, a target gets at most this multiple of its
#: limit and this many requests more.
WINDOW_S, MAX_MULTIPLE, MAX_EXCESS = 4.0, 1.5, 5

#: Seconds after a target first names its limit from which the limit must hold.
NOTICE_S = 3.0


def most_in_a_window(times: Sequence[float]) -> int:
    """Return the largest number of times, in increasing order, within a window."""
    return max(
        (bisect_left(times, t + WINDOW_S) - n for n, t in enumerate(times)), default=0
    )


def allowed_in_a_window(limit_per_s: float) -> float:
    """Return the number of requests that a target with a limit may get in a window."""
    return MAX_MULTIPLE * limit_per_s * WINDOW_S + MAX_EXCESS
