"""Lease on the freshness of a replicated copy of the control state."""

from __future__ import annotations

import math

#: Time after a confirmation during which a ready answer to an accepted request may
#: still be delivered, in freshness leases: the lease under which the request was
#: accepted, the time until its answer is ready, and the wait for a confirmation.
LATE_ANSWER_LEASES = 3


class Freshness:
    """Lease during which a copy of the control state may be used.

    A router authorises callers by its copy of the keys only while the lease is valid.

    Parameters
    ----------
    lease_s : float
        Time for which the copy may be used after the moment at which the leader
        confirmed that it was current, in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._confirmed_at: float | None = None

    def observe(self, sent_at: float, age_ms: int) -> None:
        """Record the age that a reply reports, once the reply's state has been applied.

        Parameters
        ----------
        sent_at : float
            Monotonic time in seconds at which the request was *sent*, so that the
            round trip counts towards the age.
        age_ms : int
            Upper bound of the age of the state when the reply was sent, in
            milliseconds; negative if no leader has confirmed the state.
        """
        if age_ms < 0:
            return
        confirmed_at = sent_at - age_ms / 1000
        if self._confirmed_at is None or confirmed_at > self._confirmed_at:
            self._confirmed_at = confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Tell whether the lease is valid at ``now`` (monotonic time in seconds)."""
        if self._confirmed_at is None:
            return False
        return now - self._confirmed_at < self._lease_s

    def can_deliver_late(self, now: float) -> bool:
        """Tell whether the answer to a request that was accepted may be delivered.

        It may also be delivered after the lease has ended, but not later than
        `LATE_ANSWER_LEASES` leases after the last confirmation.
        """
        if self._confirmed_at is None:
            return False
        return now - self._confirmed_at < LATE_ANSWER_LEASES * self._lease_s

    def age_ms(self, now: float) -> int:
        """Return the copy's age in ms, rounded up, or -1 if it was never confirmed."""
        if self._confirmed_at is None:
            return -1
        return max(0, math.ceil((now - self._confirmed_at) * 1000))
