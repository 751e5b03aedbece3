"""Fleet of real processes on loopback addresses, and calls to them."""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

from attrs import define, field

from berylnotch.util.address import Address
from tests.fleet.platform import MODEL, PlatformStandIn

#: Default time limit for a condition in seconds. Most conditions hold immediately.
DEFAULT_TIMEOUT_S = 30.0

KEY = "key-of-alpha"

#: Second octets of the subnets 127.N.0.0/16 that fleets use.
_SUBNETS = range(20, 220)

#: Port of the socket that reserves a subnet. No fleet listens on it.
_RESERVATION_PORT = 19999

#: Range of the base ports of fleets. The system gives ports from 32768 on to outgoing
#: connections, which would keep a restarted process from listening again.
_BASE_PORTS = range(20000, 32700)

_SETTINGS_TEMPLATE = """[process]
name = {name}
ip = {ip}
failure-domain = north
listen = {ip}:{listen}
ready = {ready}
directory = {directory}
internal-ports = {internal},{last}
seeds = {seeds}
{links_listen}founds-group = {founds}
data = {data}
target-list = {target_list}
target-list-period-s = 0.1
{memory}
[bounds]
address-ttl-s = 5
stop-s = 8
order-lease-ms = 300
retry-ratio = 0.2
retry-window-s = 10
retry-slack = 50
quota-window-s = 8
quota-overshoot = 0.1
quota-slack = 100000
"""


def wait_until(condition, description: str, timeout_s: float = DEFAULT_TIMEOUT_S):
    """Wait until a condition returns a true value, and return that value."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"not within {timeout_s:g} s: {description}")


def gauge(text: str, name: str) -> float:
    """Return the value of a gauge from the text of a process's metrics."""
    return next(
        float(line.split()[1]) for line in text.splitlines() if line.startswith(name)
    )


def configuration(version: int, **changes: object) -> dict:
    """Return a configuration with a streaming route and two plain routes."""
    defaults = {
        "host": "app.example",
        "timeoutMs": 5000,
    }
    defaults.update(changes)
    routes = [
        _route(
            "chat",
            "/chat/",
            "streaming",
            "llm",
            defaults,
            resumable=defaults.pop("resumable", True),
        ),
        _route("book", "/book/", "non_idempotent", "desk", defaults),
        _route("read", "/read/", "idempotent", "desk", defaults),
    ]
    engine = {
        "slots": 8,
        "kvCapacityTokens": 100000,
        "models": [{"name": MODEL}],
        "moves": defaults.get("moves", False),
    }
    services = [
        {"name": "llm", "healthPath": "/healthz", "maxConns": 99, "engine": engine},
        {"name": "desk", "healthPath": "/healthz", "maxConns": 99},
    ]
    tenant = {
        "name": "alpha",
        "apiKeys": defaults.get("keys", [KEY]),
        "priority": 1,
        "unit": "tokens",
        "uncachedTokens": 200,
        "isolated": False,
        "ratePerS": 50000,
        "burst": 100000,
    }
    return {
        "version": version,
        "routes": routes + list(defaults.get("more", [])),
        "services": services,
        "tenants": [tenant],
        "limits": {"headerTimeoutMs": 1000, "idleTimeoutMs": 15000},
    }


def _route(name, prefix, kind, service, defaults, resumable=False) -> dict:
    return {
        "name": name,
        "hostname": defaults["host"],
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": defaults["timeoutMs"],
        "targetLatencyMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": resumable,
        "gapTargetMs": 250,
    }


@define(eq=False)
class FleetProcess:
    """Process of a fleet, its settings file and its log file."""

    name: str
    role: str
    ip: str
    port: int
    settings: Path
    log: Path
    data: Path | None = None
    process: subprocess.Popen | None = None

    def start(self) -> None:
        log_file = open(self.log, "ab")
        command = [sys.executable, "-m", "berylnotch.cmd.fleetd", self.role]
        self.process = subprocess.Popen(
            [*command, "--settings", str(self.settings)],
            stdout=log_file,
            stderr=log_file,
        )
        log_file.close()

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()

    def lines(self) -> list[dict[str, str]]:
        """Return the lines of the log, each as a dict of its fields."""
        return [parse_fields(line) for line in read_lines(self.log)]


def read_lines(log: Path) -> list[str]:
    """Return the complete lines of a log.

    A line that is being written can be seen up to the end of a page of the file.
    """
    complete, _, _ = log.read_bytes().rpartition(b"\n")
    return complete.decode().splitlines()


