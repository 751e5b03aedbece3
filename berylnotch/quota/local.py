"""A router's grants: what it may charge to each organisation."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from attrs import define

from berylnotch.control.protocol import QuotaAsk
from berylnotch.quota.errors import InvalidChargeError
from berylnotch.quota.usage import BEST_PRIORITY, UsageAverage

if TYPE_CHECKING:
    from berylnotch.control.protocol import Grant, GrantReply
    from berylnotch.quota.settings import QuotaSettings


@define
class _Holding:
    """Tokens of one organisation; ``spent`` counts since the router started."""

    usage: UsageAverage
    tokens: int = 0
    ends: float = -math.inf
    spent: int = 0
    reported: int = 0
    want: int = 0
    first: int = 0
    priority: int = BEST_PRIORITY
    retry_after_ms: int = 0


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
        self._holdings: dict[str, _Holding] = {}
        self._sequence = 0
        self._is_open = False
        self._opened_at = -math.inf
        self._owner_term = 0

    @property
    def sequence(self) -> int:
        """Number that the request with the newest `asks` must carry."""
        return self._sequence

    @property
    def owner_term(self) -> int:
        """Term of the owner that answered last."""
        return self._owner_term

    @property
    def is_short(self) -> bool:
        """Whether work waits for tokens, so that the owner be asked at once."""
        return any(h.want > 0 for h in self._holdings.values())

    def asks(self, now: float) -> tuple[QuotaAsk, ...]:
        """Open an exchange with the owner and return its lines."""
        self._sequence += 1
        self._is_open = True
        self._opened_at = now
        lines = (self._ask(now, name, h) for name, h in self._holdings.items())
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
        counted_from = min(sent_at, self._opened_at)
        for grant in reply.grants:
            self._take(counted_from, grant)
        return True

    def charge(self, now: float, organisation: str, tokens: int) -> bool:
        """Charge tokens if they are held; return whether they were charged."""
        if tokens < 0:
            raise InvalidChargeError(f"charge of {tokens} tokens")
        holding = self._holding(now, organisation)
        if tokens > self._balance(now, holding):
            return False
        holding.tokens -= tokens
        holding.spent += tokens
        holding.usage.add(now, tokens)
        return True

    def balance(self, now: float, organisation: str) -> int:
        """Return the tokens that may be charged at ``now``."""
        holding = self._holdings.get(organisation)
        if holding is None:
            return 0
        return self._balance(now, holding)

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
        holding = self._holding(-math.inf, organisation)
        holding.want = tokens
        holding.first = tokens if first is None else min(first, tokens)

    def priority(self, organisation: str) -> int:
        """Return the organisation's priority for engines, 0 (best) to 9."""
        holding = self._holdings.get(organisation)
        return BEST_PRIORITY if holding is None else holding.priority

    def retry_after_ms(self, organisation: str) -> int:
        """Return when to come back, or 0 if work should wait for tokens.

        The owner names a time only if the organisation itself has used up
        what its rate and burst allow.
        """
        holding = self._holdings.get(organisation)
        return 0 if holding is None else holding.retry_after_ms

    def _holding(self, now: float, organisation: str) -> _Holding:
        holding = self._holdings.get(organisation)
        if holding is None:
            usage = UsageAverage(self._settings.horizon_s, now)
            holding = _Holding(usage)
            self._holdings[organisation] = holding
        return holding

    def _balance(self, now: float, holding: _Holding) -> int:
        return holding.tokens if now < holding.ends else 0

    def _ask(self, now: float, name: str, holding: _Holding) -> QuotaAsk | None:
        held = self._balance(now, holding)
        ahead = math.ceil(holding.usage.per_s(now) * self._settings.horizon_s)
        target = ahead + holding.want
        if holding.first > held:
            held = 0
        holding.tokens = min(held, target)
        want = target - holding.tokens
        if not target and not held and holding.reported == holding.spent:
            return None
        holding.reported = holding.spent
        return QuotaAsk(
            organisation=name,
            want=want,
            held=holding.tokens,
            spent=holding.spent,
            waiting=holding.first,
        )

    def _take(self, counted_from: float, grant: Grant) -> None:
        holding = self._holding(counted_from, grant.organisation)
        charged_since = holding.spent - holding.reported
        holding.tokens = max(0, grant.tokens - charged_since)
        holding.ends = counted_from + grant.lifetime_ms / 1000
        holding.priority = grant.priority
        holding.retry_after_ms = grant.retry_after_ms
