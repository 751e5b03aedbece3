"""Provides the settings of a router's request path."""

from __future__ import annotations

from attrs import field, frozen

from berylnotch.membership.settings import MembershipSettings


@frozen
class EntrySettings:
    """Time limits and other settings of the request path; times are in seconds.

    Parameters
    ----------
    connect_s : float, default=0.35
        Connection timeout, about a hundred times the usual duration.
    dead_target_s : float, default=1.2
        Time without a TCP acknowledgement from a target after which its connections
        are closed.
    max_idle_s : float, default=8.0
        Longest idle time of a kept connection that is reused for a repeatable request.
    max_idle_unrepeatable_s : float, default=1.0
        Longest idle time of a kept connection that is reused for a request that must
        not be repeated.
    keep_alive_margin_s : float, default=1.0
        Time before a target's announced keep-alive timeout at which its connection is
        not reused any more.
    max_idle_connections : int, default=8
        Largest number of kept connections to one target.
    deadline_grace_s : float, default=0.08
        Time beyond a request's deadline in which the target's own answer may arrive.
    max_sends : int, default=4
        Largest number of targets that one request is sent to, including those that
        refuse to run it.
    retry_after_s : float, default=0.5
        Retry time for a refused caller if no better estimate exists.
    grant_retry_s : float, default=1.0
        Retry time for a caller whose request was refused because the quota owner
        granted no tokens in time, for instance during a change of leader. A usual
        change takes about 1.5 s in all, and the retry time covers the rest of it.
    weights_margin_s : float, default=1.0
        Time before the operators' limit for outdated weights from which no request is
        sent to an engine with such weights.
    fresh_weights_s : float, default=1.2
        Time after the announcement of a newer weights version during which older
        weights have no extra cost.
    quota_wait_s : float, default=0.45
        Longest wait for tokens of an organisation's limit.
    resumption_wait_s : float, default=1.0
        Longest wait for tokens of a request that resumes a stream. It also waits while
        the organisation is over its limit.
    version_wait_s : float, default=0.45
        Longest wait for the leader's reply on the software version of a stream.
    slow_factor : float, default=2.5
        Multiple of a route's target latency after which a repeatable request
        without an answer goes to another target. Callers abandon a stream at four
        times the target latency.
    stall_s : float, default=2.0
        Time without an event after which a resumable stream resumes at another target.
    weights_load_s : float, default=2.2
        Time that an engine usually takes to load weights.
    max_routers_unsampled : int, default=12
        Largest number of routers with which each router compares all targets. With more
        routers, each compares a sample. This many routers send about one request each
        while a load report is in transit; if more routers compared all targets by
        the same old reports, they would choose the same best target.
    sample_size : int, default=3
        Number of targets in the sample that a router compares. Two random choices give
        most of the benefit by the usual analysis ("power of two choices"); the third
        allows for an engine with an empty cache.
    membership : MembershipSettings
        Limits at which a failing target is ejected.
    """

    connect_s: float = 0.35
    dead_target_s: float = 1.2
    max_idle_s: float = 8.0
    max_idle_unrepeatable_s: float = 1.0
    keep_alive_margin_s: float = 1.0
    max_idle_connections: int = 8
    deadline_grace_s: float = 0.08
    max_sends: int = 4
    retry_after_s: float = 0.5
    grant_retry_s: float = 1.0
    weights_margin_s: float = 1.0
    fresh_weights_s: float = 1.2
    quota_wait_s: float = 0.45
    resumption_wait_s: float = 1.0
    version_wait_s: float = 0.45
    slow_factor: float = 2.5
    stall_s: float = 2.0
    weights_load_s: float = 2.2
    max_routers_unsampled: int = 12
    sample_size: int = 3
    membership: MembershipSettings = field(
        factory=lambda: MembershipSettings(
            eject_after=2,
            eject_s=0.5,
            eject_max_s=4.0,
            crash_limit=3,
            max_suspicions=16384,
        )
    )
