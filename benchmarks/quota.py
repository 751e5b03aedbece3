"""Cost of the quota owner at the target size, and wrongful refusals.

Run with ``python -m benchmarks.quota``.
"""

from __future__ import annotations

import argparse
import random
import sys
import tracemalloc
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from benchmarks.quota_driver import Arrival, Driver, Outcome
from benchmarks.quota_load import FleetLoad, FleetSize, Limits, Measured
from berylnotch.quota import QuotaSettings

#: Length of a driven run in seconds, and its rate in tokens a second.
RUN_S = 30.0
RATE = 2000.0

#: Routers of a driven run.
N_ROUTERS = 8

#: Longest wait that is told apart, in milliseconds.
HIGHEST_MS = 100_000


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.quota", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print the owner's cost at several sizes, then the driven runs."""
    args = get_parser().parse_args(argv)
    print_cost(args.seconds, args.seed)
    print_refusals(args.seed)
    return 0


def print_cost(seconds: float, seed: int) -> None:
    """Print one line for each size of the fleet."""
    print("Owner, all organisations at 60% of their rate:")
    print(
        "routers organisations requests/s lines/s core% codec% "
        "us_p50 us_p99 bytes/s/node_up down owner_MB late%"
    )
    for routers, organisations in ((85, 725), (170, 1450), (340, 2900)):
        size = FleetSize(routers, organisations, 10_000 * routers / 340)
        measured, memory_mb = measure(size, seconds, seed)
        print(_cost_line(size, measured, memory_mb))


def measure(size: FleetSize, seconds: float, seed: int) -> tuple[Measured, float]:
    """Return the owner's work after a warm-up, and its memory in MB.

    The memory is of the owner and all routers' states together, taken in a
    second, shorter run since its tracing costs time.
    """
    load = FleetLoad(QuotaSettings(), size, seed)
    load.run(2.0)
    measured = load.run(seconds)
    tracemalloc.start()
    traced = FleetLoad(QuotaSettings(), size, seed)
    traced.run(1.0)
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    kept = snapshot.filter_traces(
        [
            tracemalloc.Filter(True, "*/quota/bucket.py"),
            tracemalloc.Filter(True, "*/quota/owner.py"),
            tracemalloc.Filter(True, "*/quota/waiting.py"),
            tracemalloc.Filter(True, "*/quota/usage.py"),
        ]
    )
    total = sum(line.size for line in kept.statistics("filename"))
    return measured, total / 1e6


def _cost_line(size: FleetSize, measured: Measured, memory_mb: float) -> str:
    seconds = measured.seconds
    per_node = seconds * size.routers
    return (
        f"{size.routers:7d} {size.organisations:13d} "
        f"{measured.requests / seconds:10.0f} {measured.lines / seconds:7.0f} "
        f"{100 * measured.grant_s / seconds:5.1f} "
        f"{100 * measured.codec_s / seconds:6.1f} "
        f"{measured.grant_us.get_value_at_percentile(50):6d} "
        f"{measured.grant_us.get_value_at_percentile(99):6d} "
        f"{measured.bytes_up / per_node:15.0f} "
        f"{measured.bytes_down / per_node:4.0f} {memory_mb:8.1f} "
        f"{100 * measured.late_charges / measured.charges:5.2f}"
    )


def print_refusals(seed: int) -> None:
    """Print what became of organisations inside their rate."""
    print()
    print(f"Driven runs, {N_ROUTERS} routers, 4 organisations at 90% of their rate:")
    print("case               requests refused wait_ms_p50 p99 max pause_ms_p99")
    cases = {
        "healthy": (False, None),
        "5x beside them": (True, None),
        "owner lost 3 s": (False, (10.0, 13.0)),
        "both": (True, (10.0, 13.0)),
    }
    for name, (is_loud, gap) in cases.items():
        outcomes, loud = _drive(seed, is_loud, gap)
        print(_refusal_line(name, outcomes))
        if loud is not None:
            print(_refusal_line("  the 5x one", [loud]))


def _drive(
    seed: int, is_loud: bool, gap: tuple[float, float] | None
) -> tuple[list[Outcome], Outcome | None]:
    rng = random.Random(seed)
    limits = {f"quiet-{n}": Limits(RATE, 4 * RATE) for n in range(4)}
    arrivals: list[Arrival] = []
    for name in limits:
        arrivals += _arrivals(rng, name, 0.9)
    quiet = tuple(limits)
    if is_loud:
        limits["loud"] = Limits(RATE, 4 * RATE)
        arrivals += _arrivals(rng, "loud", 5.0)
    driver = Driver(QuotaSettings(), limits, N_ROUTERS)
    lost, back = gap if gap else (None, None)
    driver.run(arrivals, RUN_S + 60, lost, back)
    return [driver.outcomes[name] for name in quiet], driver.outcomes.get("loud")


def _arrivals(rng: random.Random, name: str, part: float) -> list[Arrival]:
    """Draw requests of 400 tokens on average, half of them output."""
    arrivals = []
    at = rng.random()
    while at < RUN_S:
        prompt, output = rng.randint(50, 350), rng.randint(50, 350)
        router = rng.randrange(N_ROUTERS)
        arrivals.append(Arrival(at, router, name, prompt, output, 2.0))
        at += (prompt + output) / (RATE * part)
    return arrivals


def _refusal_line(name: str, outcomes: Sequence[Outcome]) -> str:
    waits, pauses = HdrHistogram(1, HIGHEST_MS, 3), HdrHistogram(1, HIGHEST_MS, 3)
    for outcome in outcomes:
        for wait_s in outcome.waits:
            waits.record_value(max(1, round(wait_s * 1000)))
        for pause_s in outcome.pauses:
            pauses.record_value(max(1, round(pause_s * 1000)))
    refused = sum(outcome.refused for outcome in outcomes)
    served = sum(len(outcome.waits) for outcome in outcomes)
    return (
        f"{name:18s} {served + refused:8d} {refused:7d} "
        f"{waits.get_value_at_percentile(50):11d} "
        f"{waits.get_value_at_percentile(99):3d} {waits.get_max_value():3d} "
        f"{pauses.get_value_at_percentile(99):12d}"
    )


if __name__ == "__main__":
    sys.exit(main())
