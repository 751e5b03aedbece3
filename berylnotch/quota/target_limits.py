"""Enforced limits of targets, derived from the limits that they announce."""

from __future__ import annotations

from berylnotch.quota.bounds import EffectiveLimit
from berylnotch.quota.settings import QuotaSettings

#: Seconds of a target's rate that routers may send at once, and requests in addition.
#: A target accepts one and a half times its limit over 4 s and five requests more,
#: which is its rate for 2 s and five requests above the limit. Half of this headroom is
#: used. The rest covers the tokens that a new owner grants at once, requests that are
#: delayed on their way, and those that routers send without an owner.
BURST_S = 1.0
BURST_REQUESTS = 1.0

#: Lowest enforced rate in requests per second. Only an answer shows that a target has
#: ended its limit, so a target with a limit of 0 gets a request now and then.
MIN_RATE_PER_S = 0.2

#: Quota settings for the limits of targets. One token is one request, and the identity
#: of the target takes the place of the organisation. The short lifetime returns unused
#: tokens to other routers. A new owner grants half of a burst at once, so that even two
#: changes of owner within 4 s stay within the headroom.
TARGET_QUOTA = QuotaSettings(
    lifetime_s=1.0,
    ask_interval_s=0.15,
    min_ask_gap_s=0.02,
    horizon_s=0.8,
    demand_window_s=2.0,
    wait_s=0.3,
    grace_s=0.0,
    takeover_part=0.5,
    reserved_part=0.25,
    refused_leave=True,
)


def enforced_limit(limit_per_s: float) -> EffectiveLimit:
    """Return the rate and burst that enforce an announced limit."""
    rate = max(MIN_RATE_PER_S, limit_per_s)
    return EffectiveLimit(rate, BURST_REQUESTS + BURST_S * rate)
