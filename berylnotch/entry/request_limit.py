"""Provides the limit of one target's requests at one router."""

from __future__ import annotations

import math

from attrs import define

from berylnotch.quota.local import LocalQuota
from berylnotch.quota.target_limits import enforced_limit

#: Fraction of its even share of a limit that a router uses while it has no quota owner.
#: The owner may still grant the whole limit to the routers that it reaches, so that all
#: routers together send at most one and a half times the limit.
UNCOORDINATED_FRACTION = 0.5

#: Usual time in seconds until the quota owner answers.
OWNER_REPLY_S = 0.05


@define(eq=False)
class RequestLimit:
    """Requests that this router may send to a target that limits them.

    Parameters
    ----------
    target_id : str
        Identity of the target.
    per_s : float
        Requests per second that the target accepts from all routers together.
    quota : LocalQuota
        Tokens that the quota owner granted to this router for all targets.
    share_interval_s : float
        Interval in seconds between two requests without a token.
    share_at : float
        Boot time from which one request may be sent without a token. It is infinite
        while the quota owner answers.
    """

    target_id: str
    per_s: float
    quota: LocalQuota
    share_interval_s: float = math.inf
    share_at: float = math.inf

    def has_room(self, now: float) -> bool:
        """Return whether a request may be sent to the target."""
        return self.quota.balance(now, self.target_id) >= 1 or now >= self.share_at

    def available_at(self, now: float) -> float:
        """Return the earliest known boot time at which a request may be sent."""
        if self.has_room(now):
            return now
        if self.share_at < math.inf:
            return self.share_at
        retry_s = self.quota.retry_after_ms(self.target_id) / 1000
        return now + (retry_s or OWNER_REPLY_S)

    def take(self, now: float) -> None:
        """Charge a request that is sent to the target."""
        if not self.quota.charge(now, self.target_id, 1) and now >= self.share_at:
            self.share_at = now + self.share_interval_s

    def begin_share(self, now: float, router_count: int, phase: float) -> None:
        """Allow requests without a token, the first after a part of the interval.

        Parameters
        ----------
        now : float
            Boot time in seconds.
        router_count : int
            Number of routers among which the limit is divided.
        phase : float
            Part of the interval, between 0 and 1. It differs between routers, so that
            they do not all send at the same moment.
        """
        rate = enforced_limit(self.per_s).rate * UNCOORDINATED_FRACTION
        self.share_interval_s = router_count / rate
        self.share_at = now + phase * self.share_interval_s

    def end_share(self) -> None:
        """Require a token for each request again."""
        self.share_at = math.inf
