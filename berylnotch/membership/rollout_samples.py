"""Counts of failed and slow responses of a candidate version, with what to expect."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum

from attrs import frozen

from berylnotch.group.rollouts import RolloutRow
from berylnotch.membership.rollout_statistics import (
    MIN_REFERENCE_ANSWERS,
    Count,
    add_histograms,
    estimate_share,
    slow_buckets,
)

#: Share of failures above which a version is bad even if the others fail as much. A
#: reference that fails more lets expect no more than this.
ABSOLUTE_FAILURE_SHARE = 0.2

#: Smallest expected shares. Noise such as a full queue fails less than 0.005 of the
#: responses. A slow response costs less than a failed one, and 0.02 of them may be
#: slower by load that the other versions don't have.
MIN_FAILURE_SHARE, MIN_SLOW_SHARE = 0.005, 0.02

#: Largest expected share of slow responses. The median bound leaves at most half above.
MAX_SLOW_SHARE = 0.5

#: Buckets by which bounds of first events are raised while prefix caches may be empty.
#: These make first events up to 3 times slower, 3.2 buckets; the bounds are 2 buckets
#: above the median already, and the third one is for the spread of times.
COLD_CACHE_BUCKETS = 3

#: Number of all responses over those of the newest 3 s from which on caches count as
#: filled: at an even share 6.6 s after the order, when the newest began 3.6 s after it.
#: A larger share sends requests to engines with empty caches, and starts this anew.
SETTLED_FACTOR = 2.2


class Kind(Enum):
    """What is wrong with a response; the value is the description for logs."""

    FAILURES = "failures"
    FIRST_EVENT = "slow first events"
    PACE = "slow pace"


@frozen
class Samples:
    """Counts of the candidate's responses in all and in the newest evidence.

    Parameters
    ----------
    routes : tuple of str
        Routes with responses of any version, sorted.
    stream_routes : frozenset of str
        Routes whose responses have a pace.
    answers : int
        Number of the candidate's responses in all evidence.
    reference_answers : dict of str to int
        Number of the other versions' responses in all evidence, by route.
    counts : dict of tuple to tuple of Count
        Counts for each bound by kind, route, and whether the evidence is the newest.
    """

    routes: tuple[str, ...]
    stream_routes: frozenset[str]
    answers: int
    _reference_answers: dict[str, int]
    _counts: dict[tuple[Kind, str, bool], tuple[Count, ...]]

    @property
    def kinds(self) -> tuple[Kind, ...]:
        """Kinds that the service's responses can be judged by."""
        if self.stream_routes:
            return (Kind.FAILURES, Kind.FIRST_EVENT, Kind.PACE)
        return (Kind.FAILURES, Kind.FIRST_EVENT)

    def is_needed(self, kind: Kind, route: str) -> bool:
        """Return whether a good version must be shown not to be bad in a kind.

        A stream's slowness is ruled out by its pace: its first events may be slow for
        lack of cached prefixes. Routes without a target latency have no times.
        """
        if kind is Kind.FAILURES:
            return True
        has_times = bool(self._counts.get((kind, route, False)))
        return has_times and (kind is Kind.PACE) == (route in self.stream_routes)

    def may_be_cold(self, kind: Kind, routes: Iterable[str]) -> bool:
        """Return whether slowness may come from empty prefix caches."""
        return kind is Kind.FIRST_EVENT and not self.stream_routes.isdisjoint(routes)

    def strata(
        self, kind: Kind, routes: Iterable[str], is_recent: bool
    ) -> list[tuple[Count, ...]]:
        """Return the counts of routes that have a reference, for each bound."""
        found = (self._counts.get((kind, route, is_recent)) for route in routes)
        return [counts for counts in found if counts]

    def counts(self, kind: Kind, routes: Iterable[str], is_recent: bool) -> list[Count]:
        """Return one count for each route that has a reference, at the first bound."""
        return [counts[0] for counts in self.strata(kind, routes, is_recent)]

    @property
    def reference_answers(self) -> int:
        """Number of the other versions' responses."""
        return sum(self._reference_answers.values())

    def reference_share(self, route: str) -> float:
        """Return a route's share of the responses at the other versions."""
        total = self.reference_answers
        return self._reference_answers.get(route, 0) / total if total else 0.0


