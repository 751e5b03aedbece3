"""Settings of membership."""

from __future__ import annotations

from attrs import frozen


@frozen
class MembershipSettings:
    """How targets are judged and callers are led to VMs.

    Parameters
    ----------
    eject_after : int, default=3
        Failures in a row after which a target is left out.
    eject_s : float, default=2.0
        Time until an ejected target is probed; doubles with each failed probe.
    eject_max_s : float, default=30.0
        Longest time between two probes.
    eject_share : float, default=0.5
        Largest share of a service's targets that is left out at once.
    report_max_age_s : float, default=10.0
        Age at which a load report is ignored.
    answer_vms : int, default=3
        Addresses in one address answer. More spread an organisation over more
        routers, and its grants with it.
    crash_limit : int, default=2
        Engines lost with the same request before it is refused.
    crash_keep_s : float, default=3600.0
        How long a suspicion is remembered.
    crash_max : int, default=4096
        Suspicions remembered at once.
    """

    eject_after: int = 3
    eject_s: float = 2.0
    eject_max_s: float = 30.0
    eject_share: float = 0.5
    report_max_age_s: float = 10.0
    answer_vms: int = 3
    crash_limit: int = 2
    crash_keep_s: float = 3600.0
    crash_max: int = 4096
