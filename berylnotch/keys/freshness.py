"""Freshness of a copy of the control state."""

from __future__ import annotations

import math


class Freshness:
    """Lease under which a router authorises by its copy of the keys.

    Parameters
    ----------
    lease_s : float
        How long after the leader vouched for the copy it may be used.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._vouched_at: float | None = None

    def observe(self, sent_at: float, age_ms: int) -> None:
        """Note an answer, after its events were applied.

        Parameters
        ----------
        sent_at : float
            When the request was *sent*, so that time on the way counts as age.
        age_ms : int
            Bound of the answer's age; negative if no leader vouched for it.
        """
        if age_ms < 0:
            return
        vouched_at = sent_at - age_ms / 1000
        if self._vouched_at is None or vouched_at > self._vouched_at:
            self._vouched_at = vouched_at

    def is_fresh(self, now: float) -> bool:
        """Tell whether the copy may be used at ``now``."""
        if self._vouched_at is None:
            return False
        return now - self._vouched_at < self._lease_s

    def age_ms(self, now: float) -> int:
        """Return the copy's age, rounded up, or -1 if nobody vouched yet."""
        if self._vouched_at is None:
            return -1
        return max(0, math.ceil((now - self._vouched_at) * 1000))
