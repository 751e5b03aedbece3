"""Tokens of which any window may use a fixed number."""

from __future__ import annotations

import math
from collections import deque

from berylnotch.quota.outstanding import OutstandingGrants


class WindowBucket:
    """Bucket that gets its tokens back a window after they were charged.

    Charges are counted from the report of the router that made them, and grants that
    expire without a report as charged, so that a router that ends takes no record of
    its charges with it. So the charges in any window are at most ``burst``.

    Parameters
    ----------
    burst : float
        Number of tokens that may be used in any window.
    window_s : float
        Length of the window in seconds.
    known_from : float, default=-inf
        Monotonic time from which all charges are known, in seconds. No token is
        granted until the window contains only known charges.
    """

    def __init__(
        self, burst: float, window_s: float, known_from: float = -math.inf
    ) -> None:
        self._burst = burst
        self._window_s = window_s
        self._complete_from = known_from + window_s
        self._now = -math.inf
        self._grants = OutstandingGrants()
        #: Time and number of the charged tokens, oldest first.
        self._charges: deque[tuple[float, int]] = deque()
        self._charged = 0

    @property
    def level(self) -> float:
        """Tokens that may be granted, as of the last `advance`."""
        return max(0.0, self._window_level - self._grants.total)

    @property
    def _window_level(self) -> float:
        """Tokens that the window allows, without regard to outstanding grants."""
        if self._now < self._complete_from:
            return 0.0
        return max(0.0, self._burst - self._charged)

    @property
    def outstanding(self) -> int:
        """Granted tokens that routers may still charge."""
        return self._grants.total

    @property
    def rate(self) -> float:
        """Tokens a second that can be used on average."""
        return self._burst / self._window_s

    @property
    def burst(self) -> float:
        """Number of tokens that may be used in any window."""
        return self._burst

    @property
    def is_idle(self) -> bool:
        """Whether no charge or grant is recorded any more."""
        is_complete = self._now >= self._complete_from
        return is_complete and not self._grants and not self._charges

    def advance(self, now: float) -> None:
        """Write off expired grants, and drop charges that have left the window."""
        self._now = max(self._now, now)
        for expired_at, tokens in self._grants.expire(now):
            self._record_charge(expired_at, tokens)
        while self._charges and self._charges[0][0] <= now - self._window_s:
            self._charged -= self._charges.popleft()[1]

    def resize(self, rate: float, burst: float) -> None:
        """Apply a changed limit; ``rate`` follows from it."""
        self._burst = burst

    def record_report(self, router: str, held: int, spent: int) -> int:
        """Record a router's held and spent tokens; return the newly spent ones.

        The parameters are those of `Bucket.record_report`.
        """
        used_tokens, _ = self._grants.record(router, held, spent)
        self._record_charge(self._now, used_tokens)
        return used_tokens

    def grant(self, router: str, tokens: int, expires_at: float) -> int:
        """Grant tokens to a router, as `Bucket.grant` does."""
        return self._grants.add(router, tokens, expires_at)

    def _record_charge(self, at: float, tokens: int) -> None:
        if tokens:
            self._charges.append((at, tokens))
            self._charged += tokens
