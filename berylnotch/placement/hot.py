"""Rates of prefixes, from which the number of their homes follows."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

from attrs import define

from berylnotch.placement.model import Level

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
        for depth in level_depths(len(chain)):
            prefix = chain[depth - 1]
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

    def levels(
        self, now: float, chain: tuple[bytes, ...], above_share: bool = False
    ) -> tuple[Level, ...]:
        """Return the homes of a prompt's prefixes, down to the first with one.

        Only the depths 1, 2, 4, ... and the whole prompt select homes. So
        routers that know different rates, or none yet, select by the same
        hashes.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        chain : tuple of bytes
            Hashes of the prompt's prefixes.
        above_share : bool, default=False
            Whether the organisation uses more than its share.

        Returns
        -------
        tuple of Level
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
        warm_s = self._settings.busy_warm_s if above_share else self._settings.warm_s
        warm = warm_s * self._settings.answer_routers / seconds
        levels = []
        for depth in level_depths(len(chain)):
            homes = self._homes(now, chain[depth - 1], warm)
            levels.append(Level(depth, homes))
            if homes == 1:
                break
        return tuple(levels)

    def _homes(self, now: float, prefix: bytes, warm: float) -> int:
        rate = self._rates.get(prefix)
        keeps = int(warm * self._decayed(now, rate)) if rate else 0
        # Powers of two, so that routers with other rates mostly agree.
        return 1 << max(0, keeps.bit_length() - 1)

    def _decayed(self, now: float, rate: _Rate) -> float:
        return rate.weight * math.exp((rate.at - now) / self._settings.hot_tau_s)


def level_depths(pieces: int) -> tuple[int, ...]:
    """Return the depths that select homes: 1, 2, 4, ... and the last."""
    depths = [1 << bit for bit in range(pieces.bit_length())]
    if depths and depths[-1] != pieces:
        depths.append(pieces)
    return tuple(depths)
