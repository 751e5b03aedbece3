"""Checks of the guarantees that must hold during a soak test."""

from __future__ import annotations

import json
import threading

from attrs import define, field

from tests.fleet.limits import (
    NOTICE_S,
    WINDOW_S,
    allowed_in_a_window,
    most_in_a_window,
)
from tests.fleet.platform import StandInTarget
from tests.fleet.processes import Answer


@define(eq=False)
class LimitPeriod:
    """Time in which a target named a limit, in seconds of the monotonic clock."""

    target: StandInTarget
    limit_per_s: float
    began_at: float
    ended_at: float


@define
class Observations:
    """Answers to callers and operators, and the violated guarantees.

    ``refused`` holds the requests with an answer of status 429 or 503, ``booked`` the
    sent booking requests, ``violations`` a message for each violation, and ``limits``
    the times in which targets named a limit.
    """

    answers: int = 0
    served: int = 0
    refused: set[str] = field(factory=set)
    booked: set[str] = field(factory=set)
    acked_version: int = 0
    violations: list[str] = field(factory=list)
    limits: list[LimitPeriod] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def record_caller_answer(
        self, request_id: str, kind: str, answer: Answer | None
    ) -> None:
        """Record the answer to a caller's request and check its body."""
        with self._lock:
            self.answers += 1
            if kind == "book":
                self.booked.add(request_id)
            if answer is None:
                return
            if answer.status in (429, 503):
                self.refused.add(request_id)
            if answer.status == 200 and answer.is_whole:
                self.served += 1
                self._check_body(request_id, kind, answer.body)

    def record_acked_version(self, version: int) -> None:
        """Record the version of an acknowledged configuration."""
        with self._lock:
            self.acked_version = max(self.acked_version, version)

    def check_configuration_read(
        self, earlier_acked_version: int, answer: Answer | None
    ) -> None:
        """Check that a read returns no version older than one acknowledged earlier."""
        if answer is None or answer.status != 200:
            return
        version = json.loads(answer.body)["version"]
        if version < earlier_acked_version:
            self.record_violation(
                f"read version {version} after {earlier_acked_version} was acknowledged"
            )

    def record_limit(
        self, target: StandInTarget, began_at: float, ended_at: float
    ) -> None:
        """Record that a target named a limit until now."""
        period = LimitPeriod(target, target.limit_per_s, began_at, ended_at)
        self.limits.append(period)

    def check_limits(self) -> None:
        """Check the requests of all routers together at targets with a limit."""
        for period in self.limits:
            begin = period.began_at + NOTICE_S
            arrivals = period.target.arrivals
            times = [t for t in arrivals if begin <= t < period.ended_at]
            most, allowed = (
                most_in_a_window(times),
                allowed_in_a_window(period.limit_per_s),
            )
            if most > allowed:
                self.record_violation(
                    f"{period.target.target_id} got {most} requests in {WINDOW_S:g} s "
                    f"with a limit of {period.limit_per_s:g}/s, {allowed:g} allowed"
                )

    def check_targets(self, targets) -> None:
        """Check the requests that the targets received and ran.

        A booking request runs at most once, a refused booking request does not run,
        and no target receives a caller's key.
        """
        executed = [request_id for target in targets for request_id in target.runs]
        for request_id in self.booked:
            if executed.count(request_id) > 1:
                self.record_violation(
                    f"{request_id} ran {executed.count(request_id)} times"
                )
        for request_id in self.refused:
            if request_id in self.booked and request_id in executed:
                self.record_violation(
                    f"{request_id} was refused as not run, but a target ran it"
                )
        for target in targets:
            if any("authorization" in headers for headers in target.seen):
                self.record_violation(f"{target.target_id} received a caller's key")

    def record_violation(self, violation: str) -> None:
        """Record the violation of a guarantee."""
        self.violations.append(violation)

    def _check_body(self, request_id: str, kind: str, body: bytes) -> None:
        if kind == "chat":
            count = body.count(b"\n\n")
            expected_events = [
                b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, count + 1)
            ]
            if body != b"".join(expected_events) or count == 0:
                self.violations.append(
                    f"{request_id}: stream has missing, repeated or reordered events"
                )
        elif body != b"answer to " + request_id.encode():
            self.violations.append(f"{request_id}: got {body[:60]!r}")
