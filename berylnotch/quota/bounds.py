"""Limits of organisations within the bounds that the operators allow."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from berylnotch.quota.settings import QuotaSettings
from berylnotch.routing.model import Organisation
from berylnotch.settings.fleet import FleetBounds

#: Part of the tolerated slack that is added to the burst; the rest covers the
#: tokens that a new owner lends before it knows what the earlier one lent.
SLACK_PART = 0.4

#: Lending in a fleet: grants outlast a change of leader, and a new owner lends a
#: part of the burst at once instead of waiting for earlier grants to end.
FLEET_QUOTA = QuotaSettings(
    lifetime_s=6.0,
    ask_interval_s=0.25,
    min_ask_gap_s=0.005,
    horizon_s=2.0,
    wait_s=0.3,
    grace_s=0.0,
    takeover_part=0.35,
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
    and the slack, so that as little as possible is refused that is allowed.
    """
    factor = 1 + bounds.quota_overshoot
    return {
        organisation.name: EffectiveLimit(
            organisation.rate * factor,
            organisation.burst * factor + bounds.quota_slack * SLACK_PART,
        )
        for organisation in organisations
        if organisation.rate > 0
    }


def is_limited(organisation: Organisation | None) -> bool:
    """Whether requests of an organisation are charged."""
    return organisation is not None and organisation.rate > 0