@frozen
class _Sums:
    """Sums of rows of one route over engines."""

    answers: int = 0
    failures: int = 0
    first_event: tuple[int, ...] = ()
    pace: tuple[int, ...] = ()

    @property
    def responses(self) -> int:
        """Number of responses, those included of which only the time is known yet."""
        return max(self.answers, sum(self.first_event))


_NO_SUMS = _Sums()


def sample_rollout(
    total: Sequence[RolloutRow], recent: Sequence[RolloutRow]
) -> Samples:
    """Return the counts for the rows of all and of the newest responses."""
    tables = {False: _sum_by_route(total), True: _sum_by_route(recent)}
    references = {r: s for (r, is_other), s in tables[False].items() if is_other}
    routes = tuple(sorted({route for route, _ in tables[False]}))
    streams = frozenset(r for r, s in references.items() if sum(s.pace))
    candidates = {
        is_recent: [s for (_, is_other), s in table.items() if not is_other]
        for is_recent, table in tables.items()
    }
    responses, newest = (sum(s.responses for s in candidates[w]) for w in (False, True))
    is_cold = responses < SETTLED_FACTOR * newest
    counts = {}
    for is_recent, table in tables.items():
        for route in routes:
            candidate = table.get((route, False), _NO_SUMS)
            reference = _choose_reference(
                table.get((route, True), _NO_SUMS), route, references
            )
            more = COLD_CACHE_BUCKETS if is_cold and route in streams else 0
            counts[Kind.FAILURES, route, is_recent] = _count_failures(
                candidate, reference
            )
            counts[Kind.FIRST_EVENT, route, is_recent] = _count_slow(
                candidate.first_event, reference.first_event, 1.0, more
            )
            counts[Kind.PACE, route, is_recent] = _count_slow(
                candidate.pace, reference.pace, _weight(candidate), 0
            )
    answers = sum(s.answers for s in candidates[False])
    reference_answers = {r: s.answers for r, s in references.items()}
    return Samples(routes, streams, answers, reference_answers, counts)


def _choose_reference(newest: _Sums, route: str, totals: dict[str, _Sums]) -> _Sums:
    """Return the other versions' sums of the same time if they are large enough.

    During the shift there are no new ones. A route with few responses is compared with
    the failures of all routes; there is nothing to compare its times with.
    """
    if newest.responses >= MIN_REFERENCE_ANSWERS:
        return newest
    total = totals.get(route, _NO_SUMS)
    if total.responses >= MIN_REFERENCE_ANSWERS:
        return total
    return _Sums(
        sum(s.answers for s in totals.values()),
        sum(s.failures for s in totals.values()),
    )


def _sum_by_route(rows: Sequence[RolloutRow]) -> dict[tuple[str, bool], _Sums]:
    """Return sums by route and whether the engines are of the other versions."""
    groups: dict[tuple[str, bool], list[RolloutRow]] = {}
    for row in rows:
        if row.answers or any(row.first_event):
            groups.setdefault((row.route, not row.target_id), []).append(row)
    return {
        key: _Sums(
            sum(r.answers for r in group),
            sum(r.failures for r in group),
            add_histograms(r.first_event for r in group),
            add_histograms(r.pace for r in group),
        )
        for key, group in groups.items()
    }


def _weight(sums: _Sums) -> float:
    """Return the weight of a pace, so that a stream counts at most once.

    The events of a stream are alike and therefore no evidence of their own.
    """
    events = sum(sums.pace)
    return min(1.0, sums.responses / events) if events else 1.0


def _count_failures(candidate: _Sums, reference: _Sums) -> tuple[Count, ...]:
    expected = estimate_share(
        reference.failures,
        reference.answers,
        MIN_FAILURE_SHARE,
        ABSOLUTE_FAILURE_SHARE,
    )
    return (Count(candidate.failures, candidate.answers, expected),)


def _count_slow(
    candidate: Sequence[int], reference: Sequence[int], weight: float, more: int
) -> tuple[Count, ...]:
    """Return the counts above each bound, empty without a reference."""
    reference_answers = sum(reference)
    if reference_answers < MIN_REFERENCE_ANSWERS:
        return ()
    return tuple(
        Count(
            weight * sum(candidate[bucket + 1 :]),
            weight * sum(candidate),
            estimate_share(
                sum(reference[bucket + 1 :]),
                reference_answers,
                MIN_SLOW_SHARE,
                MAX_SLOW_SHARE,
            ),
        )
        for bucket in slow_buckets(reference, more)
    )