def parse_fields(line: str) -> dict[str, str]:
    """Return the fields of a log line."""
    fields, remainder = {}, line
    while "=" in remainder:
        name, _, remainder = remainder.partition("=")
        if remainder.startswith('"'):
            end = remainder.index('"', 1)
            while remainder[end - 1] == "\\":
                end = remainder.index('"', end + 1)
            value, remainder = remainder[1:end], remainder[end + 1 :]
        else:
            value, _, remainder = remainder.partition(" ")
        fields[name.strip()] = value
    return fields


def _reserve_subnet(first: int) -> tuple[int, socket.socket]:
    """Reserve a subnet for one of the fleets that run on the machine at a time.

    Parameters
    ----------
    first : int
        Position at which the search starts, taken modulo the number of subnets.

    Returns
    -------
    tuple of int and socket
        Second octet of the subnet, and the socket that reserves it until it is closed.
    """
    for offset in range(len(_SUBNETS)):
        subnet = _SUBNETS[(first + offset) % len(_SUBNETS)]
        reservation = socket.socket()
        try:
            reservation.bind((f"127.{subnet}.255.254", _RESERVATION_PORT))
        except OSError:
            reservation.close()
        else:
            return subnet, reservation
    raise OSError(f"all {len(_SUBNETS)} subnets of fleets are in use")


class Answer:
    """HTTP answer to a caller or an operator."""

    def __init__(self, status: int, headers, body: bytes, is_whole: bool) -> None:
        self.status, self.headers, self.body = status, headers, body
        self.is_whole = is_whole


