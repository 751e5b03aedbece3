"""Tokens that a router holds for one organisation, and its demand for more."""

from __future__ import annotations

import math

from attrs import define

from berylnotch.quota.charge_history import ChargeHistory
from berylnotch.quota.messages import Grant, QuotaAsk
from berylnotch.quota.settings import QuotaSettings
from berylnotch.quota.usage import BEST_PRIORITY, UsageAverage

#: Fraction of the target amount of held tokens below which a router asks for more.
LOW_FRACTION = 0.5

#: Multiple of the target amount of held tokens above which a router returns tokens.
HIGH_MULTIPLE = 2.0

#: Fraction of the lifetime after which held tokens are renewed and use is reported.
RENEW_FRACTION = 0.5

#: Fraction of ``min_held`` that is held for an organisation without recent requests, so
#: that the organisation's first request is served even while there is no owner.
IDLE_FRACTION = 0.25


@define
class OrganisationQuota:
    """Held tokens and demand of one organisation at one router.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes of grants and waiting times.
    usage : UsageAverage
        Recent use at this router.
    tokens : int, default=0
        Tokens that may be charged before ``expires_at``.
    expires_at : float, default=-inf
        Monotonic time at which the held tokens expire.
    spent : int, default=0
        Tokens charged since the router started.
    reported_spent : int, default=0
        ``spent`` in the newest request that includes this organisation.
    asked_at : float, default=-inf
        Monotonic time at which the router built the newest request that includes
        this organisation.
    is_answered : bool, default=True
        Whether the newest request that includes this organisation was answered.
    want, first_want : int, default=0
        Tokens needed by all waiting work, and tokens needed by the first item of it.
    priority : int, default=0
        Priority from the owner, 0 (best) to 9.
    retry_at : float, default=-inf
        Monotonic time at which refused work may be retried.
    reported_first_want : int, default=0
        ``first_want`` in the newest request that includes this organisation.
    is_queued_at_owner : bool, default=False
        Whether the owner reserves tokens for work that waits at this router,
        according to its newest reply.
    min_held : int, default=0
        Smallest number of tokens to hold while the organisation is in use. The
        fraction `IDLE_FRACTION` of it is held at all times.
    history : ChargeHistory, optional
        Recent charges, for new owners that derive the level from them.
    """

    settings: QuotaSettings
    usage: UsageAverage
    tokens: int = 0
    expires_at: float = -math.inf
    spent: int = 0
    reported_spent: int = 0
    asked_at: float = -math.inf
    is_answered: bool = True
    want: int = 0
    first_want: int = 0
    priority: int = BEST_PRIORITY
    retry_at: float = -math.inf
    reported_first_want: int = 0
    is_queued_at_owner: bool = False
    min_held: int = 0
    history: ChargeHistory | None = None

    def balance(self, now: float) -> int:
        """Return the tokens that may be charged at ``now``."""
        return self.tokens if now < self.expires_at else 0

    def charge(self, now: float, tokens: int) -> bool:
        """Charge tokens if they are held."""
        if tokens > self.balance(now):
            return False
        self.tokens -= tokens
        self.spent += tokens
        self.usage.add(now, tokens)
        if self.history is not None and tokens:
            self.history.add(now, tokens)
        return True

    def build_ask(
        self,
        now: float,
        organisation: str,
        is_joining: bool = False,
        reports_charges: bool = False,
    ) -> QuotaAsk | None:
        """Return the organisation's ask to the owner, or None if no ask is due.

        The router gives up tokens above the target amount. If the held tokens are too
        few for the first waiting work, the router gives up all of them, so that two
        routers do not block each other by each holding a part of the tokens.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        organisation : str
            Name of the organisation.
        is_joining : bool, default=False
            Whether tokens of an earlier owner have to be given up.
        reports_charges : bool, default=False
            Whether the owner has to learn the recent charges.
        """
        target_tokens = self._target_tokens(now)
        recent = ()
        if reports_charges and self.history is not None:
            recent = self.history.by_age(now)
        is_needed = recent or is_joining and self.balance(now) > 0
        if not is_needed and not self._is_due(now, target_tokens):
            return None
        held = self.balance(now)
        if self.first_want > held:
            held = 0
        self.tokens = min(held, target_tokens)
        self.reported_spent = self.spent
        self.asked_at = now
        self.reported_first_want = self.first_want
        self.is_answered = False
        waiting_tokens = max(0, self.first_want - self.tokens)
        return QuotaAsk(
            organisation=organisation,
            want=target_tokens - self.tokens,
            held=self.tokens,
            spent=self.spent,
            waiting=waiting_tokens,
            queued=max(waiting_tokens, self.want - self.tokens),
            recent=recent,
        )

    def apply_grant(self, lifetime_start: float, grant: Grant) -> None:
        """Apply a grant whose lifetime counts from ``lifetime_start``."""
        charged_since_ask = self.spent - self.reported_spent
        self.tokens = max(0, grant.tokens - charged_since_ask)
        self.expires_at = lifetime_start + grant.lifetime_ms / 1000
        self.is_answered = True
        is_refused = grant.retry_after_ms > 0 and self.settings.refused_leave
        self.is_queued_at_owner = (
            grant.tokens < self.reported_first_want and not is_refused
        )
        self.priority = grant.priority
        self.retry_at = -math.inf
        if grant.retry_after_ms:
            self.retry_at = lifetime_start + grant.retry_after_ms / 1000

    def _target_tokens(self, now: float) -> int:
        use_per_s = self.usage.per_s(now)
        expected_use = int(use_per_s * self.settings.horizon_s)
        min_held = (
            self.min_held if use_per_s >= 1 else int(self.min_held * IDLE_FRACTION)
        )
        return max(expected_use, min_held) + self.want

    def _is_due(self, now: float, target_tokens: int) -> bool:
        held = self.balance(now)
        # After this router has refused its waiting work, the router asks again, so that
        # the owner stops reserving tokens for this work and serves other routers.
        if self.want or not self.is_answered or self.is_queued_at_owner:
            return True
        if held < LOW_FRACTION * target_tokens or held > HIGH_MULTIPLE * target_tokens:
            return True
        is_renewal_due = (
            now - self.asked_at >= RENEW_FRACTION * self.settings.lifetime_s
        )
        return is_renewal_due and (held > 0 or self.spent != self.reported_spent)
