"""Token bucket of one organisation, with the grants that are outstanding from it."""

from __future__ import annotations

import math
from typing import Protocol

from berylnotch.quota.outstanding import OutstandingGrants


class Limit(Protocol):
    """Interface through which the quota owner reads an organisation's limit."""

    @property
    def rate(self) -> float:
        """Tokens a second."""

    @property
    def burst(self) -> float:
        """Largest number of tokens that may be used at once."""

    @property
    def share(self) -> float:
        """Weight relative to other organisations."""


class Bucket:
    """Token bucket whose level and outstanding grants together never exceed the burst.

    Each token that is charged was granted before. So the charges in a window of T
    seconds are at most the level and the outstanding grants at the start of the window,
    plus the tokens refilled during the window: burst + rate x T.

    Parameters
    ----------
    rate, burst : float
        Tokens a second, and capacity in tokens.
    refill_start : float
        Monotonic time from which the bucket is refilled, in seconds.
    level : float, default=0.0
        Initial number of tokens in the bucket.
    capped_until : float, default=-inf
        Monotonic time until which the level and the outstanding grants together do
        not exceed ``cap``, in seconds. Grants of earlier owners may be outstanding.
    cap : float, default=inf
        Number of tokens.
    """

    def __init__(
        self,
        rate: float,
        burst: float,
        refill_start: float,
        level: float = 0.0,
        capped_until: float = -math.inf,
        cap: float = math.inf,
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._level = level
        self._updated_at = refill_start
        self._capped_until = capped_until
        self._cap = cap
        self._grants = OutstandingGrants()

    @property
    def level(self) -> float:
        """Tokens that may be granted, as of the last `advance`."""
        return self._level

    @property
    def outstanding(self) -> int:
        """Granted tokens that routers may still charge."""
        return self._grants.total

    @property
    def rate(self) -> float:
        """Tokens a second."""
        return self._rate

    @property
    def burst(self) -> float:
        """Capacity in tokens, as of the last `advance`."""
        is_capped = self._updated_at < self._capped_until
        return min(self._burst, self._cap) if is_capped else self._burst

    @property
    def is_idle(self) -> bool:
        """Whether the bucket is full and no grant is outstanding."""
        return not self._grants and self._level >= self._burst

    def advance(self, now: float) -> None:
        """Refill the bucket up to ``now`` and write off expired grants."""
        for expired_at, _tokens in self._grants.expire(now):
            self._refill(expired_at)
        self._refill(now)

    def resize(self, rate: float, burst: float) -> None:
        """Apply changed limits; this never raises the level."""
        self._rate = rate
        self._burst = burst
        self._cap_level()

    def cap_until(self, capped_until: float) -> None:
        """Change the time at which the cap ends, as of the last `advance`."""
        self._capped_until = capped_until

    def fill_up_to(self, total: float) -> bool:
        """Raise the level so that it makes up ``total`` with the outstanding grants.

        Returns
        -------
        bool
            Whether they did not exceed ``total`` before.
        """
        has_room = self._level + self._grants.total <= total
        self._level = max(self._level, total - self._grants.total)
        self._cap_level()
        return has_room

    def record_report(self, router: str, held: int, spent: int) -> int:
        """Record a router's held and spent tokens; return the newly spent ones.

        Granted tokens that the router neither holds nor spent return to the bucket:
        the router gave them up, let them expire, or never received them.

        Parameters
        ----------
        router : str
            Name of the router's incarnation.
        held : int
            Tokens that the router may charge.
        spent : int
            Tokens that the router has charged since it started.
        """
        used_tokens, unused_tokens = self._grants.record(router, held, spent)
        self._level += unused_tokens
        self._cap_level()
        return used_tokens

    def grant(self, router: str, tokens: int, expires_at: float) -> int:
        """Grant tokens from the bucket to a router that has reported before.

        Returns
        -------
        tokens : int
            All tokens that the router may charge until ``expires_at``, including
            those that the router reported as held.
        """
        self._level -= tokens
        return self._grants.add(router, tokens, expires_at)

    def _refill(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        if self._updated_at < self._capped_until <= now:
            # What is refilled before the cap ends is lost where the cap is reached.
            self._refill_up_to_cap(self._capped_until - self._updated_at)
            elapsed_s = now - self._capped_until
        self._updated_at = now
        self._refill_up_to_cap(elapsed_s)

    def _refill_up_to_cap(self, elapsed_s: float) -> None:
        self._level += self._rate * elapsed_s
        self._cap_level()

    def _cap_level(self) -> None:
        max_level = max(0.0, self.burst - self._grants.total)
        self._level = min(self._level, max_level)
