"""Settings of the organisations' limits."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt, lt


@frozen
class QuotaSettings:
    """Settings for granting tokens to routers.

    Parameters
    ----------
    lifetime_s : float, default=2.0
        Lifetime of a grant in seconds, counted by the router from the time at which
        it sent the request. With a longer lifetime, routers can charge tokens during
        longer interruptions of the connection to the owner, but a new owner grants no
        tokens for this time.
    drift : float, default=0.01
        Largest relative difference in speed between two VMs' monotonic clocks. The
        owner extends the lifetime by this fraction.
    ask_interval_s : float, default=0.2
        Time in seconds between two requests of a router while no work waits.
    min_ask_gap_s : float, default=0.05
        Shortest time in seconds between two requests, even while work waits. A
        longer time batches more organisations in one message and increases the time
        to first token.
    reply_timeout_s : float, default=0.5
        Time in seconds after which a request to the owner is abandoned and a new one
        is sent.
    horizon_s : float, default=0.6
        Time in seconds for which a router holds tokens in advance, at its present
        rate of use. A longer time saves messages and leaves fewer tokens for other
        routers.
    demand_window_s : float, default=3.0
        Time constant, in seconds, of the average use from which a router predicts
        demand.
    wait_s : float, default=5.0
        Longest acceptable wait for tokens, in seconds. The owner gives a retry-after
        time only if the expected wait is longer.
    grace_s : float, default=15.0
        Time in seconds after a change of owner in which no organisation is refused
        for lack of tokens, because the new owner does not know its earlier use.
    usage_window_s : float, default=60.0
        Time constant, in seconds, of the average use that determines the priority.
    takeover_part : float, default=0.0
        Fraction of the burst that a new owner grants at once. With 0, the new owner
        waits until the grants of the previous owner have expired. Otherwise, charges
        in a window with a change of owner may be higher by this fraction of the
        burst.
    reserved_part : float, default=0.5
        Fraction of the burst that is granted only to routers with waiting work. The
        `takeover_part` of a new owner must exceed it; otherwise routers get no tokens
        in advance until the bucket has refilled.
    refused_leave : bool, default=False
        Whether routers refuse all waiting work when the owner gives a retry-after
        time, so that the owner reserves no tokens for it.
    """

    lifetime_s: float = field(default=2.0, validator=gt(0))
    drift: float = field(default=0.01, validator=ge(0))
    ask_interval_s: float = field(default=0.2, validator=gt(0))
    min_ask_gap_s: float = field(default=0.05, validator=ge(0))
    reply_timeout_s: float = field(default=0.5, validator=gt(0))
    horizon_s: float = field(default=0.6, validator=gt(0))
    demand_window_s: float = field(default=3.0, validator=gt(0))
    wait_s: float = field(default=5.0, validator=ge(0))
    grace_s: float = field(default=15.0, validator=ge(0))
    usage_window_s: float = field(default=60.0, validator=gt(0))
    takeover_part: float = field(default=0.0, validator=ge(0))
    reserved_part: float = field(default=0.5, validator=[ge(0), lt(1)])
    refused_leave: bool = False

    @property
    def owner_lifetime_s(self) -> float:
        """Time in seconds after a reply until its tokens can no longer be charged."""
        return self.lifetime_s * (1 + self.drift)
