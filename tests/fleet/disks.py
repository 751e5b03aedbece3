"""Full disks of a fleet's processes, and operators that send changes meanwhile."""

from __future__ import annotations

import itertools
import json
import resource
import threading
import time
from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime

from attrs import define, field

from tests.fleet.processes import (
    FleetProcess,
    configuration,
    parse_fields,
    read_lines,
    send_call,
)

#: Seconds for which an operator waits for an answer before it tries another controller.
ANSWER_TIMEOUT_S = 1.0

#: Pauses in seconds of an operator between the attempts at one change; the last one is
#: repeated.
BACKOFF_S = (0.1, 0.2, 0.4, 0.8)

#: Seconds after which an operator gives up a change.
GIVE_UP_S = 12.0

#: Redirects that an operator follows in one attempt.
MAX_REDIRECTS = 2

#: Events of controllers that show why a change waited.
LEADERSHIP_EVENTS = frozenset(
    (
        "disk_failed",
        "disk_recovered",
        "gives_way",
        "leader_changed",
        "leading",
        "leading_ended",
        "replica_started",
    )
)


def fill_disk(process: FleetProcess, left_bytes: int = 0) -> None:
    """Let every write of a process beyond an offset in a file fail.

    The limit on the size of files stands in for a full disk; it also holds for the
    file of the process's log. Python ignores SIGXFSZ, so writes fail with EFBIG.

    Parameters
    ----------
    left_bytes : int
        Offset in bytes up to which files can be written. One that lies within the
        next record makes writes fail halfway.
    """
    print(f"time={wall_time()} process={process.name} event=disk_filled")
    limit_file_size(process.process.pid, left_bytes)


def empty_disk(process: FleetProcess) -> None:
    """Let the writes of a process succeed again."""
    print(f"time={wall_time()} process={process.name} event=disk_emptied")
    limit_file_size(process.process.pid, resource.RLIM_INFINITY)


def wall_time() -> str:
    """Return the time of the wall clock as logs state it."""
    now = datetime.now(UTC)
    return f"{now:%Y-%m-%dT%H:%M:%S}.{now.microsecond // 1000:03d}Z"


def print_leadership(controllers: Iterable[FleetProcess]) -> None:
    """Print the log lines about disks and elections, and the refused calls, by time."""
    lines = []
    for controller in controllers:
        for text in read_lines(controller.log):
            fields = parse_fields(text)
            is_refused = fields.get("status", "200") not in ("200", "307")
            if fields.get("event") in LEADERSHIP_EVENTS or is_refused:
                lines.append(text)
    print("\n".join(sorted(lines)))


def limit_file_size(pid: int, size: int) -> None:
    """Set the largest offset in bytes to which a started process can write files."""
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, hard_limit))


@define(eq=False)
class Change:
    """Change that an operator sends until it is acknowledged.

    Attributes
    ----------
    sent_at, acknowledged_at : float
        Times of the monotonic clock in seconds; the second is None without a success.
    attempts : list of str
        Result of each attempt: ``acknowledged``, ``refused STATUS`` or ``unanswered``.
    history : list of str
        Time of each attempt's begin, the controller that answered or did not, and the
        result.
    """

    version: int
    sent_at: float
    acknowledged_at: float | None = None
    attempts: list[str] = field(factory=list)
    history: list[str] = field(factory=list)

    @property
    def wait_s(self) -> float:
        """Seconds from the first attempt to the success; infinite without one."""
        if self.acknowledged_at is None:
            return float("inf")
        return self.acknowledged_at - self.sent_at


class Operators:
    """Operators that send configurations of rising versions to all controllers.

    Each of them sends one change after the other, each until it is acknowledged, and
    goes to the next controller after a failure, as the platform's operators do.

    Parameters
    ----------
    controllers : sequence of FleetProcess
        Controllers in the order in which the operators try them.
    first_version : int
        Version of the first change.
    count : int
        Number of operators.
    """

    def __init__(
        self,
        controllers: Sequence[FleetProcess],
        first_version: int = 10,
        count: int = 3,
    ) -> None:
        self._controllers = controllers
        self._versions = itertools.count(first_version)
        self._is_ending = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_all, args=(n,)) for n in range(count)
        ]
        self.changes: list[Change] = []

    def start(self) -> None:
        """Start to send changes."""
        for thread in self._threads:
            thread.start()

    def close(self) -> None:
        """Begin no more changes, and wait for those that are begun."""
        self._is_ending.set()
        for thread in self._threads:
            thread.join()

    @property
    def newest_acknowledged(self) -> int:
        """Highest version that was acknowledged, 0 if none was."""
        done = [c.version for c in self.changes if c.acknowledged_at is not None]
        return max(done, default=0)

    def _send_all(self, position: int) -> None:
        turns = itertools.count(position)
        while not self._is_ending.is_set():
            change = Change(next(self._versions), time.monotonic())
            self.changes.append(change)
            self._send(change, turns)
            time.sleep(0.05)

    def _send(self, change: Change, turns: itertools.count) -> None:
        body = json.dumps(configuration(change.version)).encode()
        pauses = itertools.chain(BACKOFF_S, itertools.repeat(BACKOFF_S[-1]))
        while time.monotonic() - change.sent_at < GIVE_UP_S:
            position = next(turns) % len(self._controllers)
            began = wall_time()
            result, asked = self._attempt(self._controllers[position], body)
            change.attempts.append(result)
            change.history.append(f"{began} {asked} {result}")
            if result == "acknowledged":
                change.acknowledged_at = time.monotonic()
                return
            time.sleep(next(pauses))

    def _attempt(self, controller: FleetProcess, body: bytes) -> tuple[str, str]:
        """Return the result of an attempt, and the address asked last."""
        host, port = controller.ip, controller.port
        for _ in range(MAX_REDIRECTS + 1):
            answer = send_call(host, port, "PUT", "/config", {}, body, ANSWER_TIMEOUT_S)
            if answer is None:
                return "unanswered", host
            if answer.status != 307:
                break
            host, port = answer.headers["Location"].split("/")[2].split(":")
            port = int(port)
        if answer.status == 200:
            return "acknowledged", host
        return f"refused {answer.status}", host


def describe(changes: Sequence[Change], since: float) -> str:
    """Return the results of attempts by second of the change, for failed asserts."""
    lines = []
    by_second = itertools.groupby(
        sorted(changes, key=lambda c: c.sent_at), lambda c: int(c.sent_at - since)
    )
    for second, group in by_second:
        group = list(group)
        counts = Counter(result for change in group for result in change.attempts)
        longest_s = max(change.wait_s for change in group)
        lines.append(f"{second} s: {dict(counts)}, longest wait {longest_s:.1f} s")
    return "\n".join(lines)
