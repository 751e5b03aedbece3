"""Owner of all organisations' buckets, run by the leading controller."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

from berylnotch.control.protocol import Grant, GrantReply
from berylnotch.quota.bucket import Bucket
from berylnotch.quota.usage import BEST_PRIORITY, UsageAverage, usage_priority

if TYPE_CHECKING:
    from collections.abc import Mapping

    from berylnotch.control.protocol import GrantRequest, QuotaAsk
    from berylnotch.quota.bucket import Limit
    from berylnotch.quota.settings import QuotaSettings

#: Time between two sums over the shares of all active organisations.
SHARE_SUM_INTERVAL_S = 1.0


@define
class _Account:
    bucket: Bucket
    usage: UsageAverage
    share: float
    unmet: dict[str, _Unmet]


@define
class _Unmet:
    """Tokens that a router waits for; ``asked`` is when it last said so."""

    want: int
    waiting: int
    asked: float


@define
class _Router:
    sequence: int
    heard: float


class QuotaOwner:
    """Lends tokens of the organisations' buckets to routers.

    Only the leader runs it, and only while it has its lease. It starts with
    empty buckets and refills none until grants of an earlier owner are over.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes and waits.
    term : int
        Term of the leader.
    now : float
        Monotonic time at which the leader's lease began.
    """

    def __init__(self, settings: QuotaSettings, term: int, now: float) -> None:
        self._settings = settings
        self._term = term
        self._started = now
        self._steady_from = now + settings.owner_lifetime_s
        self._accounts: dict[str, _Account] = {}
        self._routers: dict[str, _Router] = {}
        self._total_use = UsageAverage(settings.usage_window_s, now)
        self._total_share = 0.0
        self._share_summed = -math.inf

    @property
    def term(self) -> int:
        """Term of the leader that owns the buckets."""
        return self._term

    def grant(
        self, now: float, request: GrantRequest, organisations: Mapping[str, Limit]
    ) -> GrantReply:
        """Answer a router's request.

        Parameters
        ----------
        now : float
            Monotonic time, read after the request was received.
        request : GrantRequest
            What the router holds, has spent and wants.
        organisations : Mapping[str, Limit]
            Limits in force, by name; others are not granted anything.

        Returns
        -------
        reply : GrantReply
            One grant for each ask. It is empty for a repeated or overtaken
            request, whose reply the router does not take any more.
        """
        router = f"{request.vm}/{request.incarnation}"
        reply = GrantReply(owner_term=self._term, sequence=request.sequence)
        if not self._is_new(now, router, request.sequence):
            return reply
        self._sum_shares(now)
        grants = tuple(
            self._answer(now, router, ask, organisations[ask.organisation])
            for ask in request.asks
            if ask.organisation in organisations
        )
        return GrantReply(self._term, request.sequence, grants)

    def level(self, now: float, name: str) -> float:
        """Return the tokens of an organisation that may be lent."""
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        account.bucket.advance(now)
        return account.bucket.level

    def used_per_s(self, now: float, name: str) -> float:
        """Return an organisation's average use in tokens a second."""
        account = self._accounts.get(name)
        if account is None:
            return 0.0
        return account.usage.per_s(now)

    def _is_new(self, now: float, router: str, sequence: int) -> bool:
        known = self._routers.get(router)
        if known is not None and sequence <= known.sequence:
            return False
        self._routers[router] = _Router(sequence, now)
        return True

    def _answer(self, now: float, router: str, ask: QuotaAsk, limit: Limit) -> Grant:
        account = self._account(now, ask.organisation, limit)
        bucket = account.bucket
        adopt = now < self._steady_from
        used = bucket.report(router, ask.held, ask.spent, adopt)
        account.usage.add(now, used)
        self._total_use.add(now, used)
        tokens = self._size(now, account, router, ask)
        ends = now + self._settings.owner_lifetime_s
        return Grant(
            organisation=ask.organisation,
            tokens=bucket.lend(router, tokens, ends),
            lifetime_ms=int(self._settings.lifetime_s * 1000),
            priority=self._priority(now, account),
            retry_after_ms=self._retry_after_ms(now, account),
        )

    def _account(self, now: float, name: str, limit: Limit) -> _Account:
        account = self._accounts.get(name)
        if account is None:
            bucket = Bucket(limit.rate, limit.burst, self._steady_from)
            usage = UsageAverage(self._settings.usage_window_s, now)
            account = _Account(bucket, usage, limit.share, {})
            self._accounts[name] = account
        account.bucket.advance(now)
        account.bucket.resize(limit.rate, limit.burst)
        account.share = limit.share
        return account

    def _size(self, now: float, account: _Account, router: str, ask: QuotaAsk) -> int:
        """Return the tokens to lend: all or nothing of what work waits for."""
        unmet = account.unmet
        ahead = self._waiting_ahead(now, account, router)
        available = int(account.bucket.level) - ahead
        fair = max(0, available) // (len(unmet) + 1)
        if available < ask.waiting:
            known = unmet.get(router)
            if known is None:
                unmet[router] = _Unmet(ask.want, ask.waiting, now)
            else:
                known.want, known.waiting, known.asked = ask.want, ask.waiting, now
            return 0
        unmet.pop(router, None)
        return min(ask.want, max(ask.waiting, fair))

    def _waiting_ahead(self, now: float, account: _Account, router: str) -> int:
        """Return what routers that have waited longer need first."""
        stale = now - self._settings.lifetime_s / 2
        gone = []
        ahead = 0
        for name, entry in account.unmet.items():
            if name == router:
                break
            if entry.asked < stale:
                gone.append(name)
                continue
            ahead += entry.waiting
            if ahead > account.bucket.level:
                break
        for name in gone:
            del account.unmet[name]
        return ahead

    def _retry_after_ms(self, now: float, account: _Account) -> int:
        if now < self._started + self._settings.grace_s:
            return 0
        want = sum(entry.want for entry in account.unmet.values())
        wait_s = (want - account.bucket.level) / account.bucket.rate
        if wait_s <= self._settings.wait_s:
            return 0
        return math.ceil(wait_s * 1000)

    def _priority(self, now: float, account: _Account) -> int:
        use = account.usage.per_s(now)
        if not self._total_share:
            return BEST_PRIORITY
        total_use = self._total_use.per_s(now)
        return usage_priority(use, account.share, total_use, self._total_share)

    def _sum_shares(self, now: float) -> None:
        if now - self._share_summed < SHARE_SUM_INTERVAL_S:
            return
        self._share_summed = now
        self._total_share = sum(
            account.share
            for account in self._accounts.values()
            if account.usage.per_s(now) > 0
        )
