"""Notices that the process did not run, because its VM was suspended or overloaded.

A signal to a suspended process is delivered when the process runs again, but the time
until the process is killed counts from when the signal was sent.
"""

from __future__ import annotations

import math

#: Time in seconds without a tick from which the process counts as suspended: several
#: ticks, more than a busy event loop delays one.
MIN_GAP_S = 0.3

#: Time in seconds without a tick from which a signal may have waited for the process,
#: which may be starved for such a time. It is two intervals between ticks.
MIN_SIGNAL_GAP_S = 0.1

#: Seconds after a gap in which a signal may have been sent before or during this gap.
#: It covers the delivery of the signal and the calls that run first.
DELIVERY_S = 0.1

#: Seconds after a gap in which the end of a connection may be due to the gap: the peer
#: closed the silent connection, and this process notices when it sends again.
AFTERMATH_S = 1.0


class SuspensionWatch:
    """Times at which this process was seen to run.

    Parameters
    ----------
    now : float
        Seconds since the VM started.
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._suspension_ended_at = -math.inf
        self._gap_began_at = self._gap_ended_at = -math.inf

    def tick(self, now: float) -> None:
        """Note that the process runs; call this several times in `MIN_GAP_S`."""
        gap_s = now - self._ticked_at
        if gap_s > MIN_SIGNAL_GAP_S:
            self._gap_began_at, self._gap_ended_at = self._ticked_at, now
        if gap_s > MIN_GAP_S:
            self._suspension_ended_at = now
        self._ticked_at = now

    def earliest_sent_at(self, now: float) -> float:
        """Return the earliest time at which a signal that arrives now was sent."""
        self.tick(now)
        if now - self._gap_ended_at < DELIVERY_S:
            return self._gap_began_at
        return now

    def was_suspended(self, now: float) -> bool:
        """Whether a peer may have lost contact because this process did not run."""
        self.tick(now)
        return now - self._suspension_ended_at < AFTERMATH_S
