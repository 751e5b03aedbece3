"""Starts the project's programs on loopback addresses, for the cases of the review.

The programs run with the commands and templates of ``deploy/system.toml``. Operators,
callers and servers are stand-ins of the cases. Everything is ended by `Fleet.close`.
"""

from __future__ import annotations

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

#: Offsets from the base port, the same on all machines of a fleet.
ENTRY, READY, DIRECTORY, CONTROL, INTERNAL, SERVERS = 0, 1, 2, 3, 10, 30


class CannotRunError(Exception):
    """The case could not be set up; it says nothing about the rule."""


def now() -> float:
    """Return the time of the monotonic clock in seconds."""
    return time.monotonic()


def wait_for(
    condition: Callable[[], Any], description: str, timeout_s: float = 25.0
) -> Any:
    """Poll a condition until its result is true, and return the result."""
    deadline = now() + timeout_s
    while now() < deadline:
        result = condition()
        if result:
            return result
        time.sleep(0.05)
    raise CannotRunError(f"not within {timeout_s:g} s: {description}")


class Record:
    """File ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started_at = now()

    def line(self, text: str) -> None:
        """Write one line with the time since the start in seconds."""
        with self._lock:
            self._file.write(f"{now() - self._started_at:8.3f} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, str], bytes] | None:
    """Send one request; return status, headers and body, None after a failure."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body or None, headers=headers or {})
        response = connection.getresponse()
        names = {name.lower(): value for name, value in response.getheaders()}
        return response.status, names, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def _render(template: str, fields: dict[str, str]) -> str:
    return re.sub(r"{{([\w.]+)}}", lambda m: fields.get(m[1], ""), template)


