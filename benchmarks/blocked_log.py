"""What a reader of the log that stopped costs a router's callers.

Run it with ``python -m benchmarks.blocked_log``. A fleet of real processes is asked the
same for some seconds twice: with its router's log read, and with nobody reading it.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import FleetOfProcesses, configuration

#: Callers that ask at the same time, each on a connection a request.
CALLERS = 8


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=30.0)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print a line for each of the two runs."""
    args = get_parser().parse_args(argv)
    for is_read in (True, False):
        times, failed = _run(args.seconds, is_read)
        times.sort()
        p50, p99 = (1000 * times[int(len(times) * q)] for q in (0.5, 0.99))
        print(
            f"log_read={is_read} answers={len(times)} failed={failed} "
            f"per_s={len(times) / args.seconds:.0f} p50_ms={p50:.1f} p99_ms={p99:.1f}",
            flush=True,
        )
    return 0


def _run(seconds: float, is_read: bool) -> tuple[list[float], int]:
    platform = PlatformStandIn()
    platform.start()
    with tempfile.TemporaryDirectory() as folder:
        fleet = FleetOfProcesses(Path(folder), platform)
        try:
            for number in (1, 2):
                platform.add(f"llm-{number}", "llm", version=1)
                platform.add(f"desk-{number}", "desk")
            fleet.start(routers=1)
            values = configuration(1)
            # No limit: the load is to be served whole.
            values["tenants"][0]["ratePerS"] = 0
            fleet.put(values)
            fleet.wait_ready()
            router = fleet.routers[0]
            router.kill()
            output = subprocess.DEVNULL if is_read else subprocess.PIPE
            command = [sys.executable, "-m", "berylnotch.cmd.fleetd", "router"]
            router.process = subprocess.Popen(
                [*command, "--settings", str(router.settings)], stdout=output
            )
            fleet.wait_ready()
            return _load(fleet, seconds)
        finally:
            fleet.close()
            platform.close()


def _load(fleet: FleetOfProcesses, seconds: float) -> tuple[list[float], int]:
    times: list[float] = []
    failed = [0]
    ends = time.monotonic() + seconds

    def call(caller: int) -> None:
        number = 0
        while time.monotonic() < ends:
            number += 1
            started = time.monotonic()
            answer = fleet.ask(fleet.routers[0], "/book/x", f"{caller}-{number}")
            if answer is not None and answer.status == 200:
                times.append(time.monotonic() - started)
            else:
                failed[0] += 1

    threads = [threading.Thread(target=call, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return times, failed[0]


if __name__ == "__main__":
    raise SystemExit(main())
