"""A router's grants: what it may charge to each organisation."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from berylnotch.quota.errors import InvalidChargeError
from berylnotch.quota.holding import Holding
from berylnotch.quota.usage import BEST_PRIORITY, UsageAverage

if TYPE_CHECKING:
    from berylnotch.quota.messages import GrantReply, QuotaAsk
    from berylnotch.quota.settings import QuotaSettings


class LocalQuota:
    """What one router may charge to the organisations.

    One request is on its way to the owner at a time: `asks` opens an exchange
    and ends the one before it, whose reply is not taken any more. So the owner
    knows from each request all that the router may still charge.

    Parameters
    ----------
    settings : QuotaSettings
        Lifetimes and waits.
    """

    def __init__(self, settings: QuotaSettings) -> None:
        self._settings = settings
        self._holdings: dict[str, Holding] = {}
        self._now = -math.inf
        self._sequence = 0
        self._is_open = False
        self._opened = self._opened_before = -math.inf
        self._owner_term = 0
        self._is_urgent = False
        self._ask_interval_s = settings.ask_interval_s

    @property
    def sequence(self) -> int:
        """Number that the request with the newest `asks` must carry."""
        return self._sequence

    @property
    def owner_term(self) -> int:
        """Term of the owner that answered last."""
        return self._owner_term

    @property
    def next_ask_at(self) -> float:
        """Time at which the next request should be sent.

        While one is on its way, this is when to give it up.
        """
        if self._is_open:
            return self._opened + self._settings.reply_timeout_s
        if self._is_urgent:
            return self._opened + self._settings.min_ask_gap_s
        return self._opened + self._ask_interval_s

    def asks(self, now: float) -> tuple[QuotaAsk, ...]:
        """Open an exchange with the owner and return its lines.

        The request must carry `sequence`, and is also sent without lines, as
        the router's heartbeat.
        """
        self._advance(now)
        self._sequence += 1
        self._is_open = True
        self._is_urgent = False
        self._opened_before, self._opened = self._opened, self._now
        lines = (h.ask(self._now, name) for name, h in self._holdings.items())
        return tuple(line for line in lines if line is not None)

    def receive(self, sent_at: float, reply: GrantReply) -> bool:
        """Take the reply of the open exchange; return whether it was taken.

        Parameters
        ----------
        sent_at : float
            Monotonic time before the request was sent.
        reply : GrantReply
            The owner's answer; a late or repeated one is left out.
        """
        if not self._is_open or reply.sequence != self._sequence:
            return False
        self._is_open = False
        self._owner_term = reply.owner_term
        counted_from = min(sent_at, self._opened)
        for grant in reply.grants:
            holding = self._holdings.get(grant.organisation)
            if holding is not None:
                holding.take(counted_from, grant)
        return True

    def charge(self, now: float, organisation: str, tokens: int) -> bool:
        """Charge tokens if they are held; return whether they were charged."""
        if tokens < 0:
            raise InvalidChargeError(f"charge of {tokens} tokens")
        self._advance(now)
        return self._holding(organisation).charge(self._now, tokens)

    def balance(self, now: float, organisation: str) -> int:
        """Return the tokens that may be charged at ``now``."""
        self._advance(now)
        holding = self._holdings.get(organisation)
        return 0 if holding is None else holding.balance(self._now)

    def withdraw(self) -> None:
        """State that the newest request is not sent, since it has no lines.

        Otherwise work that begins to wait would wait for its answer first.
        """
        self._is_open = False
        self._opened = self._opened_before

    def want(self, organisation: str, tokens: int, first: int | None = None) -> None:
        """State how many tokens the waiting work needs; 0 if none waits.

        Parameters
        ----------
        organisation : str
            Whose work waits.
        tokens : int
            Sum over all waiting work, replacing what was stated before.
        first : int, optional
            Tokens without which none of it can go on; all of them by default.
        """
        if tokens < 0:
            raise InvalidChargeError(f"want of {tokens} tokens")
        holding = self._holding(organisation)
        has_given_up = holding.has_place and holding.want > 0 and not tokens
        if has_given_up or tokens and not holding.want:
            self._is_urgent = True
        holding.want = tokens
        holding.first = tokens if first is None else min(first, tokens)

    def pace(self, interval_s: float) -> None:
        """State the time between two requests while no work waits, in seconds."""
        self._ask_interval_s = interval_s

    def keep(self, organisation: str, tokens: int) -> None:
        """State how many tokens should be held while an organisation is in use."""
        self._holding(organisation).floor = tokens

    def release(self, now: float) -> None:
        """Give up all tokens, for a planned stop; the next `asks` says so."""
        self._advance(now)
        for holding in self._holdings.values():
            holding.tokens = 0
            holding.want = 0
            holding.first = 0
            holding.is_answered = False

    def priority(self, organisation: str) -> int:
        """Return the organisation's priority for engines, 0 (best) to 9."""
        holding = self._holdings.get(organisation)
        return BEST_PRIORITY if holding is None else holding.priority

    def retry_after_ms(self, organisation: str) -> int:
        """Return when to come back, or 0 if work should wait for tokens.

        It is positive only if the owner said within the last lifetime that the
        organisation has used up what its rate and burst allow.
        """
        holding = self._holdings.get(organisation)
        if holding is None or self._now >= holding.ends:
            return 0
        return math.ceil(max(0.0, holding.retry_at - self._now) * 1000)

    def _advance(self, now: float) -> None:
        self._now = max(self._now, now)

    def _holding(self, organisation: str) -> Holding:
        holding = self._holdings.get(organisation)
        if holding is None:
            usage = UsageAverage(self._settings.demand_window_s, self._now)
            holding = Holding(self._settings, usage)
            self._holdings[organisation] = holding
        return holding
