"""Seeded run of the soak test: callers, an operator and faults, then recovery."""

from __future__ import annotations

import json
import random
import shutil
import signal
import subprocess
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

from attrs import define, field

from soak.checks import Fault, Observations
from soak.planned import PlannedStops, TargetTimes
from soak.proxy import MODES, FaultProxy
from soak.rollouts import BOUNDS, CALLERS, RolloutOperator
from tests.fleet.limits import NOTICE_S, WINDOW_S
from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import FleetOfProcesses, configuration, wait_until
from tests.fleet.stops import call_on_kept_connections, send_request

#: Time after the last fault within which the fleet must serve again, in seconds. This
#: is the bound of the users' deployments.
RECOVERY_S = 12.0

#: Maximum time in which a process exits after SIGTERM, in seconds.
STOP_TIMEOUT_S = 8.0

#: Fault modes of targets that a soak test sets.
FAULTS = ("refuse", "error", "hang", "reset", "cut", "no_stamp", "foreign")

#: Maximum wait for the proxies to close, in seconds.
CLOSE_TIMEOUT_S = 2.0

#: Longest time for which a target names a limit, in seconds.
MAX_LIMIT_S = 12.0

#: Deadline that callers without a kept connection state, in milliseconds.
DEADLINE_MS = 1500

#: Events of a stream. They keep the pauses of the longest streams below the route's
#: longest allowed gap.
N_EVENTS = 10

#: Kinds of requests on kept connections, in turn, and number of routers with them.
KEPT_KINDS, MAX_KEPT_ROUTERS = ("read", "chat", "book"), 8

#: Maximum pause between two faults and maximum duration of a fault, in seconds.
MAX_PAUSE_S, MAX_FAULT_S = 0.6, 2.5


@define
class Report:
    """Result of a run."""

    seed: int
    answers: int
    served: int
    stops: int = 0
    judged: int = 0
    faults: Counter = field(factory=Counter)
    violations: list[str] = field(factory=list)
    folder: Path | None = None


