"""Sums of the routers' measurements of how fast targets are, at the leader."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable

from attrs import define, field

from berylnotch.group.columns import TargetNumbers
from berylnotch.group.messages import RouterReport, TargetEntry
from berylnotch.group.speed_columns import (
    UNKNOWN,
    decode_records,
    encode_speed,
    start_check,
)
from berylnotch.membership.listing import ListedTarget
from berylnotch.placement.engine_speed import PRIOR_WEIGHT, RatioSums, relative_logs

#: Interval in seconds at which the estimates are sent. They change over seconds, so
#: they need not be in each of the load updates, of which there are up to ten a second.
SPEEDS_INTERVAL_S = 1.0

#: Seconds from the first measurement until a leader sends its estimates. A leader that
#: has just started knows less than the routers, which keep what the previous one sent.
SETTLE_S = 3.0

#: Weight of a target's measurements below which nothing is sent about it.
MIN_WEIGHT = 0.5

#: Logarithm of a factor below which a target counts as usual: half of the routers'
#: dead zone. The column of a fleet of like engines thus hardly varies and is compressed
#: to a few bytes.
USUAL_LOG = math.log(1.07)

#: Logarithms of the ratio of the highest to the lowest estimate of a service: its
#: targets count as unlike from the first, and as alike again below the second. Queues
#: alone separate the estimates of like engines at 0.75 of the capacity by up to 1.6; in
#: simulations with a limit of 1, 0.01 of the requests more were late.
UNLIKE_LOG, ALIKE_LOG = math.log(1.7), math.log(1.35)

#: Weight of the assumption that targets are alike when it is decided whether they are.
#: It is lower than that of the estimates: a very slow target gets so few requests that
#: its estimate remains near 1, although its few measurements are clear.
ALIKE_WEIGHT = 4.0


@define
class _TargetSums:
    """Measurements of one process of a target."""

    listed: ListedTarget
    sums: RatioSums = field(factory=RatioSums)


class SpeedSums:
    """Measurements of all routers, by target.

    A target that restarts begins without measurements.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _TargetSums] = {}
        self._sent_at = -math.inf
        self._measured_at: float | None = None
        #: Newest column, and the time at which it was computed. Hundreds of routers may
        #: connect at the same time.
        self._column, self._column_at = b"", -math.inf
        #: Services whose targets differ clearly.
        self._unlike: set[str] = set()

    def store_targets(self, entries: Iterable[TargetEntry], is_whole: bool) -> None:
        """Store listed targets; with ``is_whole`` there are no others."""
        entries = tuple(entries)
        if is_whole:
            listed_ids = {entry.target.target_id for entry in entries}
            for target_id in self._targets.keys() - listed_ids:
                del self._targets[target_id]
                self._column_at = -math.inf
        for entry in entries:
            listed = entry.target
            known = self._targets.get(listed.target_id)
            if known is None or not _is_same_process(known.listed, listed):
                self._targets[listed.target_id] = _TargetSums(listed)
                self._column_at = -math.inf

    def add(self, now: float, report: RouterReport, numbers: TargetNumbers) -> None:
        """Add a report's measurements of targets that have not restarted since."""
        if report.speeds.numbering != numbers.numbering:
            return
        for record in decode_records(report.speeds):
            known = self._targets.get(numbers.target_id(record.number) or "")
            if known and start_check(known.listed.born_ms) == record.start_check:
                known.sums.add(now, record.weight, record.total)
                if self._measured_at is None:
                    self._measured_at = now

    def column_if_due(self, now: float, numbers: TargetNumbers) -> bytes:
        """Return the column of estimates once in an interval, else no bytes."""
        if now < self._sent_at + SPEEDS_INTERVAL_S:
            return b""
        column = self.column(now, numbers)
        if column:
            self._sent_at = now
        return column

    def column(self, now: float, numbers: TargetNumbers) -> bytes:
        """Return one byte for each target, no bytes while too little is known."""
        if self._measured_at is None or now < self._measured_at + SETTLE_S:
            return b""
        if now >= self._column_at + SPEEDS_INTERVAL_S:
            self._column, self._column_at = self._compute_column(now, numbers), now
        return self._column

    def _compute_column(self, now: float, numbers: TargetNumbers) -> bytes:
        by_service: dict[str, dict[str, RatioSums]] = {}
        for target_id, known in self._targets.items():
            known.sums.decay(now)
            if known.sums.weight >= MIN_WEIGHT:
                service = by_service.setdefault(known.listed.service, {})
                service[target_id] = known.sums
        if not by_service:
            return b""
        column = bytearray([UNKNOWN]) * numbers.count
        self._unlike &= by_service.keys()
        for service, sums in by_service.items():
            log_factors = relative_logs(now, sums)
            is_unlike = self._is_unlike(
                service,
                [
                    log_factor
                    * (sums[target_id].weight + PRIOR_WEIGHT)
                    / (sums[target_id].weight + ALIKE_WEIGHT)
                    for target_id, log_factor in log_factors.items()
                ],
            )
            for target_id, log_factor in log_factors.items():
                number = numbers.number(target_id)
                if number is not None:
                    is_usual = not is_unlike or abs(log_factor) < USUAL_LOG
                    column[number] = encode_speed(0.0 if is_usual else log_factor)
        return bytes(column)

    def _is_unlike(self, service: str, log_factors: Collection[float]) -> bool:
        """Tell whether the targets of a service differ more than by chance."""
        spread = max(log_factors) - min(log_factors)
        if spread >= UNLIKE_LOG:
            self._unlike.add(service)
        elif spread < ALIKE_LOG:
            self._unlike.discard(service)
        return service in self._unlike


def _is_same_process(known: ListedTarget, listed: ListedTarget) -> bool:
    return known.born_ms == listed.born_ms and known.address == listed.address
