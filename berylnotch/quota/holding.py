"""What a router holds of one organisation's tokens."""

from __future__ import annotations

import math

from attrs import define

from berylnotch.quota.messages import Grant, QuotaAsk
from berylnotch.quota.settings import QuotaSettings
from berylnotch.quota.usage import BEST_PRIORITY, UsageAverage

#: Held part of the target below which a router asks for more.
LOW_PART = 0.5

#: Multiple of the target above which a router gives tokens back.
HIGH_PART = 2.0

#: Part of the lifetime after which held tokens are renewed, and use reported.
RENEW_PART = 0.5

#: Part of the floor that is held for an organisation without requests, so that its
#: first one is served while there is no owner.
IDLE_PART = 0.25


@define
class Holding:
    """One organisation at one router.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes and waits.
    usage : UsageAverage
        Recent use at this router.
    tokens : int, default=0
        Tokens that may be charged before ``ends``.
    ends : float, default=-inf
        Monotonic time of the end of the lifetime.
    spent : int, default=0
        Tokens charged since the router started.
    reported : int, default=0
        ``spent`` as the newest request gave it.
    asked : float, default=-inf
        When the newest request with this organisation was opened.
    is_answered : bool, default=True
        Whether that request was answered.
    want, first : int, default=0
        What waiting work needs in all, and what its first part needs.
    priority : int, default=0
        From the owner, 0 (best) to 9.
    retry_at : float, default=-inf
        When refused work should come back.
    asked_first : int, default=0
        ``first`` as the newest request gave it.
    has_place : bool, default=False
        Whether the owner keeps back tokens for work that waits here, by its newest
        answer.
    floor : int, default=0
        Tokens that are held while the organisation is in use; a part of them is
        held always.
    """

    settings: QuotaSettings
    usage: UsageAverage
    tokens: int = 0
    ends: float = -math.inf
    spent: int = 0
    reported: int = 0
    asked: float = -math.inf
    is_answered: bool = True
    want: int = 0
    first: int = 0
    priority: int = BEST_PRIORITY
    retry_at: float = -math.inf
    asked_first: int = 0
    has_place: bool = False
    floor: int = 0

    def balance(self, now: float) -> int:
        """Return the tokens that may be charged at ``now``."""
        return self.tokens if now < self.ends else 0

    def charge(self, now: float, tokens: int) -> bool:
        """Charge tokens if they are held."""
        if tokens > self.balance(now):
            return False
        self.tokens -= tokens
        self.spent += tokens
        self.usage.add(now, tokens)
        return True

    def ask(self, now: float, organisation: str) -> QuotaAsk | None:
        """Return the line for the owner, or none if there is no need yet.

        Tokens above the target are given up. So are all of them if they are
        too few for the first waiting work, so that two routers do not block
        each other by holding a part each.
        """
        target = self._target(now)
        if not self._is_due(now, target):
            return None
        held = self.balance(now)
        if self.first > held:
            held = 0
        self.tokens = min(held, target)
        self.reported = self.spent
        self.asked = now
        self.asked_first = self.first
        self.is_answered = False
        waiting = max(0, self.first - self.tokens)
        return QuotaAsk(
            organisation=organisation,
            want=target - self.tokens,
            held=self.tokens,
            spent=self.spent,
            waiting=waiting,
            queued=max(waiting, self.want - self.tokens),
        )

    def take(self, counted_from: float, grant: Grant) -> None:
        """Take a grant whose lifetime counts from ``counted_from``."""
        charged_since = self.spent - self.reported
        self.tokens = max(0, grant.tokens - charged_since)
        self.ends = counted_from + grant.lifetime_ms / 1000
        self.is_answered = True
        is_refused = grant.retry_after_ms > 0 and self.settings.refused_leave
        self.has_place = grant.tokens < self.asked_first and not is_refused
        self.priority = grant.priority
        self.retry_at = -math.inf
        if grant.retry_after_ms:
            self.retry_at = counted_from + grant.retry_after_ms / 1000

    def _target(self, now: float) -> int:
        use = self.usage.per_s(now)
        ahead = int(use * self.settings.horizon_s)
        floor = self.floor if use >= 1 else int(self.floor * IDLE_PART)
        return max(ahead, floor) + self.want

    def _is_due(self, now: float, target: int) -> bool:
        held = self.balance(now)
        # Work that was refused meanwhile gives up its place to that of others.
        if self.want or not self.is_answered or self.has_place:
            return True
        if held < LOW_PART * target or held > HIGH_PART * target:
            return True
        is_old = now - self.asked >= RENEW_PART * self.settings.lifetime_s
        return is_old and (held > 0 or self.spent != self.reported)
