"""Settings of admission."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt


@frozen
class AdmissionSettings:
    """Bounds of the queue.

    Parameters
    ----------
    max_tickets : int, default=1024
        Most requests that wait in one router. More costs memory and lets
        callers wait for what cannot be served in time.
    free_fraction : float, default=1.0
        An organisation may hold at most this times the places that are still
        free, so that others always find some.
    max_wait_s : float, default=5.0
        A request whose expected wait is longer is refused at once.
    rate_window_s : float, default=2.0
        Time constant of the average service rate.
    recheck_s : float, default=0.1
        Time for which an organisation is set aside whose oldest request did
        not fit, unless it is woken. Longer saves processor time.
    """

    max_tickets: int = field(default=1024, validator=gt(0))
    free_fraction: float = field(default=1.0, validator=gt(0))
    max_wait_s: float = field(default=5.0, validator=ge(0))
    rate_window_s: float = field(default=2.0, validator=gt(0))
    recheck_s: float = field(default=0.1, validator=gt(0))
