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
class Loan:
    """Tokens that one router may still charge, as the owner knows.

    ``spent`` is the router's total in its present incarnation when it last
    reported; the loan cannot be charged from ``ends`` on.
    """

    tokens: int
    spent: int
    ends: float


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
        self, rate: float, burst: float, refill_from: float, level: float = 0.0
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._level = level
        self._lent = 0
        self._updated = refill_from
        #: Loans by router, the first to end first.
        self._loans: OrderedDict[str, Loan] = OrderedDict()

    @property
    def level(self) -> float:
        """Tokens that may be lent, as of the last `advance`."""
        return self._level

    @property
    def lent(self) -> int:
        """Tokens that routers may still charge."""
        return self._lent

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
        return not self._loans and self._level >= self._burst

    def advance(self, now: float) -> None:
        """Refill up to ``now`` and write off loans that have ended."""
        while self._loans:
            router, loan = next(iter(self._loans.items()))
            if loan.ends > now:
                break
            self._refill(loan.ends)
            del self._loans[router]
            self._lent -= loan.tokens
        self._refill(now)

    def resize(self, rate: float, burst: float) -> None:
        """Take over changed limits; the level never rises by it."""
        self._rate = rate
        self._burst = burst
        self._limit()

    def report(self, router: str, held: int, spent: int) -> int:
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
        loan = self._loans.get(router)
        if loan is None:
            loan = Loan(tokens=0, spent=spent, ends=0.0)
            self._loans[router] = loan
        used = max(0, spent - loan.spent)
        kept = min(held, loan.tokens)
        unused = max(0, loan.tokens - kept - used)
        self._lent += kept - loan.tokens
        loan.tokens = kept
        loan.spent = spent
        self._level += unused
        self._limit()
        return used

    def lend(self, router: str, tokens: int, ends: float) -> int:
        """Move tokens from the level to a router that has reported.

        Returns
        -------
        tokens : int
            All tokens that the router may charge until ``ends``, from those
            that it reported as held on.
        """
        loan = self._loans[router]
        loan.tokens += tokens
        loan.ends = ends
        self._loans.move_to_end(router)
        self._level -= tokens
        self._lent += tokens
        return loan.tokens

    def _refill(self, now: float) -> None:
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        self._level += self._rate * elapsed
        self._updated = now
        self._limit()

    def _limit(self) -> None:
        room = max(0.0, self._burst - self._lent)
        self._level = min(self._level, room)
