"""Provides what a router knows of the speed of one target."""

from __future__ import annotations

from attrs import define, field

from berylnotch.placement.engine_speed import (
    PRIOR_WEIGHT,
    RatioSums,
    clip_log,
    decay_share,
    factor_of,
    shrunk_log,
)

#: Weight, in measurements, of the leader's estimate beside the measurements that the
#: router made since. The leader's estimate rests on the measurements of all routers.
SHARED_WEIGHT = 2 * PRIOR_WEIGHT

#: Seconds for which the leader's estimate counts in full. The leader sends it about
#: once a second while it has measurements.
SHARED_FRESH_S = 2.0

#: Share of its weight below which an estimate is dropped.
MIN_SHARE = 0.05


@define
class TargetSpeed:
    """Speed of one target relative to the others of its service.

    A target that restarts gets a new object, as it does not inherit the cause of an
    earlier slowness.

    Parameters
    ----------
    factor : float
        Factor on the expected times of requests, exactly 1 for a usual target.
    log_factor : float
        Logarithm of the estimate, also within the dead zone.
    was_usual : bool
        Whether the factor was 1 when it was last examined.
    logged_factor : float
        Factor in the newest log line of the target.
    logged_at : float
        Boot time of this line.
    """

    factor: float = 1.0
    log_factor: float = 0.0
    was_usual: bool = True
    logged_factor: float = 1.0
    logged_at: float = float("-inf")
    _own: RatioSums = field(factory=RatioSums)
    #: All measurements of this router, also those in the leader's estimate.
    _measured: RatioSums = field(factory=RatioSums)
    _unreported: RatioSums = field(factory=RatioSums)
    _shared_log: float | None = None
    _shared_at: float = 0.0

    def record(self, now: float, weight: float, log_ratio: float) -> None:
        """Add a measurement of this router."""
        self._own.add(now, weight, weight * log_ratio)
        self._measured.add(now, weight, weight * log_ratio)
        self._unreported.add(now, weight, weight * log_ratio)
        self.refresh(now)

    def apply_shared(self, now: float, log_factor: float) -> None:
        """Apply the leader's estimate, which contains the reported measurements."""
        self._shared_log, self._shared_at = clip_log(log_factor), now
        unreported = self._unreported
        self._own = RatioSums(unreported.weight, unreported.total, unreported.at)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Let the estimate return towards a factor of 1 as its measurements age."""
        self._own.decay(now)
        if self._shared_log is None:
            self.log_factor = shrunk_log(self._own)
        else:
            share = decay_share(now - self._shared_at - SHARED_FRESH_S)
            shared_log = share * self._shared_log
            self.log_factor = shrunk_log(self._own, shared_log, SHARED_WEIGHT)
            if share < MIN_SHARE:
                self._shared_log = None
        self.factor = factor_of(self.log_factor)

    @property
    def is_usual(self) -> bool:
        """Whether the target counts as fast as the others."""
        return self.factor == 1.0

    @property
    def is_unknown(self) -> bool:
        """Whether there is neither an estimate nor a recent measurement."""
        return self._shared_log is None and self._own.weight < MIN_SHARE

    def measured_weight(self, now: float) -> float:
        """Return the weight of this router's own recent measurements."""
        return self._measured.weight * decay_share(now - self._measured.at)

    def take_unreported(self, now: float) -> tuple[float, float]:
        """Return and reset the weight and sum of the measurements not yet reported."""
        sums, self._unreported = self._unreported, RatioSums()
        sums.decay(now)
        return sums.weight, sums.total
