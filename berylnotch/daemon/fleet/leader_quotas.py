"""Limits that the leader divides among the routers."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.daemon.fleet.idle_retries import IdleRetryCounter
from berylnotch.group.messages import RetryReply, RouterReport, TokenReply
from berylnotch.quota.messages import GrantRequest
from berylnotch.quota.owner import QuotaOwner
from berylnotch.quota.retries import new_retry_owner, retry_limit
from berylnotch.quota.target_limits import TARGET_QUOTA, enforced_limit
from berylnotch.settings.fleet import FleetBounds
from berylnotch.transport.link import Link
from berylnotch.util.clock import boot_time


class LeaderQuotas:
    """Grants tokens of targets, and retries, to routers.

    Parameters
    ----------
    bounds : FleetBounds
        Limits of the fleet.
    term : int
        Term of the leader.
    is_first : bool
        Whether no router of the group has served a request yet.
    router_count : callable
        Returns the largest number of routers that reported of late.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        term: int,
        is_first: bool,
        router_count: Callable[[], int],
    ) -> None:
        self._bounds = bounds
        self._router_count = router_count
        self._target_tokens = QuotaOwner(TARGET_QUOTA, term, boot_time())
        self._retries = new_retry_owner(bounds, term, boot_time(), is_first)
        self._idle_retries = IdleRetryCounter()

    def answer_token_request(
        self, link: Link, request: GrantRequest, limits: dict[str, float]
    ) -> None:
        """Answer a router's request for tokens of targets with announced limits."""
        enforced = {target_id: enforced_limit(n) for target_id, n in limits.items()}
        grants = self._target_tokens.grant(boot_time(), request, enforced)
        link.send(TokenReply(grants))

    def answer_retry_request(self, link: Link, request: GrantRequest) -> None:
        """Answer a router's request for retries."""
        limit = retry_limit(self._bounds, self._router_count())
        # Requests keep their service, also if a later configuration lacks it.
        services = {ask.organisation for ask in request.asks}
        limits = dict.fromkeys(services, limit) if limit is not None else {}
        link.send(RetryReply(self._retries.grant(boot_time(), request, limits)))

    def pool_idle_retries(self, report: RouterReport) -> None:
        """Grant other routers the retries that a router has earned and cannot save."""
        limit = retry_limit(self._bounds, self._router_count())
        if limit is None:
            return
        for service, count in self._idle_retries.added(report).items():
            self._retries.add(boot_time(), service, limit, count)
