"""Token bucket of one organisation, with the tokens lent out of it."""

from __future__ import annotations

from collections import OrderedDict
from typing import Protocol

from attrs import define


class Limit(Protocol):
    """What the quota owner reads of an organisation."""

    @property
    def rate(self) -> float:
        """Tokens a second."""

    @property
    def burst(self) -> float:
        """Most tokens that may be used at once."""

    @property
    def share(self) -> float:
        """Weight against other organisations."""


@define
class OutstandingGrant:
    """Tokens that one router may still charge, as the owner knows.

    ``spent`` is the router's total in its present incarnation when it last
    reported; the loan cannot be charged from ``ends`` on.
    """

    tokens: int
    spent: int
    expires_at: float


class Bucket:
    """Token bucket whose level and loans together never exceed the burst.

    Any token that is charged was lent before. So a window of T seconds is
    charged at most the level and loans at its start, and what was refilled
    since: burst + rate x T.

    Parameters
    ----------
    rate, burst : float
        Tokens a second, and most tokens at once.
    refill_from : float
        Time from which the bucket is refilled.
    level : float, default=0.0
        Tokens that it holds at first.
    """

    def __init__(
        self, rate: float, burst: float, refill_start: float, level: float = 0.0
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._level = level
        self._outstanding = 0
        self._updated_at = refill_start
        #: Loans by router, the first to end first.
        self._grants: OrderedDict[str, OutstandingGrant] = OrderedDict()

    @property
    def level(self) -> float:
        """Tokens that may be lent, as of the last `advance`."""
        return self._level

    @property
    def outstanding(self) -> int:
        """Tokens that routers may still charge."""
        return self._outstanding

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return self._rate

    @property
    def burst(self) -> float:
        """Most tokens at once."""
        return self._burst

    @property
    def is_idle(self) -> bool:
        """Whether the bucket is full and nothing is lent."""
        return not self._grants and self._level >= self._burst

    def advance(self, now: float) -> None:
        """Refill up to ``now`` and write off loans that have ended."""
        while self._grants:
            router, grant = next(iter(self._grants.items()))
            if grant.expires_at > now:
                break
            self._refill(grant.expires_at)
            del self._grants[router]
            self._outstanding -= grant.tokens
        self._refill(now)

    def resize(self, rate: float, burst: float) -> None:
        """Take over changed limits; the level never rises by it."""
        self._rate = rate
        self._burst = burst
        self._cap_level()

    def record_report(self, router: str, held: int, spent: int) -> int:
        """Take over what a router holds and has spent; return the new use.

        Tokens that it neither holds nor spent go back to the level: it gave
        them up, let them expire, or never received them.

        Parameters
        ----------
        router : str
            Name of the router's incarnation.
        held : int
            Tokens that it may charge.
        spent : int
            Tokens that it has charged since it started.
        """
        grant = self._grants.get(router)
        if grant is None:
            grant = OutstandingGrant(tokens=0, spent=spent, expires_at=0.0)
            self._grants[router] = grant
        used = max(0, spent - grant.spent)
        still_held = min(held, grant.tokens)
        unused = max(0, grant.tokens - still_held - used)
        self._outstanding += still_held - grant.tokens
        grant.tokens = still_held
        grant.spent = spent
        self._level += unused
        self._cap_level()
        return used

    def grant(self, router: str, tokens: int, expires_at: float) -> int:
        """Move tokens from the level to a router that has reported.

        Returns
        -------
        tokens : int
            All tokens that the router may charge until ``ends``, from those
            that it reported as held on.
        """
        grant = self._grants[router]
        grant.tokens += tokens
        grant.expires_at = expires_at
        self._grants.move_to_end(router)
        self._level -= tokens
        self._outstanding += tokens
        return grant.tokens

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated_at
        if elapsed <= 0:
            return
        self._level += self._rate * elapsed
        self._updated_at = now
        self._cap_level()

    def _cap_level(self) -> None:
        max_level = max(0.0, self._burst - self._outstanding)
        self._level = min(self._level, max_level)
