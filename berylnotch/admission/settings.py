"""Settings of the admission queue."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt


@frozen
class AdmissionSettings:
    """Bounds of the admission queue of a router.

    Parameters
    ----------
    max_tickets : int, default=1024
        Largest number of requests that wait in one router. A larger queue costs
        memory and holds requests that cannot be served in time.
    free_fraction : float, default=1.0
        An organisation may occupy at most this multiple of the queue's free places,
        so that other organisations always find free places.
    max_wait_s : float, default=5.0
        Longest expected wait in seconds; a request that would wait longer is
        refused at once.
    rate_window_s : float, default=2.0
        Time constant of the average service rate, in seconds.
    recheck_s : float, default=0.1
        Time in seconds for which an organisation is deferred if capacity or tokens
        are insufficient for its oldest request, unless they become available
        earlier. A longer deferral saves CPU time.
    """

    max_tickets: int = field(default=1024, validator=gt(0))
    free_fraction: float = field(default=1.0, validator=gt(0))
    max_wait_s: float = field(default=5.0, validator=ge(0))
    rate_window_s: float = field(default=2.0, validator=gt(0))
    recheck_s: float = field(default=0.1, validator=gt(0))
