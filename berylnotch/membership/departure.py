"""Times of a planned stop of a process that serves requests."""

from __future__ import annotations

from attrs import frozen


@frozen
class StopSchedule:
    """Times of one planned stop, in seconds since the VM started.

    Parameters
    ----------
    began_at : float
        Time of the signal.
    exit_by : float
        Time at which the process is killed if it has not ended.
    """

    began_at: float
    exit_by: float
