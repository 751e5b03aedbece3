"""Starts a small fleet on loopback addresses with the commands of the deploy file.

Only the standard library is used. Controllers and routers are real processes. The
platform's list of targets is served by a thread of the test; engines are processes of
their own (`engine.py` beside this file).
"""

from __future__ import annotations

import contextlib
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
import tomllib
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HERE = Path(__file__).resolve().parent
HOST = "app.example"
KEY = "key-of-alpha"
MODEL = "model-1"

#: Bounds of the settings, as on the sheets of the users' two small installations.
BOUNDS = {
    "drainMs": 3000,
    "graceS": 8,
    "configApplyMs": 2000,
    "contactMs": 3000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 52,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 190000,
    "leaseMs": 3000,
    "versionMs": 15000,
    "ttl_max_s": 5,
}


#: Longest run of a case in seconds; the rest of 120 s is for the end of its processes.
LONGEST_RUN_S = 105


class CannotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


def has_trouble() -> bool:
    """Whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def wait_until(condition, what: str, timeout_s: float = 25.0):
    """Wait for a condition that must come true before the case can run."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise CannotRunError(f"not within {timeout_s:g} s: {what}")


class Record:
    """File with what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._began_at = time.monotonic()
        self._mutex = threading.Lock()

    def __call__(self, text: str) -> None:
        """Write a line with the time since the start."""
        with self._mutex:
            self._file.write(f"{time.monotonic() - self._began_at:8.3f} s  {text}\n")
            self._file.flush()


class Platform:
    """List of targets, which lags a little behind what the test sets."""

    def __init__(self, ip: str, lag_s: float = 0.8) -> None:
        self.lag_s = lag_s
        self._mutex = threading.Lock()
        self._versions: list[tuple[float, bytes]] = [(0.0, _list_body([]))]
        platform = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self) -> None:
                body = platform.body()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_arguments: object) -> None:
                return

        self._server = ThreadingHTTPServer((ip, 0), Handler)
        self.address = f"{ip}:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def set_entries(self, entries: list[dict]) -> None:
        """Set the entries that the list shows after its lag."""
        self.set_body(_list_body(entries))

    def set_body(self, body: bytes) -> None:
        """Set the body that the list shows after its lag."""
        with self._mutex:
            self._versions.append((time.monotonic() + self.lag_s, body))

    def body(self) -> bytes:
        """Return what the list shows now."""
        now = time.monotonic()
        with self._mutex:
            return [body for at, body in self._versions if at <= now][-1]

    def close(self) -> None:
        """Stop the server."""
        self._server.shutdown()
        self._server.server_close()


def _list_body(entries: list[dict]) -> bytes:
    return json.dumps({"instances": entries, "nextToken": None}).encode()


class Engine:
    """Engine process at a fixed address; each start is a new boot with a new id."""

    def __init__(self, fleet: Fleet, service: str, number: int, mode: str) -> None:
        self.fleet, self.service, self.number, self.mode = fleet, service, number, mode
        self.ip = fleet.ip(100 + number)
        self.port = fleet.free_port(self.ip)
        self.boots = 0
        self.events = fleet.folder / f"engine-{number}.log"
        self.events.touch()
        self.process: subprocess.Popen | None = None
        self.state = "ready"

    @property
    def target_id(self) -> str:
        """Identity of the present boot."""
        return f"i-{self.number}-{self.boots}"

    def start(self) -> None:
        """Start the process."""
        self.boots += 1
        self.born = int(time.time() * 1000)
        command = [sys.executable, str(HERE / "engine.py")]
        command += [self.ip, str(self.port), self.target_id, self.mode]
        command += [str(self.events)]
        self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL)
        self.fleet.children.append(self.process)

    def is_listening(self) -> bool:
        """Tell whether the engine accepts channels."""
        try:
            socket.create_connection((self.ip, self.port), timeout=1.0).close()
        except OSError:
            return False
        return True

    def kill(self) -> None:
        """Kill the engine, and wait for its end."""
        self.process.kill()
        self.process.wait()

    def entry(self) -> dict:
        """Return the entry of the engine in the list."""
        entry = {
            "id": self.target_id,
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": "north",
            "version": "v1",
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "born": self.born,
        }
        if self.service == "llm":
            entry["stage"] = "both"
            entry["models"] = [{"name": MODEL, "version": 1, "adapters": []}]
        return entry

    def lines(self) -> list[dict]:
        """Return what the engine wrote: an object for each request that reached it."""
        text = self.events.read_text(encoding="utf-8")
        return [
            json.loads(line)
            for line in text.splitlines(keepends=True)
            if line.endswith("\n")
        ]


class Member:
    """Controller or router process."""

    def __init__(self, name: str, role: str, ip: str, settings: Path, log: Path):
        self.name, self.role, self.ip = name, role, ip
        self.settings, self.log = settings, log
        self.process: subprocess.Popen | None = None


class Fleet:
    """Controllers, routers, engines and the platform of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.children: list[subprocess.Popen] = []
        self.members: list[Member] = []
        self.engines: list[Engine] = []
        self._subnet, self._reservation = _reserve_subnet()
        self.base = self._find_base_port()
        self.platform = Platform(self.ip(200))

    def ip(self, number: int) -> str:
        """Return an address of this fleet."""
        return f"127.{self._subnet}.7.{number}"

    def free_port(self, ip: str) -> int:
        """Return a port that is free at an address."""
        with socket.socket() as sock:
            sock.bind((ip, 0))
            return sock.getsockname()[1]

    def _find_base_port(self) -> int:
        for base in range(20000 + os.getpid() % 5000, 32000, 40):
            try:
                for offset in (0, 1, 2, 3, 10, 11):
                    with socket.socket() as sock:
                        sock.bind((self.ip(1), base + offset))
            except OSError:
                continue
            return base
        raise CannotRunError("no free ports")

    # Processes of the project.

    def start(self, controllers: int = 3, routers: int = 2) -> None:
        """Start the fleet, each process with the command of the deploy file."""
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        for number in range(controllers):
            self._start_member(f"core-{number + 1}", "controller", number + 1, roles)
        for number in range(routers):
            self._start_member(f"entry-{number + 1}", "router", number + 11, roles)

    def _start_member(self, name: str, role: str, number: int, roles: dict) -> None:
        ip = self.ip(number)
        settings = self.folder / f"{name}.conf"
        template = (ROOT / roles[role]["template"]).read_text(encoding="utf-8")
        settings.write_text(_render(template, self._fields(name, ip, role)))
        member = Member(name, role, ip, settings, self.folder / f"{name}.log")
        self.members.append(member)
        self.start_process(member, roles[role]["run"])

    def start_process(self, member: Member, run: str) -> None:
        """Start a process with the command of its role."""
        command = [
            str(member.settings) if word == "/etc/berylnotch/settings.conf" else word
            for word in run.split()
        ]
        command[0] = sys.executable
        paths = os.pathsep.join((str(ROOT / "target" / "deps"), str(ROOT)))
        environment = {
            **{k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ},
            "PYTHONPATH": paths,
            "BERYLNOTCH_CONFIG": str(member.settings),
        }
        with open(member.log, "ab") as log:
            member.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.children.append(member.process)

    def _fields(self, name: str, ip: str, role: str) -> dict[str, str]:
        base = self.base
        seeds = ",".join(f"{self.ip(number)}:{base}" for number in (1, 2, 3))
        fields = {
            "nodeName": name,
            "ip": ip,
            "zone": "north",
            "listen.frontendAddr": f"{ip}:{base + 1}",
            "listen.ready": f"{ip}:{base + 2}",
            "listen.directory": f"{ip}:{base + 3}",
            "listen.controlPlane": f"{ip}:{base}",
            "internalPorts": f"{base + 10},{base + 25}",
            "seeds": seeds,
            "bootstrap": "true",
            "dataDir": str(self.folder / name) if role == "controller" else "",
            "limits.memoryMb": "300",
            "limits.maxFds": "4100",
            "cloudApi.address": self.platform.address,
            "cloudApi.ratePerS": "40.0",
        }
        fields.update({f"bounds.{k}": str(v) for k, v in BOUNDS.items()})
        return fields

    @property
    def routers(self) -> list[Member]:
        """Routers of the fleet."""
        return [m for m in self.members if m.role == "router"]

    @property
    def controllers(self) -> list[Member]:
        """Controllers of the fleet."""
        return [m for m in self.members if m.role == "controller"]

    # Engines.

    def add_engine(self, service: str, mode: str) -> Engine:
        """Start an engine."""
        engine = Engine(self, service, len(self.engines) + 1, mode)
        self.engines.append(engine)
        engine.start()
        wait_until(engine.is_listening, f"engine {engine.number}")
        return engine

    def list_engines(self) -> None:
        """Let the platform's list show the engines as they are now."""
        self.platform.set_entries([e.entry() for e in self.engines])

    # Operators.

    def put(self, configuration: dict) -> None:
        """Send a configuration until it is acknowledged."""
        body = json.dumps(configuration).encode()
        wait_until(lambda: self._put_once(body), "acknowledgement of a configuration")
        self.record(f"configuration {configuration['version']} is acknowledged")

    def _put_once(self, body: bytes) -> bool:
        for controller in self.controllers:
            address = f"{controller.ip}:{self.base}"
            for _ in range(3):
                status, location = _call(address, "PUT", "/config", body)
                if status == 200:
                    return True
                if status != 307:
                    break
                address = location.split("/")[2]
        return False

    def wait_ready(self) -> None:
        """Wait until all routers are ready."""
        for router in self.routers:
            wait_until(
                lambda r=router: (
                    _call(f"{r.ip}:{self.base + 2}", "GET", "/readyz", b"")[0] == 200
                ),
                f"{router.name} to become ready",
            )

    def ended(self) -> list[str]:
        """Return the processes of the project that ended by themselves."""
        return [m.name for m in self.members if m.process.poll() is not None]

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for child in self.children:
            if child.poll() is None:
                with contextlib.suppress(OSError):
                    child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        self.platform.close()
        self._reservation.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(
    version: int, llm: bool = True, moves: bool = False, **route: object
) -> dict:
    """Return a configuration with a route of each kind."""

    def make_route(name: str, kind: str, service: str, **more: object) -> dict:
        return {
            "name": name,
            "hostname": HOST,
            "pathPrefix": f"/{name}/",
            "routeType": kind,
            "timeoutMs": 10000,
            "targetLatencyMs": 1000,
            "priority": 0,
            "service": service,
            "maxAttempts": 1,
            "public": False,
            "sticky": kind == "streaming",
            "resumable": False,
            "gapTargetMs": 250,
            **more,
            **route,
        }

    engine = {
        "slots": 64,
        "kvCapacityTokens": 154411,
        "tokenBytes": 35136,
        "linkMbps": 740000.0,
        "moves": moves,
        "backups": False,
        "stride": 4,
        "maxInflight": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": MODEL}],
    }
    llm_service = {
        "name": "llm",
        "healthPath": "/healthz",
        "maxConns": 360,
        "protocol": "h1",
        "tls": False,
        "engine": engine,
    }
    desk = {
        "name": "desk",
        "healthPath": "/healthz",
        "maxConns": 96,
        "protocol": "h1",
        "tls": False,
    }
    routes = [
        make_route("book", "non_idempotent", "desk"),
        make_route("read", "idempotent", "desk", maxAttempts=2),
    ]
    if llm:
        routes.append(make_route("chat", "streaming", "llm"))
    return {
        "version": version,
        "routes": routes,
        "services": [desk, llm_service] if llm else [desk],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "alpha",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "uncachedTokens": 200,
                "isolated": False,
                "ratePerS": 54139,
                "burst": 112296,
            }
        ],
    }


