"""Responses of a service's engines during a rollout, in sums for the leader.

The leader compares the candidate's engines with the engines of the other versions, so
both are counted by the same rules.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define, field

from berylnotch.entry.results import AttemptEnd
from berylnotch.group.rollouts import (
    FIRST_EVENT_LOWEST,
    HISTOGRAM_BUCKETS,
    OTHER_VERSIONS,
    PACE_LOWEST_MS,
    REMAINING_ENGINES,
    RolloutRow,
    histogram_bucket,
)

if TYPE_CHECKING:
    from berylnotch.entry.routed_request import RoutedRequest

#: Largest number of rows for single candidate engines. With the row of the other
#: versions and the row of the remaining engines of each route, a report of a service
#: has at most 24 rows and two for each route. A router that sends 5 requests/s to 45
#: candidate engines reaches about 15 engines within a shift of 3 s.
MAX_ENGINE_ROWS = 24

#: Number of events after the first from which the pace of a stream is measured. The
#: pace is known long before a slow stream ends, and each stream counts once.
PACE_EVENTS = 16


@define
class _Sums:
    """Sums of one row."""

    answers: int = 0
    failures: int = 0
    first_event: list[int] = field(factory=lambda: [0] * HISTOGRAM_BUCKETS)
    pace: list[int] = field(factory=lambda: [0] * HISTOGRAM_BUCKETS)


class RolloutEvidence:
    """Sums of the responses by route and engine since the rollout is known."""

    def __init__(self) -> None:
        self._sums: dict[tuple[str, str], _Sums] = {}
        #: Keys of the sums that changed since the last rows were taken.
        self._changed: set[tuple[str, str]] = set()
        self._engine_rows = 0

    def of(self, route: str, target_id: str) -> _Sums:
        """Return the sums of a route at a candidate engine, or at other versions.

        The caller changes them.
        """
        sums = self._sums.get((route, target_id))
        if sums is not None:
            self._changed.add((route, target_id))
            return sums
        if target_id not in (OTHER_VERSIONS, REMAINING_ENGINES):
            if self._engine_rows >= MAX_ENGINE_ROWS:
                return self.of(route, REMAINING_ENGINES)
            self._engine_rows += 1
        sums = self._sums[route, target_id] = _Sums()
        self._changed.add((route, target_id))
        return sums

    @property
    def candidate_answers(self) -> int:
        """Number of responses of the candidate, failures included."""
        return sum(
            sums.answers
            for (_, target_id), sums in self._sums.items()
            if target_id != OTHER_VERSIONS
        )

    def take_rows(self, is_whole: bool) -> tuple[RolloutRow, ...]:
        """Return the rows of a report, without rows that have no response.

        Parameters
        ----------
        is_whole : bool
            Whether the rows that did not change since the last call are included.
        """
        changed, self._changed = self._changed, set()
        return tuple(
            RolloutRow(
                route,
                target_id,
                sums.answers,
                sums.failures,
                tuple(sums.first_event) if any(sums.first_event) else (),
                tuple(sums.pace) if any(sums.pace) else (),
            )
            for (route, target_id), sums in self._sums.items()
            if (is_whole or (route, target_id) in changed)
            and (sums.answers or any(sums.first_event))
        )


class AttemptEvidence:
    """Records what becomes of one attempt.

    Parameters
    ----------
    evidence : RolloutEvidence
        Sums to which the attempt is added.
    routed : RoutedRequest
        The request.
    target_id : str
        Candidate engine that got the request, or ``OTHER_VERSIONS``.
    expected_s : float
        Time in seconds within which the first event of a stream was expected.
    sent_at : float
        Boot time at which the attempt began.
    """

    def __init__(
        self,
        evidence: RolloutEvidence,
        routed: RoutedRequest,
        target_id: str,
        expected_s: float,
        sent_at: float,
    ) -> None:
        self._evidence = evidence
        self._route = routed.route.name
        self._is_stream = routed.is_stream
        self._target_id = target_id
        latency_s = routed.route.target_latency_s
        #: Time of the first event, or of a plain answer, that counts as 1; 0 without an
        #: expected time.
        self._due_s = expected_s if self._is_stream else latency_s
        self._sent_at = sent_at
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self._events = 0
        self._has_ended = False

    def discard(self) -> None:
        """Drop the attempt: this router ended it for a reason of its own."""
        self._has_ended = True

    def on_event(self, now: float) -> None:
        """Record an event of the stream."""
        self._events += 1
        self._last_event_at = now
        if self._events == 1:
            self._first_event_at = now
            self._add_time(now)
        elif self._events == PACE_EVENTS + 1:
            self._add_pace()

    def on_end(self, now: float, end: AttemptEnd, status: int) -> None:
        """Record the end of an attempt by the target or the connection.

        Parameters
        ----------
        now : float
            Boot time in seconds.
        end : AttemptEnd
            Outcome of the attempt.
        status : int
            HTTP status of the answer, 0 without one.
        """
        if end in (AttemptEnd.NOT_RUN, AttemptEnd.NOT_REACHED):
            self._has_ended = True
        else:
            has_failed = end is AttemptEnd.BROKEN or status >= 500
            if end is AttemptEnd.ANSWERED and not self._is_stream and not has_failed:
                self._add_time(now)
            self._count(has_failed)

    def on_unanswered(self, now: float, is_overdue: bool) -> None:
        """Record an attempt that ended before its answer.

        An overdue answer is a failure. Otherwise the caller, its own deadline or the
        stop of this router ended the attempt. If it had lasted longer than expected by
        then, its time counts as the least that the answer would have taken. Callers
        leave slow targets, so a slow version would have no times otherwise.
        """
        if self._has_ended:
            return
        if is_overdue:
            self._count(has_failed=True)
            return
        if not self._events and now - self._sent_at > self._due_s:
            self._add_time(now)
        self._has_ended = True

    def _count(self, has_failed: bool) -> None:
        if self._has_ended:
            return
        self._has_ended = True
        sums = self._evidence.of(self._route, self._target_id)
        sums.answers += 1
        sums.failures += has_failed
        if 2 <= self._events <= PACE_EVENTS and not has_failed:
            self._add_pace()

    def _add_time(self, now: float) -> None:
        if self._due_s > 0 and not self._has_ended:
            ratio = (now - self._sent_at) / self._due_s
            sums = self._evidence.of(self._route, self._target_id)
            sums.first_event[histogram_bucket(ratio, FIRST_EVENT_LOWEST)] += 1

    def _add_pace(self) -> None:
        took_s = self._last_event_at - self._first_event_at
        pace_ms = 1000 * took_s / (self._events - 1)
        sums = self._evidence.of(self._route, self._target_id)
        sums.pace[histogram_bucket(pace_ms, PACE_LOWEST_MS)] += 1
