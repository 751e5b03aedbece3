"""Window bucket with a pool of tokens that routers have earned and cannot use."""

from __future__ import annotations

import math

from berylnotch.quota.window_bucket import WindowBucket


class PooledBucket(WindowBucket):
    """Window bucket whose tokens are supplemented by a small pool.

    The pool starts empty, holds ``capacity`` tokens at most and is refilled by `add`.
    So in any window it provides at most its capacity beside the tokens that were added
    in the window, whichever owners follow each other. It is therefore available to a
    new owner, which does not know the charges of the window yet.

    Parameters
    ----------
    burst : float
        Number of tokens that may be used in any window beside the pool.
    window_s : float
        Length of the window in seconds.
    capacity : float
        Largest number of tokens in the pool.
    known_from : float, default=-inf
        Monotonic time from which all charges are known, in seconds.
    """

    def __init__(
        self,
        burst: float,
        window_s: float,
        capacity: float,
        known_from: float = -math.inf,
    ) -> None:
        super().__init__(burst, window_s, known_from)
        self._capacity = capacity
        self._pool = 0.0

    @property
    def level(self) -> float:
        """Tokens that may be granted, as of the last `advance`."""
        return max(0.0, self._window_level + self._pool - self._grants.total)

    def add(self, tokens: float) -> None:
        """Add tokens to the pool, as far as it has room."""
        self._pool = min(self._capacity, self._pool + tokens)

    def _record_charge(self, at: float, tokens: int) -> None:
        from_pool = min(tokens, int(self._pool))
        self._pool -= from_pool
        super()._record_charge(at, tokens - from_pool)
