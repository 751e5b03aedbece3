"""Planned work of a soak test: stops, SIGHUP, and targets with long answers."""

from __future__ import annotations

import random
import signal
import threading
import time

from soak.checks import Observations
from tests.fleet.platform import PlatformStandIn, StandInTarget
from tests.fleet.processes import FleetOfProcesses, FleetProcess
from tests.fleet.stops import STOP_S

#: Longest pause between two planned stops, in seconds; stops are longer and overlap.
MAX_STOP_PAUSE_S = 4.0

#: Numbers of routers that are stopped together; the draws are uniform. Larger fleets
#: stop this many for each ``STOP_GROUP_SIZE`` routers.
ROUTERS_PER_STOP, STOP_GROUP_SIZE = (1, 1, 2), 10

#: Fractions of the stops with a controller, and with a SIGHUP of all processes.
CONTROLLER_FRACTION, HANGUP_FRACTION = 0.3, 0.4

#: Pause between two draws of the targets' times, in seconds. It is so short that each
#: answer has a time of its own.
DRAW_PAUSE_S = 0.02

#: Shortest and longest answer and silence of a target, in seconds.
MIN_ANSWER_S, MAX_ANSWER_S = 0.005, 2.0
MIN_SILENCE_S, MAX_SILENCE_S = 1.0, 5.0

#: Fraction of the draws in which a target falls silent: about one in two seconds.
SILENCE_FRACTION = 0.01

#: Interval in seconds between two checks whether a stopping process has exited.
EXIT_CHECK_S = 0.005


class PlannedStops:
    """Stops processes by SIGTERM in series, and starts them again.

    Parameters
    ----------
    fleet : FleetOfProcesses
        Processes; controllers are stopped one at a time.
    observations : Observations
        Gets the stops and the violated guarantees.
    seed : int
        Seed of the draws.
    is_ending : threading.Event
        Set when no more stops may begin.
    process_lock : threading.RLock
        Held while a process is started.
    """

    def __init__(
        self,
        fleet: FleetOfProcesses,
        observations: Observations,
        seed: int,
        is_ending: threading.Event,
        process_lock: threading.RLock,
    ) -> None:
        self._fleet, self._observations = fleet, observations
        self._rng = random.Random(seed)
        self._is_ending, self._process_lock = is_ending, process_lock
        self._stopping: dict[str, threading.Thread] = {}

    def run(self) -> None:
        """Stop processes until the end of the run, and wait until all have exited."""
        while not self._is_ending.wait(self._rng.uniform(0.0, MAX_STOP_PAUSE_S)):
            routers = self._fleet.routers
            groups = max(1, len(routers) // STOP_GROUP_SIZE)
            count = min(groups * self._rng.choice(ROUTERS_PER_STOP), len(routers))
            processes = self._rng.sample(routers, count)
            if self._rng.random() < CONTROLLER_FRACTION:
                processes.append(self._rng.choice(self._fleet.controllers))
            for process in processes:
                self._begin(process)
            if self._rng.random() < HANGUP_FRACTION:
                self._hang_up()
        for thread in self._stopping.values():
            thread.join()

    def _begin(self, process: FleetProcess) -> None:
        earlier = self._stopping.get(process.name)
        if earlier is not None and earlier.is_alive():
            return
        thread = threading.Thread(target=self._stop, args=(process,))
        self._stopping[process.name] = thread
        thread.start()

    def _hang_up(self) -> None:
        for process in (*self._fleet.controllers, *self._fleet.routers):
            process.signal(signal.SIGHUP)

    def _stop(self, process: FleetProcess) -> None:
        stopped = process.process
        if stopped.poll() is not None:
            return
        signal_at = time.monotonic()
        self._observations.record_stop(process.name, signal_at)
        process.signal(signal.SIGTERM)
        while stopped.poll() is None and time.monotonic() < signal_at + STOP_S:
            time.sleep(EXIT_CHECK_S)
        if stopped.poll() is None:
            self._observations.check_exit(process.name, signal_at)
        with self._process_lock:
            # Another fault may have restarted the process in the meantime.
            if process.process is stopped:
                process.kill()
                process.start()


class TargetTimes:
    """Varies how long targets take for answers, and lets them fall silent.

    Parameters
    ----------
    platform : PlatformStandIn
        Targets. One target of a service is silent at a time.
    seed : int
        Seed of the draws.
    is_ending : threading.Event
        Set when the targets are to answer fast again.
    """

    def __init__(
        self, platform: PlatformStandIn, seed: int, is_ending: threading.Event
    ) -> None:
        self._platform, self._is_ending = platform, is_ending
        self._rng = random.Random(seed)

    def run(self) -> None:
        """Change targets until the end of the run, and wait for the last silence."""
        targets = list(self._platform.targets.values())
        usual_pauses = [target.event_pause_s for target in targets]
        ratio = MAX_ANSWER_S / MIN_ANSWER_S
        while not self._is_ending.wait(DRAW_PAUSE_S):
            for target in targets:
                target.answer_s = MIN_ANSWER_S * ratio ** self._rng.random()
                target.event_pause_s = target.answer_s / target.events
            if self._rng.random() < SILENCE_FRACTION:
                self._silence(self._rng.choice(targets))
        for target, pause_s in zip(targets, usual_pauses, strict=True):
            target.answer_s, target.event_pause_s = 0.0, pause_s
        silent_until = max(target.silent_until for target in targets)
        time.sleep(max(0.0, silent_until - time.monotonic()))

    def _silence(self, target: StandInTarget) -> None:
        silence_s = self._rng.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
        now = time.monotonic()
        others = self._platform.targets.values()
        if all(t.silent_until <= now for t in others if t.service == target.service):
            target.silent_until = now + silence_s
