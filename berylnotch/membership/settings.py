"""Settings of target ejection, load reports, address answers and crash detection."""

from __future__ import annotations

from attrs import frozen


@frozen
class MembershipSettings:
    """Settings of target ejection, load reports, address answers and crash detection.

    Parameters
    ----------
    eject_after : int, default=3
        Number of consecutive failures after which a target is ejected.
    eject_s : float, default=2.0
        Seconds until an ejected target is probed. The time doubles with each failed
        probe.
    eject_max_s : float, default=30.0
        Longest time between two probes in seconds.
    max_ejected_fraction : float, default=0.5
        Largest fraction of a service's targets that is ejected at once.
    report_max_age_s : float, default=10.0
        Age in seconds above which a load report is ignored.
    answer_vms : int, default=3
        Number of addresses in one address answer. A higher number spreads an
        organisation's requests, and so its token grants, over more routers.
    crash_limit : int, default=2
        Number of engines that are lost with the same request before the request is
        refused.
    crash_retention_s : float, default=3600.0
        Seconds for which a suspicion is kept after the latest loss of a target.
    max_suspicions : int, default=4096
        Largest number of suspicions that are kept.
    """

    eject_after: int = 3
    eject_s: float = 2.0
    eject_max_s: float = 30.0
    max_ejected_fraction: float = 0.5
    report_max_age_s: float = 10.0
    answer_vms: int = 3
    crash_limit: int = 2
    crash_retention_s: float = 3600.0
    max_suspicions: int = 4096
