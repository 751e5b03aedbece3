"""Division of the fleet's retry slack between its routers and the quota owner.

The users bound the retries of a service in any window by a ratio of its requests plus a
slack. Each router earns retries with its own requests and saves few of them, from an
empty start. The quota owner grants the rest of the slack to the routers that need it,
and so it does with the earned retries that routers could not save. So no process that
starts brings retries with it.
"""

from __future__ import annotations

import math

from attrs import evolve

from berylnotch.quota.bounds import EffectiveLimit
from berylnotch.quota.bucket import Limit
from berylnotch.quota.owner import QuotaOwner
from berylnotch.quota.pooled_bucket import PooledBucket
from berylnotch.quota.settings import QuotaSettings
from berylnotch.settings.fleet import FleetBounds

#: Fraction of the slack that is used. The rest covers retries that arrive in a later
#: window than the one that they were charged in.
USED_FRACTION = 0.9

#: Fraction of the slack that all routers together save at most.
SAVED_FRACTION = 0.2

#: Fraction of the slack that the owner's pool of idle earned retries holds at most. The
#: retries in the pool may be used in a later window than the requests that earned them.
POOLED_FRACTION = 0.2

#: Smallest number of retries that a router can save. With less than one, it could make
#: no retry without the quota owner.
MIN_SAVED_RETRIES = 1.0

#: Seconds by which a retry may arrive at its target later than it was charged.
ARRIVAL_DELAY_S = 1.0

#: Quota settings for retries. One token is one retry, and the name of the service takes
#: the place of the organisation. A router that gets no token at once asks again after
#: the time that the owner gives, and refuses meanwhile.
RETRY_QUOTA = QuotaSettings(
    lifetime_s=2.0,
    ask_interval_s=0.1,
    min_ask_gap_s=0.005,
    horizon_s=0.5,
    demand_window_s=2.0,
    wait_s=0.0,
    grace_s=0.0,
    takeover_part=0.0,
    reserved_part=0.25,
    refused_leave=True,
)


def saved_retries(bounds: FleetBounds, router_count: int) -> float:
    """Return the number of earned retries that one router may save for a service."""
    share = SAVED_FRACTION * bounds.retry_slack / router_count
    return max(MIN_SAVED_RETRIES, share)


def retry_limit(bounds: FleetBounds, router_count: int) -> EffectiveLimit | None:
    """Return the retries of a service that the owner grants in any window, if any.

    Parameters
    ----------
    bounds : FleetBounds
        Limits of the fleet.
    router_count : int
        Largest number of routers that may have saved retries.
    """
    saved = router_count * saved_retries(bounds, router_count)
    granted = USED_FRACTION * bounds.retry_slack - saved - _pool_capacity(bounds)
    if granted < 1:
        return None
    return EffectiveLimit(granted / _window_s(bounds), granted)


def new_retry_owner(
    bounds: FleetBounds, term: int, now: float, is_first: bool
) -> QuotaOwner:
    """Return the owner of the granted retries of all services.

    What an earlier owner granted is unknown, so the owner grants nothing of the slack
    until the window contains none of it, unless it is the first owner of its group. Its
    pool of idle earned retries starts empty.
    """

    def new_bucket(limit: Limit, steady_from: float) -> PooledBucket:
        known_from = -math.inf if is_first else steady_from
        capacity = _pool_capacity(bounds)
        return PooledBucket(limit.burst, _window_s(bounds), capacity, known_from)

    # The whole limit is taken over at once where there are no earlier grants.
    settings = evolve(RETRY_QUOTA, takeover_part=1.0) if is_first else RETRY_QUOTA
    return QuotaOwner(settings, term, now, new_bucket)


def _pool_capacity(bounds: FleetBounds) -> float:
    return POOLED_FRACTION * bounds.retry_slack


def _window_s(bounds: FleetBounds) -> float:
    return bounds.retry_window_s + ARRIVAL_DELAY_S
