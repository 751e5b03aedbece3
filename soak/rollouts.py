"""Operator of the soak test that rolls out good and bad software versions."""

from __future__ import annotations

import json
import random
import threading
import time

from soak.checks import Observations
from tests.fleet.platform import PlatformStandIn, StandInTarget
from tests.fleet.processes import FleetOfProcesses

SERVICE = "desk"

#: Bounds of the fleet's settings, seconds of each rollout, and callers besides those on
#: kept connections: a good version needs 30 responses before its step.
SHARE, SLACK, DURATION_S, CALLERS = 0.1, 100, 8, 8
BOUNDS = f"exposure-share = {SHARE}\nexposure-slack = {SLACK}\nrollback-ms = 5000\n"

#: Seconds from an order or the end of all faults within which a rollout has to end: the
#: duration, the recovery, and the longest time-out for requests of lost routers.
END_S = DURATION_S + 12.0 + 6.0

#: Targets of each version, part of the requests that a bad version fails, and seconds
#: that an answer takes, so that requests run when the old targets stop.
TARGETS, ERROR_FRACTION, ANSWER_S = 2, 0.5, 0.02

#: Good versions without faults of which one has to be completed. A leader that gets no
#: processor for 0.55 s loses its lease, and may roll a good version back.
GOOD_TRIES = 3

#: Pause between two reads of a state in seconds.
READ_PAUSE_S = 0.1


class RolloutOperator:
    """Starts one rollout after the other, and checks what becomes of them.

    Parameters
    ----------
    fleet, platform : FleetOfProcesses, PlatformStandIn
        Fleet under test, and its targets.
    observations : Observations
        Records faults of bad targets, and violations.
    seed : int
        Seed of the pauses between rollouts.
    is_stopping : threading.Event
        Set after the last fault; the rollout at that time is followed to its end.
    """

    def __init__(
        self,
        fleet: FleetOfProcesses,
        platform: PlatformStandIn,
        observations: Observations,
        seed: int,
        is_stopping: threading.Event,
    ) -> None:
        self._fleet = fleet
        self._platform = platform
        self._observations = observations
        self._rng = random.Random(seed)
        self._is_stopping = is_stopping
        self._current, self._number = "v1", 1
        #: Numbers of the rollouts by outcome.
        self.outcomes: dict[str, int] = {}

    def run(self) -> None:
        """Start rollouts until the run stops."""
        while not self._is_stopping.wait(self._rng.uniform(0.2, 1.0)):
            # Bad and good versions take turns.
            self._roll_out(self._is_stopping, is_bad=self._number % 2 == 1)

    def complete_good_version(self) -> None:
        """Roll out good versions without faults until one is completed."""
        never = threading.Event()
        for target in self._targets(self._current):
            # Targets that answer at other speeds are no reference.
            target.answer_s = ANSWER_S
        if not any(
            self._roll_out(never, is_bad=False) == "completed"
            for _ in range(GOOD_TRIES)
        ):
            self._violate(f"none of {GOOD_TRIES} good versions was completed")

    def _roll_out(self, is_stopping: threading.Event, is_bad: bool) -> str:
        self._number += 1
        version, ordered_at = f"v{self._number}", time.monotonic()
        if not self._order(version, is_stopping):
            return "unknown"
        return self._follow(version, ordered_at, is_bad)

    def _order(self, version: str, is_stopping: threading.Event) -> bool:
        body = {"service": SERVICE, "to": version, "durationS": DURATION_S}
        data = json.dumps(body).encode()
        while not is_stopping.is_set():
            answer = self._fleet.operator("POST", "/rollouts", data)
            if answer is not None:
                if answer.status != 200:
                    self._violate(f"order of {version} got {answer.status}")
                return answer.status == 200
            time.sleep(READ_PAUSE_S)
        return False

    def _follow(self, version: str, ordered_at: float, is_bad: bool) -> str:
        # The failures of a bad version are no losses by planned stops.
        old, new = self._targets(self._current), self._add(version, is_bad)
        faults = [self._observations.record_fault(t.target_id) for t in new if is_bad]
        state = self._wait_for_end(version)
        ended_at = time.monotonic()
        outcome = f"{'bad' if is_bad else 'good'} {state}"
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if is_bad:
            self._check_exposure(version, new, ordered_at)
        for target in old if state == "completed" else new:
            target.is_leaving = True
        if state == "completed":
            self._current = version
            # The platform does not drain the old engines.
            for target in old:
                self._platform.stop(target.target_id)
            processes = (*self._fleet.controllers, *self._fleet.routers)
            names = frozenset(process.name for process in processes)
            self._observations.completions.append((ended_at, names))
            self._check_closed(old, ended_at, names)
        for fault in faults:
            fault.ended_at = time.monotonic()
        return state

    def _targets(self, version: str) -> list[StandInTarget]:
        targets = list(self._platform.targets.values())
        return [
            t for t in targets if (t.service, t.software_version) == (SERVICE, version)
        ]

    def _add(self, version: str, is_bad: bool) -> list[StandInTarget]:
        for number in range(TARGETS):
            target = self._platform.add(f"{SERVICE}-{version}-{number}", SERVICE)
            target.software_version, target.answer_s = version, ANSWER_S
            target.error_fraction = ERROR_FRACTION if is_bad else 0.0
        return self._targets(version)

    def _wait_for_end(self, version: str) -> str:
        """Read the state until the rollout has ended; every read must show it."""
        end_at = time.monotonic() + END_S
        while time.monotonic() < end_at:
            if not self._is_stopping.is_set():
                end_at = time.monotonic() + END_S
            answer = self._fleet.operator("GET", f"/rollouts/{SERVICE}")
            if answer is not None:
                values = json.loads(answer.body)
                if answer.status != 200 or values["to"] != version:
                    self._violate(f"{version} is read as {answer.status}: {values}")
                    return "unknown"
                if values["state"] != "active":
                    return values["state"]
            time.sleep(READ_PAUSE_S)
        self._violate(f"the rollout to {version} does not end")
        return "unknown"

    def _check_exposure(
        self, version: str, new: list[StandInTarget], ordered_at: float
    ) -> None:
        def count(targets: list[StandInTarget]) -> int:
            end_at = ordered_at + DURATION_S
            times = [at for target in targets for at in list(target.arrivals)]
            return sum(ordered_at <= at < end_at for at in times)

        targets = list(self._platform.targets.values())
        total = count([t for t in targets if t.service == SERVICE])
        exposed, allowed = count(new), SHARE * total + SLACK
        if exposed > allowed:
            self._violate(
                f"{version} is bad and got {exposed} requests, {allowed:.0f} allowed"
            )

    def _check_closed(
        self, old: list[StandInTarget], ended_at: float, names: frozenset[str]
    ) -> None:
        """Check that no old target gets requests after the completion was read.

        Routers without contact to the leader may not know of it yet.
        """
        now = time.monotonic()
        time.sleep(READ_PAUSE_S)
        late = [t.target_id for t in old if any(at > ended_at for at in t.arrivals)]
        if late and not self._observations.has_fault(names, ended_at, now):
            self._violate(f"{late} got requests after the end of their rollout")

    def _violate(self, violation: str) -> None:
        self._observations.record_violation(violation)
