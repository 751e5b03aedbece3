"""Settings of the organisations' limits."""

from __future__ import annotations

from attrs import field, frozen
from attrs.validators import ge, gt, lt


@frozen
class QuotaSettings:
    """How tokens are lent to routers.

    Parameters
    ----------
    lifetime_s : float, default=2.0
        Lifetime of a grant, counted by the router from when it sent the
        request. Longer bridges longer gaps in contact with the owner; a new
        owner grants nothing for this long.
    drift : float, default=0.01
        Largest relative difference in speed between two VMs' monotonic clocks;
        the owner waits longer than the routers by this fraction.
    ask_interval_s : float, default=0.2
        Time between two requests of a router, while no request waits.
    min_ask_gap_s : float, default=0.05
        Shortest time between two requests, also when a request waits. Longer
        gathers more organisations in one message and delays first tokens.
    reply_timeout_s : float, default=0.5
        Time after which a request to the owner is given up and sent anew.
    horizon_s : float, default=0.6
        Time for which a router holds tokens in advance, at its present use.
        Longer saves messages and leaves less for other routers.
    demand_window_s : float, default=3.0
        Time constant of the average use from which a router foresees demand.
    wait_s : float, default=5.0
        Longest wait for tokens that an organisation is expected to bear. The
        owner lets an organisation be refused only beyond it.
    grace_s : float, default=15.0
        Time after a change of owner in which no organisation is refused for
        lack of tokens, since the new owner cannot know its earlier use.
    usage_window_s : float, default=60.0
        Time constant of the average use behind the priority.
    takeover_part : float, default=0.0
        Part of the burst that a new owner lends at once. With 0 it waits until the
        grants of an earlier owner are over; else a window with a change of owner
        may be charged so much more.
    reserved_part : float, default=0.5
        Part of the burst that is lent only to routers whose work waits for it. A
        new owner's `takeover_part` must exceed it, or routers get nothing in
        advance from it until the bucket has refilled.
    refused_leave : bool, default=False
        Whether routers refuse all work that waits when they are told when to come
        back, so that the owner keeps nothing back for it.
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
        """Time after an answer until its tokens cannot be charged any more."""
        return self.lifetime_s * (1 + self.drift)