class Soak:
    """Run of the soak test with one seed.

    Parameters
    ----------
    seed : int
        Seed of the random choice of faults and requests.
    seconds : float
        Time during which faults are injected, in seconds.
    routers : int, default=2
        Number of routers; the fleet also has two engines and two plain targets.
    controllers : int, default=3
        Number of controllers, each with a proxy in front of its link port.
    pause_factor : float, default=1.0
        Multiple of the usual pauses between unplanned faults. Losses around planned
        stops are judged only without unplanned faults.
    has_rollouts : bool, default=False
        Whether an operator rolls out software versions. Their targets change the
        draws of faults, so seeds of earlier failures run without them.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        routers: int = 2,
        controllers: int = 3,
        pause_factor: float = 1.0,
        has_rollouts: bool = False,
    ) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self._platform = PlatformStandIn()
        self._fleet = FleetOfProcesses(
            self._folder, self._platform, further_bounds=BOUNDS if has_rollouts else ""
        )
        self._has_rollouts = has_rollouts
        self._rollouts: RolloutOperator | None = None
        self._routers = routers
        self._controllers = controllers
        self._pause_factor = pause_factor
        self._has_lost_disk = False
        self._target_proxies: dict[str, FaultProxy] = {}
        self._link_proxies: list[FaultProxy] = []
        self._observations = Observations()
        self._report = Report(seed, 0, 0, folder=self._folder)
        #: Set after the last fault, and when callers send nothing any more.
        self._is_stopping, self._has_load_ended = threading.Event(), threading.Event()
        self._process_lock = threading.RLock()
        self._version = 1
        self._pending_undos: list[tuple[float, object]] = []

    def run(self) -> Report:
        """Run the fleet with faults, check its recovery, and return the report.

        Only processes that the run started are stopped.
        """
        self._platform.start()
        try:
            self._start()
            callers = [
                threading.Thread(
                    target=self._send_requests, args=(n, self._rng.random())
                )
                for n in range(CALLERS if self._has_rollouts else 4)
            ]
            callers += self._kept_connections()
            workers = [threading.Thread(target=self._change_configuration)]
            if not self._has_rollouts:
                # Limits leave too few requests to judge a version.
                workers.append(threading.Thread(target=self._change_limits))
            workers += self._planned_work()
            for worker in (*callers, *workers):
                worker.start()
            self._inject_faults()
            self._is_stopping.set()
            if self._rollouts is None:
                self._has_load_ended.set()
                _join(callers)
            _join(workers)
            self._recover()
            if self._rollouts is not None:
                self._rollouts.complete_good_version()
                self._has_load_ended.set()
                _join(callers)
            targets = list(self._platform.targets.values())
            self._observations.check_targets(targets)
            self._observations.check_planned_stops(targets)
            self._observations.check_completions(targets)
            self._observations.check_limits()
        except AssertionError as error:
            self._observations.record_violation(str(error))
        finally:
            self._is_stopping.set()
            self._has_load_ended.set()
            self._fleet.close()
            self._close_proxies()
            self._platform.close()
        return self._finish()

    def _start(self) -> None:
        for number in (1, 2):
            self._add_target(f"llm-{number}", "llm", 1)
            self._add_target(f"desk-{number}", "desk", None)
        self._fleet.has_link_proxies = True
        self._fleet.start(self._controllers, self._routers)
        for controller in self._fleet.controllers:
            self._add_link_proxy(controller)
        assert self._fleet.put(configuration(self._version)).status == 200
        self._observations.record_acked_version(self._version)
        self._fleet.wait_ready()

    def _add_target(self, name: str, service: str, version: int | None) -> None:
        target = self._platform.add(name, service, version)
        target.events = N_EVENTS
        target.event_pause_s = 0.02
        loop = self._platform.loop
        proxy = FaultProxy(loop, target.server.address)
        self._target_proxies[name] = proxy
        loop.call_soon(proxy.start)
        target.listed_address = str(proxy.address)

    def _close_proxies(self) -> None:
        done = threading.Event()

        def close() -> None:
            for proxy in (*self._target_proxies.values(), *self._link_proxies):
                proxy.close()
            done.set()

        self._platform.loop.call_soon(close)
        done.wait(timeout=CLOSE_TIMEOUT_S)

    def _add_link_proxy(self, controller) -> None:
        listen = self._fleet.links_address(controller.ip)
        controller_address = self._fleet.links_address(controller.ip, is_own=True)
        proxy = FaultProxy(self._platform.loop, controller_address, listen)
        self._link_proxies.append(proxy)
        self._platform.loop.call_soon(proxy.start)

    def _planned_work(self) -> list[threading.Thread]:
        """Return threads that stop processes, change targets and roll versions out."""
        # Like those of limits, these draws must not change those of faults.
        seed, is_stopping = self._report.seed, self._is_stopping
        stops = PlannedStops(
            self._fleet, self._observations, seed + 3, is_stopping, self._process_lock
        )
        times = TargetTimes(self._platform, seed + 4, is_stopping)
        threads = [
            threading.Thread(target=stops.run),
            threading.Thread(target=times.run),
        ]
        if self._has_rollouts:
            self._rollouts = RolloutOperator(
                self._fleet, self._platform, self._observations, seed + 5, is_stopping
            )
            threads.append(threading.Thread(target=self._rollouts.run))
        return threads

    def _kept_connections(self) -> list[threading.Thread]:
        """Return threads that call on connections that they keep."""
        threads = []
        for number, router in enumerate(self._fleet.routers[:MAX_KEPT_ROUTERS]):
            arguments = (
                router,
                KEPT_KINDS,
                f"kept-{number}-",
                self._has_load_ended,
                0.01,
            )
            options = {"on_result": self._observations.record_result}
            threads.append(
                threading.Thread(
                    target=call_on_kept_connections, args=arguments, kwargs=options
                )
            )
        return threads

    # Load: callers and the operator.

    def _send_requests(self, worker: int, seed: float) -> None:
        rng, number = random.Random(seed), 0
        while not self._has_load_ended.is_set():
            number += 1
            kind = rng.choice(("chat", "book", "read"))
            request_id = f"{kind}-{worker}-{number}"
            router = rng.choice(self._fleet.routers)
            result = send_request(router, kind, request_id, deadline_ms=DEADLINE_MS)
            self._observations.record_result(result)
            time.sleep(rng.uniform(0.01, 0.05))

    def _change_configuration(self) -> None:
        rng = random.Random(self._report.seed + 1)
        while not self._is_stopping.is_set():
            acked_version = self._observations.acked_version
            self._observations.check_configuration_read(
                acked_version, self._fleet.operator("GET", "/config")
            )
            version = self._version + rng.randint(1, 3)
            body = json.dumps(configuration(version, timeoutMs=4000 + version))
            answer = self._fleet.operator("PUT", "/config", body.encode())
            if answer is not None and answer.status == 200:
                self._version = version
                self._observations.record_acked_version(version)
            time.sleep(rng.uniform(0.1, 0.4))

    def _change_limits(self) -> None:
        """Let one target after the other name a limit for a while."""
        # The draws of faults must not depend on those of limits, so that seeds of
        # earlier failures still inject the same faults.
        rng = random.Random(self._report.seed + 2)
        while not self._is_stopping.wait(rng.uniform(0.0, 1.0)):
            target = rng.choice(list(self._platform.targets.values()))
            limited_at = time.monotonic()
            target.limit_per_s = rng.choice((1.0, 2.0, 6.0))
            self._is_stopping.wait(rng.uniform(NOTICE_S + WINDOW_S, MAX_LIMIT_S))
            self._observations.record_limit(target, limited_at, time.monotonic())
            target.limit_per_s = None

    # Faults. The names of the fault methods are the keys of the printed counts.

    def _inject_faults(self) -> None:
        started = time.monotonic()
        while time.monotonic() - started < self._seconds:
            fault = self._rng.choice(self._available_faults())
            self._report.faults[fault.__name__.strip("_")] += 1
            fault()
            time.sleep(self._rng.uniform(0.1, MAX_PAUSE_S) * self._pause_factor)
            self._undo_due_faults(time.monotonic())
        self._undo_due_faults(float("inf"))

    def _available_faults(self) -> list:
        faults = [
            self._kill,
            self._freeze,
            self._stop,
            self._proxy,
            self._links_cut,
            self._mood,
        ]
        return faults if self._has_lost_disk else [*faults, self._wipe]

    def _schedule_undo(self, undo, fault: Fault | None = None) -> None:
        """Schedule the end of a fault; planned stops are no faults of their process."""

        def end() -> None:
            undo()
            if fault is not None:
                fault.ended_at = time.monotonic()

        self._pending_undos.append(
            (time.monotonic() + self._rng.uniform(0.2, MAX_FAULT_S), end)
        )

    def _undo_due_faults(self, now: float) -> None:
        due = [pending for pending in self._pending_undos if pending[0] <= now]
        self._pending_undos = [
            pending for pending in self._pending_undos if pending[0] > now
        ]
        for _, undo in due:
            undo()

    def _choose_process(self):
        processes = [*self._fleet.controllers, *self._fleet.routers]
        return self._rng.choice(processes)

    def _kill(self) -> None:
        process = self._choose_process()
        if process.process.poll() is None:
            fault = self._observations.record_fault(process.name)
            process.kill()
            self._schedule_undo(lambda: self._restart(process), fault)

    def _restart(self, process) -> None:
        with self._process_lock:
            if process.process.poll() is not None:
                process.start()

    def _freeze(self) -> None:
        process = self._choose_process()
        fault = self._observations.record_fault(process.name)
        process.signal(signal.SIGSTOP)
        self._schedule_undo(lambda: process.signal(signal.SIGCONT), fault)

    def _stop(self) -> None:
        process = self._choose_process()
        stopped = process.process
        if stopped.poll() is None:
            self._observations.record_stop(process.name, time.monotonic())
            process.signal(signal.SIGTERM)
            self._schedule_undo(lambda: self._await_exit(process, stopped))

    def _await_exit(self, process, stopped: subprocess.Popen) -> None:
        # Another fault may have stopped and restarted the process in the meantime.
        if process.process is stopped:
            process.signal(signal.SIGCONT)
            try:
                stopped.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                self._observations.record_violation(
                    f"{process.name} did not stop within {STOP_TIMEOUT_S:g} s"
                )
                process.kill()
        self._restart(process)

    def _wipe(self) -> None:
        """Delete a controller's disk; a group of three tolerates one such loss."""
        self._has_lost_disk = True
        controller = self._rng.choice(self._fleet.controllers)
        fault = self._observations.record_fault(controller.name)
        with self._process_lock:
            controller.kill()
            shutil.rmtree(controller.data, ignore_errors=True)
            settings_text = controller.settings.read_text()
            controller.settings.write_text(
                settings_text.replace("founds-group = true", "founds-group = no")
            )
        self._schedule_undo(lambda: self._restart(controller), fault)

    def _proxy(self) -> None:
        """Inject a fault into the connections to one target."""
        name = self._rng.choice(list(self._target_proxies))
        self._inject_proxy_fault(self._target_proxies[name], name)

    def _links_cut(self) -> None:
        """Inject a fault into the links of other processes to one controller."""
        proxy = self._rng.choice(self._link_proxies)
        number = self._link_proxies.index(proxy)
        self._inject_proxy_fault(proxy, self._fleet.controllers[number].name)

    def _inject_proxy_fault(self, proxy: FaultProxy, subject: str) -> None:
        fault = self._observations.record_fault(subject)
        self._set_mode(
            proxy, self._rng.choice([mode for mode in MODES if mode != "ok"])
        )
        self._schedule_undo(lambda: self._set_mode(proxy, "ok"), fault)

    def _set_mode(self, proxy: FaultProxy, mode: str) -> None:
        self._platform.loop.call_soon(lambda: proxy.set_mode(mode))

    def _mood(self) -> None:
        """Set a random fault mode of one target."""
        target = self._rng.choice(list(self._platform.targets.values()))
        fault = self._observations.record_fault(target.target_id)
        target.fault = self._rng.choice(FAULTS)

        def restore() -> None:
            target.fault = "ok"

        self._schedule_undo(restore, fault)

    # Recovery and report.

    def _recover(self) -> None:
        for target in self._platform.targets.values():
            target.fault = "ok"
        for process in (*self._fleet.controllers, *self._fleet.routers):
            self._restart(process)
        started = time.monotonic()
        for router in self._fleet.routers:
            wait_until(
                lambda r=router: self._is_serving(r),
                f"{router.name} serves",
                RECOVERY_S,
            )
        acked_version = self._observations.acked_version
        configuration_answer = wait_until(
            lambda: self._fleet.operator("GET", "/config"), "the configuration"
        )
        self._observations.check_configuration_read(acked_version, configuration_answer)
        self._report.faults["recovered_ms"] = int((time.monotonic() - started) * 1000)

    def _is_serving(self, router) -> bool:
        answer = self._fleet.ask(router, "/book/x", f"after-{time.monotonic()}")
        return answer is not None and answer.status == 200

    def _finish(self) -> Report:
        report = self._report
        report.answers, report.served = (
            self._observations.answers,
            self._observations.served,
        )
        report.stops = len(self._observations.stops)
        if self._rollouts is not None:
            report.faults.update(self._rollouts.outcomes)
        report.judged = len(self._observations.judged)
        report.violations = list(self._observations.violations)
        if report.served == 0:
            report.violations.append("no request was served")
        if not report.violations:
            shutil.rmtree(self._folder, ignore_errors=True)
            report.folder = None
        return report


def _join(threads: Sequence[threading.Thread]) -> None:
    for thread in threads:
        thread.join()