class Answer:
    """What a requester received on its channel."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        #: Whether the framing of the answer says that it is whole.
        self.is_complete = False
        self.problem = ""


def ask(
    address: tuple[str, int],
    method: str,
    path: str,
    request_id: str,
    body: bytes = b"",
    deadline_ms: int = 10000,
    timeout_s: float = 12.0,
    headers: dict[str, str] | None = None,
    on_data=None,
) -> Answer:
    """Send one request on a new channel, and read all of its answer."""
    answer = Answer()
    lines = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Berylnotch-Request-Id": request_id,
        "Berylnotch-Deadline-Ms": str(deadline_ms),
        **(headers or {}),
    }
    if body or method == "POST":
        lines["Content-Length"] = str(len(body))
    head = f"{method} {path} HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items()) + "\r\n"
    try:
        with socket.create_connection(address, timeout=1.0) as sock:
            sock.settimeout(timeout_s)
            sender = threading.Thread(
                target=_send, args=(sock, head.encode() + body), daemon=True
            )
            sender.start()
            _read_answer(sock, answer, on_data)
    except (OSError, ValueError) as error:
        answer.problem = repr(error)
    return answer


def _send(sock: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.sendall(data)


def _read_answer(sock: socket.socket, answer: Answer, on_data) -> None:
    file = sock.makefile("rb")
    answer.status = int(file.readline().split()[1])
    while line := file.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(file.readline(), 16)
            data = file.read(size)
            if len(data) < size:
                return
            answer.body += data
            if on_data is not None and data:
                on_data(data)
            file.readline()
            if not size:
                answer.is_complete = True
                return
    length = answer.headers.get("content-length")
    if length is None:
        answer.body = file.read()
        return
    answer.body = file.read(int(length))
    answer.is_complete = len(answer.body) == int(length)


def _call(address: str, method: str, path: str, body: bytes) -> tuple[int, str]:
    host, port = address.split(":")
    connection = HTTPConnection(host, int(port), timeout=1.0)
    try:
        connection.request(
            method, path, body or None, {"Content-Type": "application/json"}
        )
        response = connection.getresponse()
        response.read()
        return response.status, response.getheader("Location", "")
    except (OSError, HTTPException):
        return 0, ""
    finally:
        connection.close()


def _render(template: str, fields: dict[str, str]) -> str:
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: fields.get(m[1], ""), template)


def _reserve_subnet() -> tuple[int, socket.socket]:
    for offset in range(100):
        subnet = 120 + (os.getpid() + offset) % 100
        sock = socket.socket()
        try:
            sock.bind((f"127.{subnet}.7.254", 19998))
        except OSError:
            sock.close()
            continue
        return subnet, sock
    raise CannotRunError("no free loopback addresses")


def main(play) -> None:
    """Play a case: exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    An error of the script, a signal and a run of over `LONGEST_RUN_S` say nothing about
    the rule. Whatever happens, the processes that were started are ended.
    """
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record(f"trouble: {has_trouble()}")

    def on_signal(number: int, _frame: object) -> None:
        raise CannotRunError(f"ended by {signal.Signals(number).name}")

    ending = (signal.SIGTERM, signal.SIGINT, signal.SIGALRM)
    for number in ending:
        signal.signal(number, on_signal)
    signal.alarm(LONGEST_RUN_S)
    code, fleet = 2, None
    try:
        fleet = Fleet(record)
        code = 1 if play(fleet, record) else 0
    except Exception as error:
        record(f"the case could not run: {error!r}")
    finally:
        for number in ending:
            signal.signal(number, signal.SIG_IGN)
        if fleet is not None:
            fleet.close()
        record(f"exit code {code}")
    # Threads may still wait for answers of processes that have ended.
    os._exit(code)
