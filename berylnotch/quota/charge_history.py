"""Recent charges, from which a new owner of the limits derives the buckets' levels."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

#: Resolution in seconds of reported charges. A new owner takes each charge for younger
#: by up to this time, so a longer interval lowers the level that it derives.
INTERVAL_S = 0.25


class ChargeHistory:
    """Charges of one organisation at one router, by intervals of `INTERVAL_S`.

    Parameters
    ----------
    retention_s : float
        Age in seconds up to which charges are kept.
    """

    def __init__(self, retention_s: float) -> None:
        # The charge may have been made at any time within the interval.
        self._n_kept = int(retention_s / INTERVAL_S) + 2
        self._charges: deque[tuple[int, int]] = deque()

    def add(self, now: float, tokens: int) -> None:
        """Record charged tokens."""
        number = int(now // INTERVAL_S)
        if self._charges and self._charges[-1][0] == number:
            tokens += self._charges.pop()[1]
        self._charges.append((number, tokens))
        while self._charges[0][0] <= number - self._n_kept:
            self._charges.popleft()

    def by_age(self, now: float) -> tuple[int, ...]:
        """Return the tokens of each interval, the present one first."""
        newest = int(now // INTERVAL_S)
        ages = {newest - number: tokens for number, tokens in self._charges}
        kept = [age for age in ages if age < self._n_kept]
        return tuple(ages.get(age, 0) for age in range(max(kept, default=-1) + 1))


def charge_times(now: float, by_age: Iterable[int]) -> list[tuple[float, int]]:
    """Return the latest possible time and the tokens of each reported interval.

    Parameters
    ----------
    now : float
        Monotonic time at which the report arrived, in seconds. A delay of the report
        makes its charges look younger, which lowers the derived level.
    by_age : iterable of int
        Result of `ChargeHistory.by_age`.
    """
    return [
        (now - max(0, age - 1) * INTERVAL_S, tokens)
        for age, tokens in enumerate(by_age)
        if tokens
    ]


def bucket_deficit(
    now: float, rate: float, charges: Iterable[tuple[float, int]]
) -> float:
    """Return the tokens missing from a bucket that was full before the charges.

    This is the largest number, over all times up to ``now``, of the tokens charged
    since then less those refilled since then.

    Parameters
    ----------
    now : float
        Monotonic time in seconds.
    rate : float
        Refill in tokens a second.
    charges : iterable of tuple
        Times and tokens of the charges, in any order.
    """
    deficit = charged_tokens = 0.0
    for at, tokens in sorted(charges, reverse=True):
        charged_tokens += tokens
        deficit = max(deficit, charged_tokens - rate * (now - at))
    return deficit
