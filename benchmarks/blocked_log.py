"""Measures the effect of an unread log pipe on a router's callers.

Run it with ``python -m benchmarks.blocked_log``. A fleet of real processes serves the
same load twice: with the router's log output discarded, and with the output in a pipe
that no process reads.
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

#: Concurrent callers; each opens a new connection for every request.
CALLERS = 8


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=30.0)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print a line for each of the two runs."""
    args = get_parser().parse_args(argv)
    for is_log_read in (True, False):
        latencies_s, failed = _measure_run(args.seconds, is_log_read)
        latencies_s.sort()
        p50, p99 = (1000 * latencies_s[int(len(latencies_s) * q)] for q in (0.5, 0.99))
        print(
            f"log_read={is_log_read} answers={len(latencies_s)} failed={failed} "
            f"per_s={len(latencies_s) / args.seconds:.0f} "
            f"p50_ms={p50:.1f} p99_ms={p99:.1f}",
            flush=True,
        )
    return 0


def _measure_run(seconds: float, is_log_read: bool) -> tuple[list[float], int]:
    platform = PlatformStandIn()
    platform.start()
    with tempfile.TemporaryDirectory() as folder:
        fleet = FleetOfProcesses(Path(folder), platform)
        try:
            for number in (1, 2):
                platform.add(f"llm-{number}", "llm", version=1)
                platform.add(f"desk-{number}", "desk")
            fleet.start(routers=1)
            fleet_configuration = configuration(1)
            # Disables the rate limit, so that no request of the load is refused.
            fleet_configuration["tenants"][0]["ratePerS"] = 0
            fleet.put(fleet_configuration)
            fleet.wait_ready()
            router = fleet.routers[0]
            router.kill()
            output = subprocess.DEVNULL if is_log_read else subprocess.PIPE
            command = [sys.executable, "-m", "berylnotch.cmd.fleetd", "router"]
            router.process = subprocess.Popen(
                [*command, "--settings", str(router.settings)], stdout=output
            )
            fleet.wait_ready()
            return _run_load(fleet, seconds)
        finally:
            fleet.close()
            platform.close()


def _run_load(fleet: FleetOfProcesses, seconds: float) -> tuple[list[float], int]:
    latencies_s: list[float] = []
    failed = [0]
    end_time = time.monotonic() + seconds

    def run_caller(caller: int) -> None:
        number = 0
        while time.monotonic() < end_time:
            number += 1
            started = time.monotonic()
            answer = fleet.ask(fleet.routers[0], "/book/x", f"{caller}-{number}")
            if answer is not None and answer.status == 200:
                latencies_s.append(time.monotonic() - started)
            else:
                failed[0] += 1

    threads = [threading.Thread(target=run_caller, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies_s, failed[0]


if __name__ == "__main__":
    raise SystemExit(main())
