"""Small deployment on loopback addresses for the scripts of this review.

The programs are started with the commands of the deploy file and with settings files
that are filled in from its templates. The platform and the engines are the project's
own stand-in (`tests.fleet.platform`).
"""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import send_call

ROOT = Path(__file__).resolve().parents[2]

#: Values of the sheet of the order desk (`sites/sbrw-orders.toml`).
BOUNDS = {
    "graceS": "8",
    "leaseMs": "3000",
    "retryBudgetRatio": "0.2",
    "budgetWindowS": "10",
    "retryBudgetSlack": "52",
    "quotaWindowS": "8",
    "quotaOvershoot": "0.1",
    "quotaSlack": "190000",
    "versionMs": "15000",
    "ttl_max_s": "5",
}

#: Longest run of a script in seconds.
MAX_RUN_S = 112

#: ``contactMs`` of the sheet in seconds.
CONTACT_S = 3.0

HOST = "app.example"
KEY = "key-of-alpha"
MODEL = "model-1"


class Record:
    """File ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write a line with the seconds since the start of the script."""
        seconds = time.monotonic() - self._started_at
        self._file.write(f"{seconds:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Process:
    """One program of the deployment."""

    def __init__(self, role: str, name: str, ip: str, folder: Path) -> None:
        self.role, self.name, self.ip = role, name, ip
        self.settings = folder / f"{name}.ini"
        self.log = folder / f"{name}.log"
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Process id of the newest start."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"][self.role]["run"].split()
        words[words.index("--settings") + 1] = str(self.settings)
        names = ("PATH", "HOME", "LANG")
        environment = {n: os.environ[n] for n in names if n in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log.open("ab") as log:
            self._child = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.is_running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.is_running:
            self._child.kill()
            self._child.wait()


class Deployment:
    """Controllers, routers and stand-ins, all of which `close` ends."""

    def __init__(
        self,
        controllers: int = 3,
        routers: int = 2,
        platform: PlatformStandIn | None = None,
    ) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="berylnotch-review-")
        folder = Path(self._folder.name)
        self.platform = platform or PlatformStandIn()
        self._ports = _free_ports()
        subnet = 20 + os.getpid() % 200
        core_ips = [f"127.{subnet}.0.{n + 1}" for n in range(controllers)]
        entry_ips = [f"127.{subnet}.0.{n + 101}" for n in range(routers)]
        self.controllers = [
            Process("controller", f"core-{n + 1}", ip, folder)
            for n, ip in enumerate(core_ips)
        ]
        self.routers = [
            Process("router", f"entry-{n + 1}", ip, folder)
            for n, ip in enumerate(entry_ips)
        ]
        self._seeds = ",".join(f"{ip}:{self._ports['control']}" for ip in core_ips[:3])
        for process in (*self.controllers, *self.routers):
            process.settings.write_text(self._fill_in(process, folder))

    @property
    def folder(self) -> Path:
        """Temporary folder with settings, logs and data."""
        return Path(self._folder.name)

    def start(self) -> None:
        """Start the stand-in and all programs."""
        self.platform.start()
        for process in (*self.controllers, *self.routers):
            process.start()

    def close(self) -> None:
        """End everything that was started."""
        for process in (*self.controllers, *self.routers):
            process.kill()
        self.platform.close()
        self._folder.cleanup()

    def call_control(
        self, method: str, path: str, body: bytes = b"", timeout_s: float = 1.0
    ):
        """Make an operator's call to one controller after the other."""
        for controller in self.controllers:
            host, port = controller.ip, self._ports["control"]
            for _ in range(3):
                answer = send_call(host, port, method, path, {}, body, timeout_s)
                if answer is None or answer.status != 307:
                    break
                host, _, port = answer.headers["Location"].split("/")[2].partition(":")
                port = int(port)
            if answer is not None and answer.status not in (307, 408, 429, 503):
                return answer
        return None

    def wait_for(self, condition, description: str, timeout_s: float = 25.0):
        """Return the first true result of a condition."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            result = condition()
            if result:
                return result
            time.sleep(0.05)
        raise TimeoutError(f"not within {timeout_s:g} s: {description}")

    def is_ready(self, router: Process) -> bool:
        """Return whether a router answers 200 to the platform's question."""
        answer = send_call(
            router.ip, self._ports["ready"], "GET", "/readyz", {}, b"", 1.0
        )
        return answer is not None and answer.status == 200

    def find_leader(self) -> Process | None:
        """Return the controller that leads by its metrics, None without one."""
        port = self._ports["internal"] + 1
        for controller in self.controllers:
            answer = send_call(controller.ip, port, "GET", "/metrics", {}, b"", 1.0)
            if answer is not None and b"\nberylnotch_leader 1" in b"\n" + answer.body:
                return controller
        return None

    def caller_port(self) -> int:
        """Return the port of all routers for requesters."""
        return self._ports["frontend"]

    def _fill_in(self, process: Process, folder: Path) -> str:
        values = {
            "nodeName": process.name,
            "ip": process.ip,
            "zone": "kolkata-a",
            "internalPorts": f"{self._ports['internal']},{self._ports['internal'] + 4}",
            "seeds": self._seeds,
            "bootstrap": "true",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "listen.frontendAddr": f"{process.ip}:{self._ports['frontend']}",
            "listen.ready": f"{process.ip}:{self._ports['ready']}",
            "listen.directory": f"{process.ip}:{self._ports['directory']}",
            "listen.controlPlane": f"{process.ip}:{self._ports['control']}",
            "dataDir": str(folder / process.name),
            "cloudApi.address": self.platform.list_address,
            "cloudApi.ratePerS": "40.0",
        }
        values |= {f"bounds.{name}": value for name, value in BOUNDS.items()}
        name = "router" if process.role == "router" else "controller"
        template = (ROOT / f"deploy/{name}.ini").read_text()
        return re.sub(r"\{\{(.*?)\}\}", lambda m: values.get(m[1], ""), template)


def _free_ports() -> dict[str, int]:
    """Return ports that no process uses, below those of outgoing connections."""
    names = ("control", "frontend", "ready", "directory", "internal")
    base = 20000 + os.getpid() * 37 % 12000
    while True:
        try:
            for offset in range(16):
                with socket.socket() as sock:
                    sock.bind(("127.0.0.1", base + offset))
        except OSError:
            base = 20000 + (base - 20000 + 16) % 12000
        else:
            return {name: base + n for n, name in enumerate(names)}


def run_case(folder: Path, play: Callable[[Record, bool], int]) -> int:
    """Play a case, and return its exit code.

    It is 1 only if the rule was broken. An error of the script, SIGTERM and a run that
    lasts too long end it with 2; the processes that it started are ended.

    Parameters
    ----------
    folder : Path
        Folder of the case.
    play : callable
        Plays the case, with the record and whether to play the disruption, and returns
        the exit code.
    """
    record = Record(folder)
    signal.signal(signal.SIGTERM, _raise_time_out)
    signal.signal(signal.SIGALRM, _raise_time_out)
    signal.alarm(MAX_RUN_S)
    try:
        return play(record, os.environ.get("TROUBLE", "1") != "0")
    except Exception as error:
        record.write(f"the case couldn't run: {error!r}")
        return 2
    finally:
        signal.alarm(0)
        record.close()


def _raise_time_out(number: int, _frame: object) -> None:
    raise TimeoutError(f"ended by signal {number}")
