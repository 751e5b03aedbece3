"""Estimate of how much slower or faster a target is than others of its service.

The estimate is a factor on the expected time of a request: the mean of the logarithms
of measured times relative to the expected times. Recent measurements count most. The
estimate is shrunk towards a factor of 1 while there are few measurements.
"""

from __future__ import annotations

import math
from collections.abc import Hashable, Mapping
from typing import TypeVar

from attrs import define

#: Time in seconds in which the weight of a measurement halves. A target that a
#: neighbour slows down does so for several seconds, and at 1 request/s a shorter time
#: leaves too few measurements.
HALF_LIFE_S = 6.0

#: Weight, in measurements, of the assumption that a target is as fast as the others.
#: The logarithms of measured ratios scatter by about 0.4 (queues, cache misses). With
#: this weight, the scatter of the estimate is at most 0.05 for any number of
#: measurements, about a third of the dead zone.
PRIOR_WEIGHT = 16.0

#: Factor, and its inverse, within which a target counts as fast as the others, so that
#: services whose engines are alike are served as if nothing was measured.
DEAD_ZONE_FACTOR = 1.15

#: Bounds of the factor. A target that is slower than this is left to the ejection of
#: outliers.
MIN_FACTOR, MAX_FACTOR = 0.25, 8.0

#: Ratio to the current estimate to which a measurement is clipped, so that the first
#: measurement alone, at most ln(4) / 17 = 0.08, stays in the dead zone.
OUTLIER_FACTOR = 4.0

_MIN_LOG, _MAX_LOG = math.log(MIN_FACTOR), math.log(MAX_FACTOR)
_DEAD_ZONE_LOG, _OUTLIER_LOG = math.log(DEAD_ZONE_FACTOR), math.log(OUTLIER_FACTOR)

_Key = TypeVar("_Key", bound=Hashable)


@define
class RatioSums:
    """Weight and sum of logarithms of ratios, which halve every `HALF_LIFE_S`.

    Parameters
    ----------
    weight : float
        Sum of the weights of the measurements at time ``at``.
    total : float
        Sum of the weighted logarithms at time ``at``.
    at : float
        Time, in seconds, to which the sums refer.
    """

    weight: float = 0.0
    total: float = 0.0
    at: float = 0.0

    def add(self, now: float, weight: float, total: float) -> None:
        """Add a weight, and a sum of logarithms that has this weight."""
        self.decay(now)
        self.weight += weight
        self.total += total

    def decay(self, now: float) -> None:
        """Let the sums refer to a time."""
        share = decay_share(now - self.at)
        self.weight *= share
        self.total *= share
        self.at = max(self.at, now)


def decay_share(age_s: float) -> float:
    """Return the share of its weight that a measurement of an age still has."""
    return 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)


def shrunk_log(
    sums: RatioSums, prior_log: float = 0.0, prior_weight: float = PRIOR_WEIGHT
) -> float:
    """Return the logarithm of the factor, from measurements and a prior estimate."""
    total = sums.total + prior_weight * prior_log
    return clip_log(total / (sums.weight + prior_weight))


def relative_logs(now: float, sums: Mapping[_Key, RatioSums]) -> dict[_Key, float]:
    """Return the logarithms of the factors of one service's targets.

    Each factor is relative to the mean of all measurements. A misjudgement of the
    expected times that concerns all targets thus changes none of the factors.
    """
    for own in sums.values():
        own.decay(now)
    weight = sum(own.weight for own in sums.values())
    mean = sum(own.total for own in sums.values()) / weight if weight else 0.0
    return {
        key: shrunk_log(RatioSums(own.weight, own.total - mean * own.weight))
        for key, own in sums.items()
    }


def clip_log(log_factor: float) -> float:
    """Return the logarithm of a factor, limited to the bounds of the factor."""
    return min(_MAX_LOG, max(_MIN_LOG, log_factor))


def clip_outlier(log_ratio: float, expected_log: float) -> float:
    """Return a measured logarithm, limited to a distance from the expected one."""
    limited = min(expected_log + _OUTLIER_LOG, log_ratio)
    return max(expected_log - _OUTLIER_LOG, limited)


def factor_of(log_factor: float) -> float:
    """Return the factor to apply, exactly 1 within the dead zone."""
    if abs(log_factor) <= _DEAD_ZONE_LOG:
        return 1.0
    return math.exp(clip_log(log_factor))
