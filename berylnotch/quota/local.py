"""Grants of one router: the tokens that it may charge to each organisation."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from berylnotch.quota.charge_history import ChargeHistory
from berylnotch.quota.errors import InvalidChargeError
from berylnotch.quota.holding import OrganisationQuota
from berylnotch.quota.usage import BEST_PRIORITY, UsageAverage

if TYPE_CHECKING:
    from berylnotch.quota.messages import GrantReply, QuotaAsk
    from berylnotch.quota.settings import QuotaSettings


class LocalQuota:
    """Tokens that one router may charge to the organisations.

    At most one request to the owner is in flight: `asks` opens an exchange and
    closes the previous exchange. A later reply of a closed exchange is discarded. So
    each request tells the owner all tokens that the router may still charge.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes of grants and waiting times.
    history_s : float, default=0.0
        Age in seconds up to which charges are reported to a new owner. With 0, the
        router does not join owners.
    """

    def __init__(self, settings: QuotaSettings, history_s: float = 0.0) -> None:
        self._settings = settings
        self._history_s = history_s
        #: Owner that granted all tokens held, and whether a further one is to be joined
        #: and whether the joined one has to learn the recent charges.
        self._joined_term = 0
        self._is_joining = False
        self._must_report = False
        #: What the request of the open exchange does.
        self._is_open_joining = self._is_open_reporting = False
        self._quotas: dict[str, OrganisationQuota] = {}
        self._now = -math.inf
        self._sequence = 0
        self._is_exchange_open = False
        self._opened_at = self._previous_opened_at = -math.inf
        self._owner_term = 0
        self._is_ask_urgent = False
        self._ask_interval_s = settings.ask_interval_s

    @property
    def sequence(self) -> int:
        """Sequence number for the request that carries the newest `asks`."""
        return self._sequence

    @property
    def owner_term(self) -> int:
        """Term of the owner that sent the last accepted reply."""
        return self._owner_term

    @property
    def joined_term(self) -> int:
        """Term of the owner that granted all tokens that are held, 0 if none."""
        return self._joined_term

    @property
    def must_ask(self) -> bool:
        """Whether the owner needs a request, even one without asks."""
        return bool(self._quotas) and (self._is_joining or self._must_report)

    @property
    def next_ask_at(self) -> float:
        """Monotonic time at which the next request should be sent, in seconds.

        While a request is in flight, this is the time at which that request times out.
        """
        if self._is_exchange_open:
            return self._opened_at + self._settings.reply_timeout_s
        if self._is_ask_urgent:
            return self._opened_at + self._settings.min_ask_gap_s
        return self._opened_at + self._ask_interval_s

    def asks(self, now: float) -> tuple[QuotaAsk, ...]:
        """Open an exchange with the owner and return the asks for its request.

        The request must carry `sequence`. The request is sent even without asks,
        because requests are the router's heartbeat.
        """
        self._advance_clock(now)
        self._sequence += 1
        self._is_exchange_open = True
        self._is_ask_urgent = False
        self._previous_opened_at, self._opened_at = self._opened_at, self._now
        self._is_open_joining = self._is_joining
        self._is_open_reporting = self._must_report
        candidates = (
            quota.build_ask(self._now, name, self._is_joining, self._must_report)
            for name, quota in self._quotas.items()
        )
        return tuple(ask for ask in candidates if ask is not None)

    def receive(self, sent_at: float, reply: GrantReply) -> bool:
        """Apply the reply of the open exchange; return whether it was accepted.

        Parameters
        ----------
        sent_at : float
            Monotonic time, in seconds, read before the request was sent.
        reply : GrantReply
            Reply of the owner. A late or repeated reply is discarded.
        """
        if not self._is_exchange_open or reply.sequence != self._sequence:
            return False
        self._is_exchange_open = False
        self._owner_term = reply.owner_term
        lifetime_start = min(sent_at, self._opened_at)
        for grant in reply.grants:
            quota = self._quotas.get(grant.organisation)
            if quota is not None:
                quota.apply_grant(lifetime_start, grant)
        if self._history_s:
            self._follow_owner(reply)
        return True

    def _follow_owner(self, reply: GrantReply) -> None:
        """Join the owner that sent an accepted reply, in two exchanges.

        The reply to a request for all tokens held replaces those of earlier owners. The
        next request tells the owner so, and reports the recent charges.
        """
        if reply.owner_term == self._joined_term:
            self._is_joining = False
            self._must_report &= not self._is_open_reporting
        elif self._is_open_joining:
            granted = {grant.organisation for grant in reply.grants}
            for name, quota in self._quotas.items():
                if name not in granted:
                    quota.tokens = 0
            self._joined_term = reply.owner_term
            self._is_joining, self._must_report = False, True
            self._is_ask_urgent = True
        else:
            self._is_joining = self._is_ask_urgent = True

    def charge(self, now: float, organisation: str, tokens: int) -> bool:
        """Charge tokens if the router holds enough; return whether it charged them."""
        if tokens < 0:
            raise InvalidChargeError(
                f"cannot charge {tokens} tokens: the number is negative"
            )
        self._advance_clock(now)
        return self._get_quota(organisation).charge(self._now, tokens)

    def expect(self, now: float, organisation: str, tokens: int) -> None:
        """Count work that found no tokens, when predicting how many to hold."""
        self._advance_clock(now)
        self._get_quota(organisation).usage.add(self._now, tokens)

    def balance(self, now: float, organisation: str) -> int:
        """Return the tokens that may be charged at ``now``."""
        self._advance_clock(now)
        quota = self._quotas.get(organisation)
        return 0 if quota is None else quota.balance(self._now)

    def withdraw(self) -> None:
        """Cancel the exchange because its request has no asks and is not sent.

        Otherwise work that starts to wait would be delayed until the reply time-out.
        """
        self._is_exchange_open = False
        self._opened_at = self._previous_opened_at

    def restart(self) -> None:
        """Abandon the exchange with an owner that is gone, and ask the next one soon.

        Otherwise waiting work would be delayed until the reply time-out.
        """
        self._is_joining = self._history_s > 0
        if self._is_exchange_open or self.must_ask:
            self._is_exchange_open = False
            self._is_ask_urgent = True

    def want(self, organisation: str, tokens: int, first: int | None = None) -> None:
        """Set the number of tokens that the waiting work needs; 0 if no work waits.

        Parameters
        ----------
        organisation : str
            Organisation whose work waits.
        tokens : int
            Sum over all waiting work; replaces the previous value.
        first : int, optional
            Tokens that the first item of the waiting work needs; below this number no
            work can proceed. All of ``tokens`` by default.
        """
        if tokens < 0:
            raise InvalidChargeError(
                f"cannot request {tokens} tokens: the number is negative"
            )
        quota = self._get_quota(organisation)
        has_stopped_waiting = quota.is_queued_at_owner and quota.want > 0 and not tokens
        # Work that came after the last ask is not in the reply to it.
        is_unknown_to_owner = not (self._is_exchange_open or quota.is_queued_at_owner)
        if has_stopped_waiting or tokens and (is_unknown_to_owner or not quota.want):
            self._is_ask_urgent = True
        quota.want = tokens
        quota.first_want = tokens if first is None else min(first, tokens)

    def pace(self, interval_s: float) -> None:
        """Set the interval of requests while no work waits, in seconds."""
        self._ask_interval_s = interval_s

    def keep(self, organisation: str, tokens: int) -> None:
        """Set the number of tokens to hold while an organisation is in use."""
        self._get_quota(organisation).min_held = tokens

    def give_up(self, organisation: str) -> None:
        """Give up the tokens of one organisation; the next `asks` reports this."""
        self._get_quota(organisation).tokens = 0

    def release(self, now: float) -> None:
        """Give up all tokens before a planned stop; the next `asks` reports this."""
        self._advance_clock(now)
        for quota in self._quotas.values():
            quota.tokens = 0
            quota.want = 0
            quota.first_want = 0
            quota.is_answered = False

    def priority(self, organisation: str) -> int:
        """Return the organisation's priority for engines, 0 (best) to 9."""
        quota = self._quotas.get(organisation)
        return BEST_PRIORITY if quota is None else quota.priority

    def retry_after_ms(self, organisation: str) -> int:
        """Return the retry-after time in ms, or 0 if work should wait for tokens.

        The time is positive only if the owner reported within the last grant
        lifetime that the organisation has used up its rate and burst.
        """
        quota = self._quotas.get(organisation)
        if quota is None or self._now >= quota.expires_at:
            return 0
        return math.ceil(max(0.0, quota.retry_at - self._now) * 1000)

    def _advance_clock(self, now: float) -> None:
        self._now = max(self._now, now)

    def _get_quota(self, organisation: str) -> OrganisationQuota:
        quota = self._quotas.get(organisation)
        if quota is None:
            usage = UsageAverage(self._settings.demand_window_s, self._now)
            history = ChargeHistory(self._history_s) if self._history_s else None
            quota = OrganisationQuota(self._settings, usage, history=history)
            self._quotas[organisation] = quota
        return quota