@define(eq=False)
class FleetOfProcesses:
    """Controllers and routers on loopback addresses, all with the same ports."""

    folder: Path
    platform: PlatformStandIn
    controllers: list[FleetProcess] = field(factory=list)
    routers: list[FleetProcess] = field(factory=list)
    base_port: int = 0
    #: Whether links to each controller pass through a proxy.
    has_link_proxies: bool = False
    #: Further lines of the section ``[bounds]`` of all processes.
    further_bounds: str = ""
    #: Memory in megabytes that the settings state; 0 if they state none.
    memory_mb: int = 0
    _reservation: socket.socket | None = field(default=None, init=False)

    def start(self, controllers: int = 3, routers: int = 2) -> None:
        subnet, self._reservation = _reserve_subnet(os.getpid() * 7 + id(self))
        self.base_port = _BASE_PORTS[os.getpid() * 31 % len(_BASE_PORTS)]
        ips = [f"127.{subnet}.0.{number + 1}" for number in range(250)]
        for number in range(controllers):
            self.controllers.append(
                self._process(f"core-{number + 1}", "controller", ips[number], ips)
            )
        for number in range(routers):
            ip = ips[10 + number]
            self.routers.append(self._process(f"entry-{number + 1}", "router", ip, ips))
        for process in (*self.controllers, *self.routers):
            process.start()

    def _process(self, name, role, ip, ips, founds_group=True) -> FleetProcess:
        base_port = self.base_port
        seeds = ",".join(f"{seed}:{base_port}" for seed in ips[:3])
        data = self.folder / name / "data"
        settings = self.folder / f"{name}.ini"
        is_router = role == "router"
        settings.write_text(
            _SETTINGS_TEMPLATE.format(
                name=name,
                ip=ip,
                listen=base_port + (1 if is_router else 0),
                ready=f"{ip}:{base_port + 2}" if is_router else "",
                directory=f"{ip}:{base_port + 3}" if is_router else "",
                internal=base_port + 10,
                last=base_port + 15,
                seeds=seeds,
                links_listen=self._links_listen(role, ip),
                founds="true" if founds_group else "false",
                data="" if is_router else data,
                target_list=self.platform.list_address,
                memory=f"memory-mb = {self.memory_mb}\n" if self.memory_mb else "",
            )
            + self.further_bounds
        )
        port = base_port + (1 if is_router else 0)
        log = self.folder / f"{name}.log"
        return FleetProcess(name, role, ip, port, settings, log, data)

    def _links_listen(self, role: str, ip: str) -> str:
        """Return the ``links-listen`` setting, empty if no proxy is in use."""
        if role == "router" or not self.has_link_proxies:
            return ""
        return f"links-listen = {self.links_address(ip, is_own=True)}\n"

    def links_address(self, ip: str, is_own: bool = False) -> Address:
        """Return the address at which peers open links to a controller.

        With ``is_own``, return the address at which the controller accepts them.
        """
        return Address(ip, self.base_port + (14 if is_own else 10))

    def close(self) -> None:
        for process in (*self.controllers, *self.routers):
            if process.process is not None and process.process.poll() is None:
                process.kill()
        if self._reservation is not None:
            self._reservation.close()

    def operator(self, method: str, path: str, body: bytes = b"") -> Answer | None:
        """Make an operator's call to any controller, and follow a redirect."""
        for controller in self.controllers:
            answer = self._call(controller, method, path, body)
            if answer is not None and answer.status == 307:
                host, port = answer.headers["Location"].split("/")[2].split(":")
                answer = send_call(host, int(port), method, path, {}, body, 3.0)
            if answer is not None and answer.status < 500 and answer.status != 307:
                return answer
        return None

    def _call(self, controller, method, path, body) -> Answer | None:
        if controller.process.poll() is not None:
            return None
        return send_call(controller.ip, controller.port, method, path, {}, body, 2.0)

    def put(self, values: dict | bytes) -> Answer:
        """Put a configuration, and retry until a controller answers."""
        body = values if isinstance(values, bytes) else json.dumps(values).encode()
        return wait_until(
            lambda: self.operator("PUT", "/config", body), "an answer to PUT /config"
        )

    def name_weights(self, version: int) -> Answer:
        body = json.dumps({"model": MODEL, "version": version}).encode()
        return wait_until(
            lambda: self.operator("POST", "/version-put", body),
            "an answer to POST /version-put",
        )

    def ask(
        self,
        router: FleetProcess,
        path: str,
        request_id: str,
        method: str = "POST",
        body: bytes = b"{}",
        key: str = KEY,
        **options: str,
    ) -> Answer | None:
        """Send a caller's request; return its answer, None if the connection failed."""
        headers = {
            "Host": "app.example",
            "Authorization": f"Bearer {key}",
            "Berylnotch-Request-Id": request_id,
            "Berylnotch-Deadline-Ms": options.pop("deadline_ms", "4000"),
        }
        if path.startswith("/chat/"):
            headers["Berylnotch-Model"] = MODEL
            headers["Berylnotch-Token-Count"] = "3000,20"
            headers["Berylnotch-Prefix-Hash"] = "aa01:2000,bb02:1000"
        headers.update({name.replace("_", "-"): v for name, v in options.items()})
        return send_call(router.ip, router.port, method, path, headers, body, 8.0)

    def ask_raw(self, router: FleetProcess, path: str, request_id: str) -> bytes:
        """Send a model request, and return all bytes until the connection is closed."""
        head = (
            f"POST {path} HTTP/1.1\r\nHost: app.example\r\n"
            f"Authorization: Bearer {KEY}\r\nBerylnotch-Request-Id: {request_id}\r\n"
            f"Berylnotch-Model: {MODEL}\r\nBerylnotch-Token-Count: 3000,20\r\n"
            "Berylnotch-Prefix-Hash: aa01:2000,bb02:1000\r\n"
            "Berylnotch-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\n{}"
        )
        data = b""
        with socket.create_connection((router.ip, router.port), timeout=8) as sock:
            sock.sendall(head.encode())
            while chunk := sock.recv(65536):
                data += chunk
        return data

    def make_ready(self) -> None:
        """Put a first configuration, and wait until all routers serve with it."""
        assert self.put(configuration(3)).status == 200
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until each router is ready and knows the targets."""
        for router in self.routers:
            wait_until(
                lambda r=router: self._is_ready(r), f"{router.name} to become ready"
            )
        for router in self.routers:
            wait_until(
                lambda r=router: self._serves(r), f"{router.name} to serve requests"
            )

    def _is_ready(self, router: FleetProcess) -> bool:
        answer = send_call(
            router.ip, self.base_port + 2, "GET", "/readyz", {}, b"", 1.0
        )
        return answer is not None and answer.status == 200

    def _serves(self, router: FleetProcess) -> bool:
        answer = self.ask(router, "/read/ready", f"ready-{time.monotonic()}", "GET")
        return answer is not None and answer.status == 200

    def metrics(self, process: FleetProcess) -> str:
        """Return the metrics of a process."""
        answer = send_call(
            process.ip, self.base_port + 11, "GET", "/metrics", {}, b"", 2.0
        )
        return answer.body.decode()

    def leader(self) -> FleetProcess | None:
        """Return the leading controller by the newest log lines, None without one."""
        for controller in self.controllers:
            if controller.process.poll() is not None:
                continue
            events = [
                f["event"]
                for f in controller.lines()
                if f.get("event") in ("leading", "leading_ended", "started")
            ]
            if events and events[-1] == "leading":
                return controller
        return None


def send_call(host, port, method, path, headers, body, timeout_s) -> Answer | None:
    """Send one HTTP request; return its answer, None if the connection failed."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        data, is_whole = b"", True
        try:
            data = response.read()
        except http.client.IncompleteRead as error:
            data, is_whole = error.partial, False
        return Answer(response.status, response.headers, data, is_whole)
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def in_threads(calls) -> list:
    """Run calls concurrently in threads, and return their results in order."""
    results = [None] * len(calls)

    def run_call(position):
        results[position] = calls[position]()

    threads = [threading.Thread(target=run_call, args=(n,)) for n in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results
