"""Checks of the guarantees that must hold during a soak test."""

from __future__ import annotations

import json
import math
import threading
import time
from collections.abc import Collection, Sequence

from attrs import define, field

from tests.fleet.limits import (
    NOTICE_S,
    WINDOW_S,
    allowed_in_a_window,
    most_in_a_window,
)
from tests.fleet.platform import StandInTarget
from tests.fleet.processes import Answer
from tests.fleet.stops import STOP_S, CallResult, lost_requests

#: Seconds before a request from which a fault of its router or a target excuses its
#: loss. It is the time after which the users count a machine as in touch again.
CONTACT_S = 3.0

#: Seconds after the end of a planned stop to which the users count its losses.
AFTER_STOP_S = 1.0

#: Shortest time-out of a route in a soak test, in seconds. A request that lasted as
#: long may have ended for it.
MIN_TIMEOUT_S = 4.0

#: Services that the requests of each kind go to.
SERVICES = {"chat": "llm", "book": "desk", "read": "desk"}


@define(eq=False)
class LimitPeriod:
    """Time in which a target had a limit, in seconds of the monotonic clock."""

    target: StandInTarget
    limit_per_s: float
    began_at: float
    ended_at: float


@define(eq=False)
class Fault:
    """Unplanned fault of a process or of a target and the connections to it.

    Times are in seconds of the monotonic clock; ``ended_at`` is infinite as long as the
    fault lasts.
    """

    subject: str
    began_at: float
    ended_at: float = math.inf


@define
class Observations:
    """Answers to callers and operators, and the violated guarantees.

    ``refused`` holds the requests with an answer of status 429 or 503, ``booked`` the
    sent booking requests, ``violations`` a message for each violation, ``limits`` the
    times in which targets named a limit, ``results`` those of all requests, ``stops``
    the names of stopped processes with the monotonic times of SIGTERM in seconds,
    ``judged`` the requests that the check of planned stops applied to, and
    ``completions`` the monotonic times at which completed rollouts were seen, with the
    names of the processes whose faults excuse a loss then.
    """

    answers: int = 0
    served: int = 0
    refused: set[str] = field(factory=set)
    booked: set[str] = field(factory=set)
    acked_version: int = 0
    violations: list[str] = field(factory=list)
    limits: list[LimitPeriod] = field(factory=list)
    results: list[CallResult] = field(factory=list)
    stops: list[tuple[str, float]] = field(factory=list)
    faults: list[Fault] = field(factory=list)
    judged: set[str] = field(factory=set)
    completions: list[tuple[float, frozenset[str]]] = field(factory=list)
    _lock: threading.Lock = field(factory=threading.Lock)

    def record_result(self, result: CallResult) -> None:
        """Record the result of a caller's request and check the body of its answer."""
        with self._lock:
            self.answers += 1
            self.results.append(result)
            if result.kind == "book":
                self.booked.add(result.request_id)
            if result.outcome == "refused":
                self.refused.add(result.request_id)
            if result.outcome == "served":
                self.served += 1
                self._check_body(result.request_id, result.kind, result.body)

    def record_fault(self, subject: str) -> Fault:
        """Record the begin of a fault, and return it."""
        fault = Fault(subject, time.monotonic())
        self.faults.append(fault)
        return fault

    def record_stop(self, name: str, signal_at: float) -> None:
        """Record a planned stop of a process."""
        self.stops.append((name, signal_at))

    def check_exit(self, name: str, signal_at: float) -> None:
        """Record that a process did not exit in time, unless a fault delayed it."""
        if not self.has_fault({name}, signal_at, time.monotonic()):
            self.record_violation(f"{name} did not exit within {STOP_S:g} s of SIGTERM")

    def check_planned_stops(self, targets: Sequence[StandInTarget]) -> None:
        """Check that no request is lost around a planned stop of its router.

        Requests with an unplanned fault at their router or at a target of their service
        are left out, and those whose time budget or route's time-out was reached.
        """
        run_ids = frozenset(i for target in targets for i in target.runs)
        for name, signal_at in self.stops:
            end_at = signal_at + STOP_S + AFTER_STOP_S
            results = [
                result
                for result in self.results
                if result.router == name
                and result.sent_at <= end_at
                and result.sent_at + result.took_s >= signal_at
                and self._is_judged(result, targets)
            ]
            self.judged.update(result.request_id for result in results)
            for result in lost_requests(results, lambda _, s=signal_at: s, run_ids):
                ran = "ran" if result.request_id in run_ids else "did not run"
                self.record_violation(
                    f"{result.request_id}, sent to {name} "
                    f"{result.sent_at - signal_at:.2f} s after SIGTERM, {ran} and was "
                    f"cut after {result.took_s:.2f} s"
                )

    def check_completions(self, targets: Sequence[StandInTarget]) -> None:
        """Check that no request is lost when a rollout's old targets stop."""
        for ended_at, processes in self.completions:
            until = ended_at + AFTER_STOP_S
            if self.has_fault(processes, ended_at, until):
                continue
            for result in self.results:
                is_then = ended_at - result.took_s <= result.sent_at <= until
                is_lost = is_then and result.outcome in ("cut", "failed")
                if is_lost and self._is_judged(result, targets):
                    self.record_violation(
                        f"{result.request_id} {result.outcome} with {result.status}, "
                        f"sent {result.sent_at - ended_at:.2f} s after a rollout ended"
                    )

    def _is_judged(self, result: CallResult, targets: Sequence[StandInTarget]) -> bool:
        service = SERVICES[result.kind]
        subjects = {t.target_id for t in targets if t.service == service}
        ended_at = result.sent_at + result.took_s
        has_time = result.took_s < min(MIN_TIMEOUT_S, result.deadline_s)
        return has_time and not self.has_fault(
            subjects | {result.router}, result.sent_at, ended_at
        )

    def has_fault(
        self, subjects: Collection[str], begin_at: float, end_at: float
    ) -> bool:
        """Whether a subject has a fault until a time or shortly before its begin."""
        return any(
            fault.subject in subjects
            and fault.began_at <= end_at
            and fault.ended_at >= begin_at - CONTACT_S
            for fault in self.faults
        )

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
        """Record that a target had a limit until now."""
        period = LimitPeriod(target, target.limit_per_s, began_at, ended_at)
        self.limits.append(period)

    def check_limits(self) -> None:
        """Check the requests of all routers together at targets with a limit.

        The limit must hold some time after the target first named it. A silent target
        names none.
        """
        for period in self.limits:
            named = [t for t in period.target.limit_named_at if t >= period.began_at]
            begin = min(named, default=math.inf) + NOTICE_S
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
                    f"{request_id}: stream has missing, repeated or reordered events: "
                    f"{body[:400]!r}"
                )
        elif body != b"answer to " + request_id.encode():
            self.violations.append(f"{request_id}: got {body[:60]!r}")
