"""One seeded run of the soak: callers, an operator and faults, then recovery."""

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
from pathlib import Path

from attrs import define, field

from soak.checks import Seen
from soak.proxy import MODES, FaultProxy
from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import FleetOfProcesses, configuration, wait_until

#: Seconds after the last fault in which the fleet must serve again: the bound of the
#: users' deployments.
RECOVERY_S = 12.0

#: Seconds in which a process ends after SIGTERM, at the most.
STOP_S = 8.0

#: Faults of targets that a soak injects.
FAULTS = ("refuse", "error", "hang", "reset", "cut", "no_stamp", "foreign")

#: Longest wait for the proxies to close, in seconds.
CLOSE_S = 2.0

#: Seconds between two faults, and the longest that one lasts.
PAUSE_S, LONGEST_S = 0.6, 2.5


@define
class Report:
    """Result of one run."""

    seed: int
    answers: int
    served: int
    faults: Counter = field(factory=Counter)
    breaks: list[str] = field(factory=list)
    folder: Path | None = None


class Soak:
    """A run with one seed.

    Parameters
    ----------
    seed : int
        Decides all faults and requests.
    seconds : float
        Length of the time with faults.
    routers : int, default=2
        Routers; two engines and two plain targets come with them.
    controllers : int, default=3
        Controllers, each with a proxy before its links.
    """

    def __init__(
        self, seed: int, seconds: float, routers: int = 2, controllers: int = 3
    ) -> None:
        self._rng = random.Random(seed)
        self._seconds = seconds
        self._folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self._platform = PlatformStandIn()
        self._fleet = FleetOfProcesses(self._folder, self._platform)
        self._routers = routers
        self._controllers = controllers
        self._is_wiped = False
        self._proxies: dict[str, FaultProxy] = {}
        self._links: list[FaultProxy] = []
        self._seen = Seen()
        self._report = Report(seed, 0, 0, folder=self._folder)
        self._is_over = threading.Event()
        self._version = 1
        self._ends: list[tuple[float, object]] = []

    def run(self) -> Report:
        """Play the run; end only what it started."""
        self._platform.start()
        try:
            self._start()
            workers = [
                threading.Thread(target=self._call, args=(n, self._rng.random()))
                for n in range(4)
            ]
            workers.append(threading.Thread(target=self._operate))
            for worker in workers:
                worker.start()
            self._disturb()
            self._is_over.set()
            for worker in workers:
                worker.join()
            self._recover()
            self._seen.targets(self._platform.targets.values())
        except AssertionError as error:
            self._seen.fail(str(error))
        finally:
            self._is_over.set()
            self._fleet.close()
            self._close_proxies()
            self._platform.close()
        return self._finish()

    def _start(self) -> None:
        for number in (1, 2):
            self._add(f"llm-{number}", "llm", 1)
            self._add(f"desk-{number}", "desk", None)
        self._fleet.has_link_proxies = True
        self._fleet.start(self._controllers, self._routers)
        for controller in self._fleet.controllers:
            self._add_link_proxy(controller)
        assert self._fleet.put(configuration(self._version)).status == 200
        self._seen.acked(self._version)
        self._fleet.wait_ready()

    def _add(self, name: str, service: str, version: int | None) -> None:
        target = self._platform.add(name, service, version)
        target.events = 4
        target.event_pause_s = 0.02
        loop = self._platform.loop
        proxy = FaultProxy(loop, target.server.address)
        self._proxies[name] = proxy
        loop.call_soon(proxy.start)
        target.listed_address = str(proxy.address)

    def _close_proxies(self) -> None:
        done = threading.Event()

        def close() -> None:
            for proxy in (*self._proxies.values(), *self._links):
                proxy.close()
            done.set()

        self._platform.loop.call_soon(close)
        done.wait(timeout=CLOSE_S)

    def _add_link_proxy(self, controller) -> None:
        listen = self._fleet.links_address(controller.ip)
        behind = self._fleet.links_address(controller.ip, is_own=True)
        proxy = FaultProxy(self._platform.loop, behind, listen)
        self._links.append(proxy)
        self._platform.loop.call_soon(proxy.start)

    # Callers and the operator.

    def _call(self, worker: int, draw: float) -> None:
        rng, number = random.Random(draw), 0
        while not self._is_over.is_set():
            number += 1
            kind = rng.choice(("chat", "book", "read"))
            request_id = f"{kind}-{worker}-{number}"
            router = rng.choice(self._fleet.routers)
            method = "GET" if kind == "read" else "POST"
            answer = self._fleet.ask(
                router, f"/{kind}/x", request_id, method, deadline_ms="1500"
            )
            self._seen.caller(request_id, kind, answer)
            time.sleep(rng.uniform(0.01, 0.05))

    def _operate(self) -> None:
        rng = random.Random(self._report.seed + 1)
        while not self._is_over.is_set():
            before = self._seen.acked_version
            self._seen.read_back(before, self._fleet.operator("GET", "/config"))
            version = self._version + rng.randint(1, 3)
            body = json.dumps(configuration(version, timeoutMs=4000 + version))
            answer = self._fleet.operator("PUT", "/config", body.encode())
            if answer is not None and answer.status == 200:
                self._version = version
                self._seen.acked(version)
            time.sleep(rng.uniform(0.1, 0.4))

    # Faults.

    def _disturb(self) -> None:
        started = time.monotonic()
        while time.monotonic() - started < self._seconds:
            fault = self._rng.choice(self._faults())
            self._report.faults[fault.__name__.strip("_")] += 1
            fault()
            time.sleep(self._rng.uniform(0.1, PAUSE_S))
            self._end_due(time.monotonic())
        self._end_due(float("inf"))

    def _faults(self) -> list:
        faults = [
            self._kill,
            self._freeze,
            self._stop,
            self._proxy,
            self._links_cut,
            self._mood,
        ]
        return faults if self._is_wiped else [*faults, self._wipe]

    def _later(self, undo) -> None:
        self._ends.append((time.monotonic() + self._rng.uniform(0.2, LONGEST_S), undo))

    def _end_due(self, now: float) -> None:
        due = [end for end in self._ends if end[0] <= now]
        self._ends = [end for end in self._ends if end[0] > now]
        for _, undo in due:
            undo()

    def _process(self):
        processes = [*self._fleet.controllers, *self._fleet.routers]
        return self._rng.choice(processes)

    def _kill(self) -> None:
        process = self._process()
        if process.process.poll() is None:
            process.kill()
            self._later(lambda: self._restart(process))

    def _restart(self, process) -> None:
        if process.process.poll() is not None:
            process.start()

    def _freeze(self) -> None:
        process = self._process()
        process.signal(signal.SIGSTOP)
        self._later(lambda: process.signal(signal.SIGCONT))

    def _stop(self) -> None:
        process = self._process()
        stopped = process.process
        if stopped.poll() is None:
            process.signal(signal.SIGTERM)
            self._later(lambda: self._ended(process, stopped))

    def _ended(self, process, stopped: subprocess.Popen) -> None:
        # Another fault may have ended and restarted it meanwhile.
        if process.process is stopped:
            process.signal(signal.SIGCONT)
            try:
                stopped.wait(timeout=STOP_S)
            except subprocess.TimeoutExpired:
                self._seen.fail(f"{process.name} did not stop within {STOP_S:g} s")
                process.kill()
        self._restart(process)

    def _wipe(self) -> None:
        """Let a controller lose its disk; a group of three bears that once."""
        self._is_wiped = True
        controller = self._rng.choice(self._fleet.controllers)
        controller.kill()
        shutil.rmtree(controller.data, ignore_errors=True)
        text = controller.settings.read_text()
        controller.settings.write_text(
            text.replace("founds-group = true", "founds-group = no")
        )
        self._later(lambda: self._restart(controller))

    def _proxy(self) -> None:
        self._disturb_proxy(self._rng.choice(list(self._proxies.values())))

    def _links_cut(self) -> None:
        """Disturb the links of routers and other controllers to one controller."""
        self._disturb_proxy(self._rng.choice(self._links))

    def _disturb_proxy(self, proxy: FaultProxy) -> None:
        self._set(proxy, self._rng.choice([mode for mode in MODES if mode != "ok"]))
        self._later(lambda: self._set(proxy, "ok"))

    def _set(self, proxy: FaultProxy, mode: str) -> None:
        self._platform.loop.call_soon(lambda: proxy.set_mode(mode))

    def _mood(self) -> None:
        target = self._rng.choice(list(self._platform.targets.values()))
        target.fault = self._rng.choice(FAULTS)

        def calm() -> None:
            target.fault = "ok"

        self._later(calm)

    # The end.

    def _recover(self) -> None:
        for target in self._platform.targets.values():
            target.fault = "ok"
        for process in (*self._fleet.controllers, *self._fleet.routers):
            self._restart(process)
        started = time.monotonic()
        for router in self._fleet.routers:
            wait_until(
                lambda r=router: self._serves(r), f"{router.name} serves", RECOVERY_S
            )
        before = self._seen.acked_version
        held = wait_until(
            lambda: self._fleet.operator("GET", "/config"), "the configuration"
        )
        self._seen.read_back(before, held)
        self._report.faults["recovered_ms"] = int((time.monotonic() - started) * 1000)

    def _serves(self, router) -> bool:
        answer = self._fleet.ask(router, "/book/x", f"after-{time.monotonic()}")
        return answer is not None and answer.status == 200

    def _finish(self) -> Report:
        report = self._report
        report.answers, report.served = self._seen.answers, self._seen.served
        report.breaks = list(self._seen.breaks)
        if report.served == 0:
            report.breaks.append("nothing was served")
        if not report.breaks:
            shutil.rmtree(self._folder, ignore_errors=True)
            report.folder = None
        return report
