"""Settings of a router's request path."""

from __future__ import annotations

from attrs import field, frozen

from berylnotch.membership.settings import MembershipSettings


@frozen
class EntrySettings:
    """Time limits and weights of the request path; times in seconds.

    Parameters
    ----------
    connect_s : float, default=0.35
        Longest wait for a connection; some hundred times what it usually takes.
    dead_target_s : float, default=1.2
        Silence of a target's kernel after which its connections are given up.
    reuse_s : float, default=8.0
        Longest idle time of a kept connection that gets a repeatable request.
    reuse_unrepeatable_s : float, default=1.0
        The same for a request that may not be repeated.
    keep_alive_margin_s : float, default=1.0
        Time by which a connection is given up before its target closes it.
    max_idle : int, default=8
        Kept connections to one target.
    deadline_grace_s : float, default=0.08
        Time beyond a request's deadline for the target's own answer to arrive.
    max_sends : int, default=4
        Targets that one request is sent to, with those that refused to run it.
    retry_part : float, default=0.8
        Part of the fleet's retry budget that routers use; the rest is for what
        they do not know of each other.
    retry_after_s : float, default=0.5
        When a refused caller shall come back if nothing better is known.
    grant_retry_s : float, default=1.0
        When a caller for whom no tokens came shall come back: what is then left of a
        usual change of leader, which takes about 1.5 s in all.
    weights_margin_s : float, default=1.0
        Time before the operators' bound on older weights from which no request is
        sent to an engine that runs them.
    fresh_weights_s : float, default=1.2
        Time after new weights were named in which older ones are as good.
    quota_wait_s : float, default=0.45
        Longest wait for tokens of an organisation's limit.
    slow_factor : float, default=2.5
        Multiple of a route's target latency after which a repeatable request
        without an answer goes to another target; callers wait four times as long.
    stall_s : float, default=2.0
        Pause in a resumable stream after which it goes on at another target.
    load_s : float, default=2.2
        Time that an engine usually takes to load weights.
    crowd_routers : int, default=12
        Routers beyond which each compares only a sample of the targets; that many
        send about one request each while a load report is under way.
    sample : int, default=3
        Size of that sample. Two make the difference, by the usual analysis of
        random choices; one more allows for a cold one.
    membership : MembershipSettings
        When a target that fails is left out.
    """

    connect_s: float = 0.35
    dead_target_s: float = 1.2
    reuse_s: float = 8.0
    reuse_unrepeatable_s: float = 1.0
    keep_alive_margin_s: float = 1.0
    max_idle: int = 8
    deadline_grace_s: float = 0.08
    max_sends: int = 4
    retry_part: float = 0.8
    retry_after_s: float = 0.5
    grant_retry_s: float = 1.0
    weights_margin_s: float = 1.0
    fresh_weights_s: float = 1.2
    quota_wait_s: float = 0.45
    slow_factor: float = 2.5
    stall_s: float = 2.0
    load_s: float = 2.2
    crowd_routers: int = 12
    sample: int = 3
    membership: MembershipSettings = field(
        factory=lambda: MembershipSettings(
            eject_after=2, eject_s=0.5, eject_max_s=4.0, crash_limit=3
        )
    )
