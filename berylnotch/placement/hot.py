"""Request rates of prefixes, which determine the number of homes of each prefix.

The homes of a prefix are the targets that are preferred for requests with this prefix.
"""

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
    decayed_count: float
    updated_at: float


class HotPrefixes:
    """Exponentially decayed request rates of the prefixes that this router placed.

    Parameters
    ----------
    settings : PlacementSettings
        Time constant, size limits, and the retention time of the engines' caches.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._started_at: float | None = None
        self._rates: OrderedDict[bytes, _Rate] = OrderedDict()

    def __len__(self) -> int:
        return len(self._rates)

    def record_request(self, now: float, chain: tuple[bytes, ...]) -> None:
        """Count a placed request for each of its prefixes.

        One request adds at most ``max_new_rates`` new prefixes, so that a prompt that
        is not repeated takes little memory.
        """
        if self._started_at is None:
            self._started_at = now
        added = 0
        for depth in level_depths(len(chain)):
            prefix = chain[depth - 1]
            rate = self._rates.get(prefix)
            if rate is not None:
                rate.decayed_count = 1.0 + self._decayed(now, rate)
                rate.updated_at = now
                self._rates.move_to_end(prefix)
                continue
            self._rates[prefix] = _Rate(1.0, now)
            added += 1
            if added == self._settings.max_new_rates:
                break
        while len(self._rates) > self._settings.max_rates:
            self._rates.popitem(last=False)

    def levels(
        self, now: float, chain: tuple[bytes, ...], above_share: bool = False
    ) -> tuple[Level, ...]:
        """Return the number of homes for a prompt's prefixes, shallowest first.

        The last level returned is the first with a single home. Only the depths 1, 2,
        4, ... and the whole prompt select homes, so that routers with different rates,
        or without rates, select by the same hashes.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        chain : tuple of bytes
            Prefix hashes of the prompt.
        above_share : bool, default=False
            Whether the organisation uses more than its share; its prefixes then get
            fewer homes.

        Returns
        -------
        tuple of Level
            Empty during the warm-up of the rates, when the ranking uses its default
            level.
        """
        if self._started_at is None:
            return ()
        age_s = now - self._started_at
        if age_s < self._settings.rate_warmup_s:
            return ()
        # The effective window is shorter than the time constant at first; without
        # this correction, rates would be too low in the first seconds.
        time_constant_s = self._settings.rate_time_constant_s
        window_s = time_constant_s * -math.expm1(-age_s / time_constant_s)
        retention_s = (
            self._settings.over_share_retention_s
            if above_share
            else self._settings.retention_s
        )
        homes_per_count = (
            retention_s * self._settings.routers_per_organisation / window_s
        )
        levels = []
        for depth in level_depths(len(chain)):
            homes = self._home_count(now, chain[depth - 1], homes_per_count)
            levels.append(Level(depth, homes))
            if homes == 1:
                break
        return tuple(levels)

    def _home_count(self, now: float, prefix: bytes, homes_per_count: float) -> int:
        rate = self._rates.get(prefix)
        sustained_homes = int(homes_per_count * self._decayed(now, rate)) if rate else 0
        # Rounded down to a power of two, so that routers with slightly different rates
        # mostly select the same homes.
        return 1 << max(0, sustained_homes.bit_length() - 1)

    def _decayed(self, now: float, rate: _Rate) -> float:
        return rate.decayed_count * math.exp(
            (rate.updated_at - now) / self._settings.rate_time_constant_s
        )


def level_depths(blocks: int) -> tuple[int, ...]:
    """Return the depths that select homes: 1, 2, 4, ... and the whole chain."""
    depths = [1 << bit for bit in range(blocks.bit_length())]
    if depths and depths[-1] != blocks:
        depths.append(blocks)
    return tuple(depths)
