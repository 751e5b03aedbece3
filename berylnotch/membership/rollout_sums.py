"""Sums of the routers' reports about one rollout."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, evolve

from berylnotch.group.rollouts import OTHER_VERSIONS, RolloutReport, RolloutRow

#: Interval in seconds between two records of the sums; they tell what was reported in
#: the newest seconds.
RECORD_INTERVAL_S = 0.5

#: Shortest time in seconds over which a rate is measured. Routers report every 0.15 s
#: to 0.8 s, depending on their number.
MIN_RATE_S = 1.0

#: Route and engine of a row.
_Key = tuple[str, str]


@define
class _Sums:
    """Sums at one time in seconds."""

    at: float
    requests: int
    exposed: int
    rows: dict[_Key, RolloutRow]


class RolloutSums:
    """Sums over all router processes, those that have ended included.

    Routers report cumulative counts, so each report replaces the previous one of its
    process. The first report of a process to this leader may hold counts of any age; it
    is not taken for recent.

    Parameters
    ----------
    now : float
        Current time in seconds.
    recent_s : float
        Number of seconds that count as recent.
    """

    def __init__(self, now: float, recent_s: float) -> None:
        self._recent_s = recent_s
        self._newest: dict[str, RolloutReport] = {}
        self._rows_by_process: dict[str, dict[_Key, RolloutRow]] = {}
        self._total = _Sums(now, 0, 0, {})
        self._records = [_Sums(now, 0, 0, {})]
        self._mark = _Sums(now, 0, 0, {})

    @property
    def requests(self) -> int:
        """Number of attempts at any engine of the service."""
        return self._total.requests

    @property
    def exposed(self) -> int:
        """Number of attempts at engines of the candidate."""
        return self._total.exposed

    @property
    def answers(self) -> int:
        """Number of responses of the candidate, failures included."""
        return _answers(self._total)

    @property
    def failures(self) -> int:
        """Number of failed responses of the candidate."""
        return sum(r.failures for r in self._total.rows.values() if r.target_id)

    def add(self, process: str, report: RolloutReport) -> None:
        """Add the newest report of a router process."""
        previous = self._newest.get(process)
        requests, exposed = report.requests, report.exposed
        if previous is not None:
            # A report from a link that was replaced can arrive late.
            if requests < previous.requests or exposed < previous.exposed:
                return
            requests -= previous.requests
            exposed -= previous.exposed
        self._newest[process] = report
        sums = [self._total]
        if previous is None:
            sums += [*self._records, self._mark]
        for total in sums:
            total.requests += requests
            total.exposed += exposed
        rows = self._rows_by_process.setdefault(process, {})
        for row in report.rows:
            key = row.route, row.target_id
            old = rows.get(key)
            if row == old:
                continue
            rows[key] = row
            delta = row if old is None else _combine(row, old, -1)
            for total in sums:
                known = total.rows.get(key)
                total.rows[key] = delta if known is None else _combine(known, delta, 1)

    def advance(self, now: float) -> None:
        """Record the sums from time to time, and drop what is not recent any more."""
        if now - self._records[-1].at < RECORD_INTERVAL_S:
            return
        self._records.append(self._copy(now))
        while len(self._records) > 1 and now - self._records[1].at >= self._recent_s:
            del self._records[0]

    def mark(self, now: float) -> None:
        """Remember the current sums for `answers_since_mark`."""
        self._mark = self._copy(now)

    @property
    def answers_since_mark(self) -> int:
        """Number of the candidate's responses since the mark."""
        return self.answers - _answers(self._mark)

    @property
    def reported_step(self) -> tuple[float, int]:
        """Share of the last step of any leader, and the candidate's responses since."""
        reports = self._newest.values()
        share = max((report.step_share for report in reports), default=0.0)
        return share, sum(report.step_answers for report in reports)

    def rate(self, now: float) -> float | None:
        """Return the attempts per second of late, None if they are not measured yet."""
        oldest = self._records[0]
        if now - oldest.at < MIN_RATE_S:
            return None
        return (self._total.requests - oldest.requests) / (now - oldest.at)

    def rows(self, is_matched: bool = False) -> tuple[RolloutRow, ...]:
        """Return the responses by route and engine.

        With ``is_matched``, responses of the other versions before the mark count less:
        the candidate gets a larger part of its requests after the mark than they do. A
        stall that hits both versions then would make the candidate look slow otherwise.
        """
        rows = self._total.rows
        return tuple(
            self._matched(rows[key]) if is_matched and not key[1] else rows[key]
            for key in sorted(rows)
        )

    def _matched(self, row: RolloutRow) -> RolloutRow:
        """Return the row of the other versions with the times of the candidate."""
        before = self._mark.rows.get((row.route, OTHER_VERSIONS))
        old = _answers(self._mark, row.route)
        new = _answers(self._total, row.route) - old
        if before is None or not before.answers or not new:
            return row
        after = _combine(row, before, -1)
        part = old * after.answers / (new * before.answers)
        if not after.answers or part >= 1.0:
            return row
        return _combine(_scaled(before, part), after, 1)

    def recent_rows(self, is_since_mark: bool) -> tuple[RolloutRow, ...]:
        """Return the responses of the newest seconds, or of those since the mark.

        The shorter of both periods counts.
        """
        base = self._records[0]
        if is_since_mark and self._mark.at > base.at:
            base = self._mark
        return tuple(_since(base.rows, self._total.rows))

    def _copy(self, now: float) -> _Sums:
        return evolve(self._total, at=now, rows=dict(self._total.rows))


def _answers(sums: _Sums, route: str | None = None) -> int:
    """Return the number of the candidate's responses, on one route or on all."""
    return sum(
        row.answers
        for row in sums.rows.values()
        if row.target_id and route in (None, row.route)
    )


def _scaled(row: RolloutRow, part: float) -> RolloutRow:
    """Return a part of a row; rare responses are rounded up."""
    return RolloutRow(
        row.route,
        row.target_id,
        math.ceil(part * row.answers),
        math.ceil(part * row.failures),
        tuple(math.ceil(part * n) for n in row.first_event),
        tuple(math.ceil(part * n) for n in row.pace),
    )


def _since(
    before: dict[_Key, RolloutRow], after: dict[_Key, RolloutRow]
) -> Iterable[RolloutRow]:
    for key in sorted(after):
        row, old = after[key], before.get(key)
        if old is not None:
            row = _combine(row, old, -1)
        if row.answers:
            yield row


def _combine(row: RolloutRow, other: RolloutRow, sign: int) -> RolloutRow:
    """Return a row plus or minus another one."""
    return RolloutRow(
        row.route,
        row.target_id,
        row.answers + sign * other.answers,
        row.failures + sign * other.failures,
        _combine_histograms(row.first_event, other.first_event, sign),
        _combine_histograms(row.pace, other.pace, sign),
    )


def _combine_histograms(
    one: tuple[int, ...], other: tuple[int, ...], sign: int
) -> tuple[int, ...]:
    if not other:
        return one
    one = one or (0,) * len(other)
    return tuple(a + sign * b for a, b in zip(one, other, strict=False))
