"""Owner of all organisations' token buckets, run by the leader of the controllers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

from berylnotch.quota.account import Account
from berylnotch.quota.bucket import Bucket
from berylnotch.quota.messages import Grant, GrantReply
from berylnotch.quota.usage import BEST_PRIORITY, UsageAverage, usage_priority
from berylnotch.quota.waiting import WaitQueue
from berylnotch.quota.window_bucket import WindowBucket

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from berylnotch.quota.bucket import Limit
    from berylnotch.quota.messages import GrantRequest, QuotaAsk
    from berylnotch.quota.settings import QuotaSettings
    from berylnotch.quota.takeover import Takeover

#: Interval of the sweep over all organisations and routers, in seconds.
SWEEP_INTERVAL_S = 1.0

#: Retention time of a router's sequence number after the router's last request, in
#: seconds.
ROUTER_RETENTION_S = 600.0


@define
class _RouterState:
    sequence: int
    last_request_at: float


class QuotaOwner:
    """Grants tokens from the organisations' buckets to routers.

    Only the leader runs the owner, and only while it holds the lease. Unless
    ``takeover_part`` is positive, the owner starts with empty buckets and refills
    none until the grants of the previous owner have expired.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes of grants and waiting times.
    term : int
        Term of the leader.
    now : float
        Monotonic time, not earlier than the end of the previous leader's lease.
    new_bucket : callable, optional
        Returns the bucket of a limit, from the limit and `steady_from`. By default, it
        is a token bucket.
    takeover : Takeover, optional
        Knowledge about the grants of earlier owners. Without it, the owner grants the
        whole ``takeover_part`` at once.
    """

    def __init__(
        self,
        settings: QuotaSettings,
        term: int,
        now: float,
        new_bucket: Callable[[Limit, float], Bucket | WindowBucket] | None = None,
        takeover: Takeover | None = None,
    ) -> None:
        self._settings = settings
        self._new_bucket = new_bucket or self._new_token_bucket
        self._takeover = takeover
        self._term = term
        self._started_at = now
        self._now = now
        waits_for_expiry = not settings.takeover_part
        self._steady_from = now + (
            settings.owner_lifetime_s if waits_for_expiry else 0.0
        )
        self._accounts: dict[str, Account] = {}
        self._routers: dict[str, _RouterState] = {}
        self._total_use = UsageAverage(settings.usage_window_s, now)
        self._total_share = 0.0
        self._swept_at = -math.inf

    @property
    def term(self) -> int:
        """Term of the leader that owns the buckets."""
        return self._term

    @property
    def steady_from(self) -> float:
        """Monotonic time from which the owner grants tokens, in seconds.

        Without a ``takeover_part``, this is the time at which the grants of the
        previous owner have expired.
        """
        return self._steady_from

    def grant(
        self, now: float, request: GrantRequest, organisations: Mapping[str, Limit]
    ) -> GrantReply:
        """Answer a router's request.

        Parameters
        ----------
        now : float
            Monotonic time at which the lease was held, read after the request
            was received.
        request : GrantRequest
            Tokens that the router holds, has spent and wants.
        organisations : Mapping[str, Limit]
            Enforced limits by name. Other organisations get no grant.

        Returns
        -------
        reply : GrantReply
            One grant for each ask. The reply has no grants if the request is
            repeated or arrives after a newer one of the same router, because the router
            discards that reply. The reply also has no grants until `steady_from`, so
            that routers keep the tokens of the previous owner until these expire.
        """
        self._now = max(self._now, now)
        router = f"{request.vm}/{request.incarnation}"
        is_newer = self._record_sequence(router, request.sequence)
        if not is_newer or self._now < self._steady_from:
            return GrantReply(self._term, request.sequence)
        self._sweep(organisations)
        self._record_reports(router, request, organisations)
        grants = tuple(
            self._grant_ask(router, ask)
            for ask in request.asks
            if ask.organisation in organisations
        )
        return GrantReply(self._term, request.sequence, grants)

    def add(self, now: float, name: str, limit: Limit, tokens: float) -> None:
        """Add tokens to the pool of an organisation's bucket.

        The buckets of this owner must have a pool.
        """
        self._now = max(self._now, now)
        self._get_account(name, limit).bucket.add(tokens)

    def level(self, now: float, name: str, limit: Limit | None = None) -> float:
        """Return the number of an organisation's tokens that may be granted.

        Without ``limit``, the level of an organisation is 0 until a router asks for
        its tokens.
        """
        self._now = max(self._now, now)
        account = self._accounts.get(name)
        if account is not None:
            account.bucket.advance(self._now)
            return account.bucket.level
        if limit is None:
            return 0.0
        refilled_s = max(0.0, self._now - self._steady_from)
        return min(limit.burst, limit.rate * refilled_s)

    def used_per_s(self, now: float, name: str) -> float:
        """Return an organisation's average use in tokens a second."""
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        return account.usage.per_s(now)

    def _record_sequence(self, router: str, sequence: int) -> bool:
        router_state = self._routers.get(router)
        if router_state is not None and sequence <= router_state.sequence:
            return False
        self._routers[router] = _RouterState(sequence, self._now)
        return True

    def _record_reports(
        self, router: str, request: GrantRequest, organisations: Mapping[str, Limit]
    ) -> None:
        """Record what a router holds and has spent."""
        takeover = self._takeover
        is_awaited = takeover is not None and takeover.is_awaited(self._now, request)
        for ask in request.asks:
            if ask.organisation not in organisations:
                continue
            account = self._get_account(
                ask.organisation, organisations[ask.organisation]
            )
            used_tokens = account.bucket.record_report(router, ask.held, ask.spent)
            account.usage.add(self._now, used_tokens)
            self._total_use.add(self._now, used_tokens)
            # The report of an awaited router will include all that it has charged.
            if takeover is not None and not is_awaited:
                takeover.add_charge(self._now, ask.organisation, used_tokens)
        has_joined = takeover is not None and request.joined_term == self._term
        if has_joined and takeover.join(self._now, request):
            self._follow_takeover(takeover, organisations)

    def _follow_takeover(
        self, takeover: Takeover, organisations: Mapping[str, Limit]
    ) -> None:
        """Raise the levels once the grants or the charges of all routers are known."""
        for account in self._accounts.values():
            account.bucket.cap_until(takeover.capped_until)
        if not takeover.try_settle(self._now):
            return
        rates = {name: limit.rate for name, limit in organisations.items()}
        deficits = takeover.deficits(self._now, rates)
        for name in sorted(deficits.keys() | self._accounts.keys()):
            if name in organisations:
                bucket = self._get_account(name, organisations[name]).bucket
                if not bucket.fill_up_to(bucket.burst - deficits.get(name, 0.0)):
                    takeover.is_headroom_used = True

    def _grant_ask(self, router: str, ask: QuotaAsk) -> Grant:
        account = self._accounts[ask.organisation]
        bucket = account.bucket
        tokens = account.grant_size(self._now, router, ask)
        expires_at = self._now + self._settings.owner_lifetime_s
        return Grant(
            organisation=ask.organisation,
            tokens=bucket.grant(router, tokens, expires_at),
            lifetime_ms=int(self._settings.lifetime_s * 1000),
            priority=self._priority(account),
            retry_after_ms=self._retry_after_ms(account, router),
        )

    def _get_account(self, name: str, limit: Limit) -> Account:
        account = self._accounts.get(name)
        if account is None:
            account = Account(
                self._new_bucket(limit, self._steady_from),
                UsageAverage(self._settings.usage_window_s, self._now),
                WaitQueue(self._settings.lifetime_s / 2),
                limit.share,
                self._settings,
            )
            self._accounts[name] = account
        account.bucket.advance(self._now)
        account.bucket.resize(limit.rate, limit.burst)
        account.waiting.expire(self._now)
        account.share = limit.share
        return account

    def _new_token_bucket(self, limit: Limit, steady_from: float) -> Bucket:
        level = limit.burst * self._settings.takeover_part
        takeover = self._takeover
        if takeover is None:
            return Bucket(limit.rate, limit.burst, steady_from, level)
        if takeover.settled_at is not None:
            # No router has charged tokens of this organisation recently.
            return Bucket(limit.rate, limit.burst, takeover.settled_at, limit.burst)
        cap = level * takeover.share
        return Bucket(
            limit.rate, limit.burst, steady_from, cap, takeover.capped_until, cap
        )

    def _retry_after_ms(self, account: Account, router: str) -> int:
        if self._now < self._started_at + self._settings.grace_s:
            return 0
        return account.retry_after_ms(router)

    def _priority(self, account: Account) -> int:
        if not self._total_share:
            return BEST_PRIORITY
        use = account.usage.per_s(self._now)
        total_use = self._total_use.per_s(self._now)
        return usage_priority(use, account.share, total_use, self._total_share)

    def _sweep(self, organisations: Mapping[str, Limit]) -> None:
        """Update the total share in use, and drop state that is no longer needed."""
        if self._now - self._swept_at < SWEEP_INTERVAL_S:
            return
        self._swept_at = self._now
        self._total_share = sum(
            account.share
            for account in self._accounts.values()
            if account.usage.per_s(self._now) >= 1
        )
        self._drop_removed_organisations(organisations)
        self._drop_inactive_routers()

    def _drop_removed_organisations(self, organisations: Mapping[str, Limit]) -> None:
        removed = [name for name in self._accounts if name not in organisations]
        for name in removed:
            bucket = self._accounts[name].bucket
            bucket.advance(self._now)
            if bucket.is_idle:
                del self._accounts[name]

    def _drop_inactive_routers(self) -> None:
        oldest_kept_at = self._now - ROUTER_RETENTION_S
        inactive = [
            name
            for name, router in self._routers.items()
            if router.last_request_at < oldest_kept_at
        ]
        for name in inactive:
            del self._routers[name]
