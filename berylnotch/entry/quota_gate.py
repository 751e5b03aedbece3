"""Charges requests to their organisations' limits, and lets some wait for it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum

from attrs import frozen

from berylnotch.quota.local import LocalQuota
from berylnotch.quota.messages import GrantReply, GrantRequest


class Charge(Enum):
    """Outcome of a charge."""

    CHARGED = "charged"
    OVER_LIMIT = "over-limit"
    UNKNOWN = "limit-unknown"


#: Gets the outcome, and seconds after which the caller may come back.
OnCharged = Callable[[Charge, float], None]


@frozen
class _Waiting:
    """A request that waits for tokens."""

    tokens: int
    until: float
    done: OnCharged


class QuotaGate:
    """Charges against grants of the quota owner.

    Parameters
    ----------
    quota : LocalQuota
        Grants of this router.
    wait_s : float
        Longest wait for a grant.
    """

    def __init__(self, quota: LocalQuota, wait_s: float) -> None:
        self._quota = quota
        self._wait_s = wait_s
        self._waiting: dict[str, deque[_Waiting]] = {}

    @property
    def quota(self) -> LocalQuota:
        """Grants of this router."""
        return self._quota

    def charge(
        self, now: float, organisation: str, tokens: int, done: OnCharged
    ) -> bool:
        """Charge a request, at once or once a grant allows it.

        Returns
        -------
        bool
            Whether the owner should be asked soon.
        """
        line = self._waiting.get(organisation)
        if not line and self._quota.charge(now, organisation, tokens):
            done(Charge.CHARGED, 0.0)
            return False
        retry_s = self._quota.retry_after_ms(organisation) / 1000
        if retry_s > 0:
            done(Charge.OVER_LIMIT, retry_s)
            return False
        line = self._waiting.setdefault(organisation, deque())
        line.append(_Waiting(tokens, now + self._wait_s, done))
        self._state_need(organisation)
        return True

    def receive(self, now: float, sent_at: float, reply: GrantReply) -> None:
        """Take the owner's answer and serve those that wait."""
        if self._quota.receive(sent_at, reply):
            self.serve(now)

    def request(
        self, now: float, name: str, incarnation: str, address: str, domain: str
    ) -> GrantRequest:
        """Return the request to the owner that is due."""
        asks = self._quota.asks(now)
        return GrantRequest(
            name, incarnation, address, domain, False, self._quota.sequence, asks
        )

    def serve(self, now: float) -> None:
        """Charge what waits, and refuse what waited for too long."""
        for organisation in tuple(self._waiting):
            self._serve_line(now, organisation)

    def _serve_line(self, now: float, organisation: str) -> None:
        line = self._waiting[organisation]
        retry_s = self._quota.retry_after_ms(organisation) / 1000
        while line:
            first = line[0]
            if self._quota.charge(now, organisation, first.tokens):
                line.popleft().done(Charge.CHARGED, 0.0)
            elif retry_s > 0:
                line.popleft().done(Charge.OVER_LIMIT, retry_s)
            elif now >= first.until:
                line.popleft().done(Charge.UNKNOWN, 0.0)
            else:
                break
        if not line:
            del self._waiting[organisation]
        self._state_need(organisation)

    def _state_need(self, organisation: str) -> None:
        line = self._waiting.get(organisation, ())
        total = sum(waiting.tokens for waiting in line)
        first = line[0].tokens if line else 0
        self._quota.want(organisation, total, first)
