"""Limits of organisations within the bounds that the operators allow."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from berylnotch.quota.settings import QuotaSettings
from berylnotch.routing.model import Organisation
from berylnotch.settings.fleet import FleetBounds

#: Part of the room above the rate that is lent; the rest covers the tokens that a
#: new owner lends before it knows what the earlier one lent.
LENT_PART = 0.7

#: Part of an organisation's burst that the routers may hold for use to come, so
#: that they serve on while there is no owner.
HELD_SHARE = 0.45

#: Part of the burst that a new owner lends at once, instead of waiting for earlier
#: grants to end: the rest that `LENT_PART` leaves.
TAKEOVER_PART = (1 - LENT_PART) / LENT_PART

#: Part of the burst that is lent only to work that waits: half of what a new owner
#: lends at once, so that routers can hold tokens in advance from its first answer on.
RESERVED_PART = TAKEOVER_PART / 2

#: Lending in a fleet: grants outlast a change of leader.
FLEET_QUOTA = QuotaSettings(
    lifetime_s=7.0,
    ask_interval_s=0.25,
    min_ask_gap_s=0.005,
    horizon_s=3.0,
    wait_s=0.3,
    grace_s=0.0,
    takeover_part=TAKEOVER_PART,
    reserved_part=RESERVED_PART,
    refused_leave=True,
)


@frozen
class EffectiveLimit:
    """Rate and burst that are enforced, in tokens."""

    rate: float
    burst: float
    share: float = 1.0


def effective_limits(
    organisations: Iterable[Organisation], bounds: FleetBounds
) -> dict[str, EffectiveLimit]:
    """Return what is enforced for each organisation with a limit.

    What is charged in any window stays below rate and burst with the overshoot
    and the slack. All the room above the rate goes into the burst, so that as
    little as possible is refused that is allowed.
    """
    factor = 1 + bounds.quota_overshoot
    limits = {}
    for organisation in organisations:
        if organisation.rate > 0:
            in_window = organisation.rate * bounds.quota_window_s
            room = (in_window + organisation.burst) * factor + bounds.quota_slack
            burst = (room - in_window) * LENT_PART
            limits[organisation.name] = EffectiveLimit(organisation.rate, burst)
    return limits


def is_limited(organisation: Organisation | None) -> bool:
    """Whether requests of an organisation are charged."""
    return organisation is not None and organisation.rate > 0
