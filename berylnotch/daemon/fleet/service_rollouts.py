"""Leader's part in the rollouts of services to other software versions."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable

from attrs import evolve

from berylnotch.daemon.fleet.rollout_routers import find_report
from berylnotch.daemon.fleet.rollout_run import RolloutRun, RolloutStatus
from berylnotch.daemon.fleet.rollout_times import RolloutTimes
from berylnotch.group.messages import RouterReport, TargetEntry
from berylnotch.group.rollouts import RolloutPhase, RolloutPolicy, ServiceRollout
from berylnotch.group.state import FleetState
from berylnotch.membership.rollout_judge import Assessment, RolloutEvidence, Verdict
from berylnotch.membership.rollout_plan import (
    STEP_S,
    Move,
    Plan,
    Progress,
    allowance_left,
    plan_observation,
    plan_shift,
)
from berylnotch.routing.model import FleetConfiguration
from berylnotch.settings.fleet import FleetBounds
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Interval in seconds between two evaluations of active rollouts; routers report every
#: 0.15 s or less often.
CHECK_INTERVAL_S = 0.1

#: Number of seconds of the newest evidence, and its largest part of the time within
#: which a rollback has to reach all routers.
RECENT_S, MAX_RECENT_PART = 3.0, 0.6


class ServiceRollouts:
    """Follows the replicated rollouts, and decides on their shares and phases.

    Parameters
    ----------
    bounds : FleetBounds
        Limits of the fleet, with the allowed exposure.
    loop : Loop
        Event loop that runs all callbacks.
    state : FleetState
        Replicated state with the rollouts.
    times : RolloutTimes
        Ages of the rollouts, as far as this controller knows them.
    propose : callable
        Proposes a command, and calls back with whether it was committed.
    is_active : callable
        Returns whether this controller holds the leader lease at the current time.
    reports : callable
        Returns the newest report of each connected router.
    push_policies : callable
        Sends the policies to all routers at once.
    assess : callable
        Judges all evidence and that of the newest seconds.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        loop: Loop,
        state: FleetState,
        times: RolloutTimes,
        propose: Callable[[bytes, Callable[[bool], None]], None],
        is_active: Callable[[], bool],
        reports: Callable[[], Iterable[RouterReport]],
        push_policies: Callable[[], None],
        assess: Callable[[RolloutEvidence, RolloutEvidence], Assessment],
        log: EventLog,
    ) -> None:
        self._bounds = bounds
        self._loop = loop
        self._state = state
        self._times = times
        self._propose = propose
        self._is_active = is_active
        self._reports = reports
        self._push_policies = push_policies
        self._assess = assess
        self._log = log
        self._configuration: FleetConfiguration | None = None
        #: Active rollouts by service, and the last state of those that have ended.
        self._runs: dict[str, RolloutRun] = {}
        self._ended: dict[str, RolloutStatus] = {}
        #: Usable engines by service and version; and by service all listed versions and
        #: the earliest start of an engine.
        self._engine_counts: Counter[tuple[str, str]] = Counter()
        self._versions: dict[str, set[str]] = {}
        self._oldest_ms: dict[str, int] = {}
        self._is_ticking = False
        self._is_closed = False

    def close(self) -> None:
        """Decide and propose nothing any more."""
        self._is_closed = True

    @property
    def policies(self) -> tuple[RolloutPolicy, ...]:
        """Policies of the newest rollout of each service."""
        return tuple(
            run.policy
            if (run := self._current_run(rollout)) is not None
            else RolloutPolicy(
                rollout.service,
                rollout.version,
                rollout.number,
                rollout.phase,
                started_ms=rollout.started_ms,
            )
            for _, rollout in sorted(self._state.rollouts.items())
        )

    @property
    def statuses(self) -> tuple[RolloutStatus, ...]:
        """State of the newest rollout of each service, for the metrics."""
        return tuple(
            run.status
            if (run := self._current_run(rollout)) is not None
            else self._ended.get(rollout.service, RolloutStatus(rollout))
            for _, rollout in sorted(self._state.rollouts.items())
        )

    def _current_run(self, rollout: ServiceRollout) -> RolloutRun | None:
        run = self._runs.get(rollout.service)
        is_current = run is not None and run.rollout.number == rollout.number
        return run if is_current else None

    def set_configuration(self, configuration: FleetConfiguration) -> None:
        """Follow the services and the time-outs of the active configuration."""
        self._configuration = configuration

    def restrict(self, entries: Iterable[TargetEntry]) -> Iterable[TargetEntry]:
        """Mark engines of versions that earlier rollouts rolled back as leaving.

        The policy of the newest rollout tells routers nothing about these versions.
        """
        rollouts = self._state.rollouts
        for entry in entries:
            target = entry.target
            rollout = rollouts.get(target.service)
            if rollout is not None and target.software_version in rollout.refused:
                entry = evolve(entry, target=evolve(target, is_leaving=True))
            yield entry

    def count_engines(self, entries: Iterable[TargetEntry]) -> None:
        """Count the engines of all versions in a complete list."""
        self._engine_counts = Counter()
        self._versions, self._oldest_ms = {}, {}
        for entry in entries:
            target = entry.target
            service, version = target.service, target.software_version
            if not target.is_leaving and not entry.is_loading:
                self._engine_counts[service, version] += 1
            self._versions.setdefault(service, set()).add(version)
            oldest_ms = self._oldest_ms.get(service, target.born_ms)
            self._oldest_ms[service] = min(oldest_ms, target.born_ms)

    def on_report(self, report: RouterReport) -> None:
        """Add the counts of a router's report."""
        if not report.rollouts:
            return
        for run in self._runs.values():
            rollout_report = find_report(report, run.rollout.number)
            if rollout_report is not None:
                run.sums.add(report.incarnation, rollout_report)
                run.is_stopped_before |= rollout_report.is_stopped

    def on_applied(self) -> None:
        """Follow the newly applied state."""
        for rollout in self._state.rollouts.values():
            run = self._current_run(rollout)
            if run is None and rollout.phase.is_active:
                self._start_run(rollout)
            elif run is not None and run.rollout != rollout:
                run.follow(boot_time(), rollout, self._elapsed_s(rollout))
                if not rollout.phase.is_active:
                    self._ended[rollout.service] = run.status
                    del self._runs[rollout.service]
        self._check()

    def _start_run(self, rollout: ServiceRollout) -> None:
        recent_s = min(RECENT_S, MAX_RECENT_PART * self._bounds.rollback_s)
        elapsed_s = self._elapsed_s(rollout)
        self._ended.pop(rollout.service, None)
        self._runs[rollout.service] = RolloutRun(
            rollout, boot_time(), elapsed_s, recent_s, self._log
        )

    def _elapsed_s(self, rollout: ServiceRollout) -> float:
        return self._times.elapsed_s(boot_time(), time.time(), rollout)

    def _tick(self) -> None:
        self._is_ticking = False
        self._check()

    def _check(self) -> None:
        """Evaluate all active rollouts, now and in regular intervals."""
        if self._is_closed or not self._runs:
            return
        if not self._is_ticking:
            self._is_ticking = True
            self._loop.call_later(CHECK_INTERVAL_S, self._tick)
        if not self._is_active():
            return
        previous = self.policies
        for run in self._runs.values():
            self._evaluate(run)
        # Routers stop a version that is bad before the rollback is committed.
        if self.policies != previous:
            self._push_policies()
        for run in tuple(self._runs.values()):
            run.submit(self._propose)

    def _evaluate(self, run: RolloutRun) -> None:
        now = boot_time()
        run.sums.advance(now)
        configuration = self._configuration
        timeout_s = configuration.longest_timeout_s if configuration else 0.0
        run.routers.follow(now, self._reports(), timeout_s, self._bounds.stop_s)
        if run.is_stopped or run.is_completing:
            return
        is_step = run.raised_share > 0 and now - run.raised_at >= STEP_S
        run.assessment = self._assess(
            # While shifting, the other versions get nothing that could be compared.
            RolloutEvidence(run.sums.rows(run.rollout.phase is RolloutPhase.OBSERVING)),
            RolloutEvidence(run.sums.recent_rows(is_step)),
        )
        run.was_good |= run.assessment.verdict is Verdict.GOOD
        progress = self._progress(now, run)
        run.allowance_left = allowance_left(self._bounds, progress)
        if not self._is_configured(run.rollout.service):
            plan = Plan(Move.ROLL_BACK, 0.0, 0, "the service was removed")
        elif run.is_stopped_before:
            plan = Plan(Move.ROLL_BACK, 0.0, 0, "an earlier leader decided it")
        elif run.rollout.phase is RolloutPhase.OBSERVING:
            plan = plan_observation(self._bounds, progress)
        else:
            routers = run.routers
            plan = plan_shift(progress, routers.pending(now), routers.unclosed())
        run.apply(now, progress.elapsed_s, plan)

    def _progress(self, now: float, run: RolloutRun) -> Progress:
        rollout = run.rollout
        service, version = rollout.service, rollout.version
        candidates = self._engine_counts[service, version]
        usable = sum(n for (s, _), n in self._engine_counts.items() if s == service)
        # Engines that the platform starts for the rollout are younger than the order.
        is_only_version = (
            self._versions.get(service) == {version}
            and 0 < self._oldest_ms[service] < rollout.started_ms
        )
        return Progress(
            self._elapsed_s(rollout),
            rollout.duration_s,
            run.sums.requests,
            run.sums.exposed,
            run.sums.rate(now),
            candidates,
            usable - candidates,
            run.assessment.verdict,
            run.assessment.reason,
            run.raised_share,
            now - run.raised_at,
            run.sums.answers_since_mark,
            is_only_version,
            run.was_good,
            now - run.began_at,
            now - run.shifted_at,
            *run.sums.reported_step,
        )

    def _is_configured(self, service: str) -> bool:
        configuration = self._configuration
        return configuration is None or any(
            s.name == service for s in configuration.services
        )
