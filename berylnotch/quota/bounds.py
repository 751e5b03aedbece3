"""Enforced limits of organisations, derived from the operators' bounds."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from berylnotch.quota.settings import QuotaSettings
from berylnotch.routing.model import Organisation
from berylnotch.settings.fleet import FleetBounds

#: Fraction of the headroom above the rate that is granted. The rest covers the tokens
#: that new owners grant before they know the grants of earlier owners.
GRANTED_FRACTION = 0.7

#: Fraction of an organisation's burst that the routers may hold in advance, so that
#: they continue to serve while there is no owner.
HELD_SHARE = 0.45

#: Fraction of the burst that all owners within a window together grant without waiting
#: until earlier grants expire; `berylnotch.quota.takeover` gives each its share. It is
#: the rest of the headroom that `GRANTED_FRACTION` leaves, expressed as a fraction of
#: the burst.
TAKEOVER_FRACTION = (1 - GRANTED_FRACTION) / GRANTED_FRACTION

#: Fraction of the bucket's capacity that is granted only to waiting work. It is below
#: what a new owner grants at once, so that routers can hold tokens in advance from the
#: new owner's first reply on.
RESERVED_FRACTION = TAKEOVER_FRACTION / 2

#: Quota settings of a fleet. The lifetime of a grant is longer than a change of leader
#: takes.
FLEET_QUOTA = QuotaSettings(
    lifetime_s=7.0,
    ask_interval_s=0.25,
    min_ask_gap_s=0.005,
    horizon_s=3.0,
    wait_s=0.3,
    grace_s=0.0,
    takeover_part=TAKEOVER_FRACTION,
    reserved_part=RESERVED_FRACTION,
    refused_leave=True,
)


@frozen
class EffectiveLimit:
    """Enforced rate in tokens per second and burst in tokens.

    ``share`` is the weight of the organisation.
    """

    rate: float
    burst: float
    share: float = 1.0


def effective_limits(
    organisations: Iterable[Organisation], bounds: FleetBounds
) -> dict[str, EffectiveLimit]:
    """Return the enforced limit of each organisation that has a rate limit.

    The tokens charged in any window stay below rate x window plus burst, increased
    by the overshoot and the slack of ``bounds``. All the headroom above the rate goes
    into the burst, so that as few permitted requests as possible are refused.
    """
    overshoot_factor = 1 + bounds.quota_overshoot
    limits = {}
    for organisation in organisations:
        if organisation.rate > 0:
            refill_tokens = organisation.rate * bounds.quota_window_s
            max_tokens = (
                refill_tokens + organisation.burst
            ) * overshoot_factor + bounds.quota_slack
            burst = (max_tokens - refill_tokens) * GRANTED_FRACTION
            limits[organisation.name] = EffectiveLimit(organisation.rate, burst)
    return limits


def is_limited(organisation: Organisation | None) -> bool:
    """Return whether requests of an organisation are charged."""
    return organisation is not None and organisation.rate > 0