class Process:
    """One program of the fleet, with its settings and its log."""

    def __init__(self, fleet: Fleet, role: str, name: str, ip: str) -> None:
        self.role, self.name, self.ip = role, name, ip
        self._fleet = fleet
        self._settings = fleet.folder / f"{name}.conf"
        self._log = fleet.folder / f"{name}.log"
        self._process: subprocess.Popen | None = None
        #: Further lines of the section ``[process]``.
        self.extra = ""

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code of the process, None while it runs."""
        return self._process.poll() if self._process is not None else None

    def log_text(self) -> str:
        """Return what the process has written to its log."""
        return self._log.read_text(encoding="utf-8", errors="replace")

    def start(self, is_first: bool = True) -> None:
        """Start the process with the command of the deploy file."""
        fleet = self._fleet
        template = (ROOT / "deploy" / f"{self.role}.ini").read_text(encoding="utf-8")
        fields = fleet.fields(self, is_first)
        text = _render(template, fields)
        text = text.replace("[process]\n", f"[process]\n{self.extra}", 1)
        self._settings.write_text(text, encoding="utf-8")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "BERYLNOTCH_CONFIG": str(self._settings),
        }
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-m", "berylnotch.cmd.fleetd", self.role]
                + ["--settings", str(self._settings)],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()


class Fleet:
    """Controllers and routers on loopback addresses, all with the same ports.

    Parameters
    ----------
    record : Record
        Record of the case.
    controllers, routers : int
        Numbers of processes.
    bounds : dict of str to str, optional
        Bounds that differ from those of the sheet of sbrw-orders.
    """

    def __init__(
        self,
        record: Record,
        controllers: int = 3,
        routers: int = 2,
        bounds: dict[str, str] | None = None,
    ) -> None:
        # The clean-up must run also if the time limit of `run.sh` ends the script.
        signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._bounds = {
            "ttl_max_s": "5",
            "graceS": "8",
            "retryBudgetRatio": "0.2",
            "budgetWindowS": "10",
            "retryBudgetSlack": "52",
            "quotaWindowS": "8",
            "quotaOvershoot": "0.1",
            "quotaSlack": "190000",
            "leaseMs": "3000",
            "versionMs": "15000",
        } | (bounds or {})
        self.subnet, self.port = _free_addresses()
        self.controllers = [
            Process(self, "controller", f"core-{n + 1}", self.ip(1 + n))
            for n in range(controllers)
        ]
        self.routers = [
            Process(self, "router", f"front-{n + 1}", self.ip(101 + n))
            for n in range(routers)
        ]
        #: Address of the list of servers.
        self.list_address = f"{self.ip(200)}:{self.port + SERVERS}"

    def ip(self, number: int) -> str:
        """Return a loopback address of the fleet."""
        return f"127.{self.subnet}.0.{number}"

    def fields(self, process: Process, is_first: bool) -> dict[str, str]:
        """Return the fields of a process's settings, by the names of the pages."""
        ip, port = process.ip, self.port
        fields = {f"bounds.{name}": value for name, value in self._bounds.items()}
        fields |= {
            "nodeName": process.name,
            "ip": ip,
            "zone": "kolkata-a",
            "internalPorts": f"{port + INTERNAL},{port + INTERNAL + 15}",
            "seeds": ",".join(f"{c.ip}:{port + CONTROL}" for c in self.controllers[:3]),
            "bootstrap": "true" if is_first else "false",
        }
        if process.role == "router":
            fields["listen.frontendAddr"] = f"{ip}:{port + ENTRY}"
            fields["listen.ready"] = f"{ip}:{port + READY}"
            fields["listen.directory"] = f"{ip}:{port + DIRECTORY}"
        else:
            fields["listen.controlPlane"] = f"{ip}:{port + CONTROL}"
            fields["dataDir"] = str(self.folder / f"{process.name}-data")
            fields["cloudApi.address"] = self.list_address
            fields["cloudApi.ratePerS"] = "40.0"
        return fields

    def start(self) -> None:
        """Start all processes."""
        for process in (*self.controllers, *self.routers):
            process.start()

    def close(self) -> None:
        """End all processes, and remove the folder."""
        for process in (*self.controllers, *self.routers):
            process.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)

    def operate(
        self, method: str, path: str, values: Any = None
    ) -> tuple[int, bytes] | None:
        """Make one call as the operator does: any controller, two redirects at most.

        Returns
        -------
        tuple of int and bytes, or None
            Status and body of the first answer that is neither a redirect nor one
            after which the operator moves on to another controller.
        """
        body = b"" if values is None else json.dumps(values).encode()
        for controller in self.controllers:
            host, port = controller.ip, self.port + CONTROL
            for _ in range(3):
                answer = call(host, port, method, path, body)
                if answer is None or answer[0] != 307:
                    break
                address = answer[1]["location"].split("/")[2]
                host, port = address.split(":")[0], int(address.split(":")[1])
            if answer is not None and answer[0] not in (307, 408, 429, 500, 503):
                return answer[0], answer[2]
        return None

    def put_until_answered(self, path: str, values: Any, method: str = "PUT") -> int:
        """Send an order until it has a clear answer, and return the status."""
        status, body = wait_for(
            lambda: self.operate(method, path, values), f"an answer to {method} {path}"
        )
        self.record.line(f"operator: {method} {path} -> {status} {body[:200]!r}")
        return status

    def wait_ready(self) -> None:
        """Wait until all routers say that they are ready."""
        for router in self.routers:
            wait_for(lambda r=router: self.is_ready(r), f"{router.name} to be ready")

    def is_ready(self, router: Process) -> bool:
        """Return whether a router says that it is ready."""
        answer = call(router.ip, self.port + READY, "GET", "/readyz", timeout_s=1.0)
        return answer is not None and answer[0] == 200


def _free_addresses() -> tuple[int, int]:
    """Return a subnet and a base port at which nothing listens."""
    for attempt in range(200):
        seed = os.getpid() * 31 + attempt * 97
        subnet, port = 30 + seed % 180, 20000 + seed % 12000
        sockets = []
        try:
            for number in (1, 2, 3, 101, 102, 200):
                for offset in range(SERVERS + 1):
                    sock = socket.socket()
                    sockets.append(sock)
                    sock.bind((f"127.{subnet}.0.{number}", port + offset))
        except OSError:
            continue
        else:
            return subnet, port
        finally:
            for sock in sockets:
                sock.close()
    raise CannotRunError("no free loopback addresses")
