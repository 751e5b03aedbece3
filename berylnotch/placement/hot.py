"""Rates of prefixes, from which the number of their homes follows."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    from berylnotch.placement.settings import PlacementSettings


@define
class _Rate:
    weight: float
    at: float


class HotPrefixes:
    """Decayed rates of the prefixes that this router placed.

    Parameters
    ----------
    settings : PlacementSettings
        Time constant, size, and how many engines a rate keeps warm.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._started_at: float | None = None
        self._rates: OrderedDict[bytes, _Rate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rates)

    def count(self, now: float, chain: tuple[bytes, ...]) -> None:
        """Count a placed request for each of its prefixes.

        Levels that were not seen before are added a few at a time, so that a
        prompt that nobody repeats takes little room.
        """
        if self._started_at is None:
            self._started_at = now
        added = 0
        for prefix in chain:
            rate = self._rates.get(prefix)
            if rate is not None:
                rate.weight = 1.0 + self._decayed(now, rate)
                rate.at = now
                self._rates.move_to_end(prefix)
                continue
            self._rates[prefix] = _Rate(1.0, now)
            added += 1
            if added == self._settings.hot_new_levels:
                break
        while len(self._rates) > self._settings.hot_max:
            self._rates.popitem(last=False)

    def widths(self, now: float, chain: tuple[bytes, ...]) -> tuple[int, ...]:
        """Return the number of homes for each level, down to the first with one.

        Empty while too little was counted; ranking then uses its default.
        """
        if self._started_at is None:
            return ()
        age = now - self._started_at
        if age < self._settings.hot_warmup_s:
            return ()
        # The correction makes the estimate right from the first seconds on.
        tau = self._settings.hot_tau_s
        seconds = tau * -math.expm1(-age / tau)
        warm = self._settings.warm_s * self._settings.answer_routers / seconds
        widths = [0] * len(chain)
        self._fill(now, chain, warm, widths)
        if 1 in widths:
            del widths[widths.index(1) + 1 :]
        return tuple(widths)

    def _fill(
        self, now: float, chain: tuple[bytes, ...], warm: float, widths: list[int]
    ) -> None:
        """Fill in the widths, which fall with depth, from few rates."""
        if not chain:
            return
        last = len(chain) - 1
        widths[0] = self._width(now, chain[0], warm)
        widths[last] = self._width(now, chain[last], warm)
        spans = [(0, last)]
        while spans:
            low, high = spans.pop()
            if widths[low] == widths[high]:
                widths[low:high] = [widths[low]] * (high - low)
                continue
            middle = (low + high) // 2
            if middle == low:
                continue
            widths[middle] = self._width(now, chain[middle], warm)
            spans.append((low, middle))
            spans.append((middle, high))

    def _width(self, now: float, prefix: bytes, warm: float) -> int:
        rate = self._rates.get(prefix)
        keeps = int(warm * self._decayed(now, rate)) if rate else 0
        # Powers of two, so that routers with other rates mostly agree.
        return 1 << max(0, keeps.bit_length() - 1)

    def _decayed(self, now: float, rate: _Rate) -> float:
        return rate.weight * math.exp((rate.at - now) / self._settings.hot_tau_s)
