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
from benchmarks.quota_load import FleetLoad, FleetSize, Measurement, OrganisationLimits
from berylnotch.quota import QuotaSettings

#: Length of a simulated run in seconds, and rate of each organisation in tokens a
#: second.
RUN_S = 30.0
RATE = 2000.0

#: Number of routers in a simulated run.
N_ROUTERS = 8

#: Upper bound of the histograms of waiting times, in milliseconds.
MAX_TIME_MS = 100_000


def get_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(prog="benchmarks.quota", description=__doc__)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--seed", type=int, default=1)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print the owner's cost at several sizes, then the refusals of simulated runs."""
    args = get_parser().parse_args(argv)
    print_cost(args.seconds, args.seed)
    print_refusals(args.seed)
    return 0


def print_cost(seconds: float, seed: int) -> None:
    """Print the owner's cost, one line for each fleet size."""
    print("Owner, all organisations at 60% of their rate:")
    print(
        "routers organisations requests/s lines/s core% codec% "
        "us_p50 us_p99 bytes/s/node_up down owner_MB late%"
    )
    for routers, organisations in ((85, 725), (170, 1450), (340, 2900)):
        size = FleetSize(routers, organisations, 10_000 * routers / 340)
        measurement, memory_mb = measure(size, seconds, seed)
        print(_cost_line(size, measurement, memory_mb))


def measure(size: FleetSize, seconds: float, seed: int) -> tuple[Measurement, float]:
    """Return the owner's cost after a warm-up, and its memory in MB.

    The memory includes the state of the owner and of all routers. It is measured in a
    second, shorter run, because memory tracing slows the owner down.
    """
    load = FleetLoad(QuotaSettings(), size, seed)
    load.run(2.0)
    measurement = load.run(seconds)
    tracemalloc.start()
    traced = FleetLoad(QuotaSettings(), size, seed)
    traced.run(1.0)
    snapshot = tracemalloc.take_snapshot()
    tracemalloc.stop()
    owner_traces = snapshot.filter_traces(
        [
            tracemalloc.Filter(True, "*/quota/bucket.py"),
            tracemalloc.Filter(True, "*/quota/owner.py"),
            tracemalloc.Filter(True, "*/quota/waiting.py"),
            tracemalloc.Filter(True, "*/quota/usage.py"),
        ]
    )
    total = sum(line.size for line in owner_traces.statistics("filename"))
    return measurement, total / 1e6


def _cost_line(size: FleetSize, measurement: Measurement, memory_mb: float) -> str:
    seconds = measurement.seconds
    per_node = seconds * size.routers
    return (
        f"{size.routers:7d} {size.organisations:13d} "
        f"{measurement.requests / seconds:10.0f} {measurement.asks / seconds:7.0f} "
        f"{100 * measurement.grant_s / seconds:5.1f} "
        f"{100 * measurement.codec_s / seconds:6.1f} "
        f"{measurement.grant_us.get_value_at_percentile(50):6d} "
        f"{measurement.grant_us.get_value_at_percentile(99):6d} "
        f"{measurement.bytes_up / per_node:15.0f} "
        f"{measurement.bytes_down / per_node:4.0f} {memory_mb:8.1f} "
        f"{100 * measurement.late_charges / measurement.charges:5.2f}"
    )


def print_refusals(seed: int) -> None:
    """Print refusals and waiting times of organisations that stay within their rate."""
    print()
    print(f"Driven runs, {N_ROUTERS} routers, 4 organisations at 90% of their rate:")
    print("case               requests refused wait_ms_p50 p99 max pause_ms_p99")
    cases = {
        "healthy": (False, None),
        "5x beside them": (True, None),
        "owner lost 3 s": (False, (10.0, 13.0)),
        "both": (True, (10.0, 13.0)),
    }
    for name, (has_overload, outage) in cases.items():
        outcomes, overloading = _simulate(seed, has_overload, outage)
        print(_refusal_line(name, outcomes))
        if overloading is not None:
            print(_refusal_line("  the 5x one", [overloading]))


def _simulate(
    seed: int, has_overload: bool, outage: tuple[float, float] | None
) -> tuple[list[Outcome], Outcome | None]:
    rng = random.Random(seed)
    limits = {f"quiet-{n}": OrganisationLimits(RATE, 4 * RATE) for n in range(4)}
    arrivals: list[Arrival] = []
    for name in limits:
        arrivals += _arrivals(rng, name, 0.9)
    conforming = tuple(limits)
    if has_overload:
        limits["loud"] = OrganisationLimits(RATE, 4 * RATE)
        arrivals += _arrivals(rng, "loud", 5.0)
    driver = Driver(QuotaSettings(), limits, N_ROUTERS)
    lost_at, back_at = outage if outage else (None, None)
    driver.run(arrivals, RUN_S + 60, lost_at, back_at)
    return [driver.outcomes[name] for name in conforming], driver.outcomes.get("loud")


def _arrivals(rng: random.Random, name: str, load_fraction: float) -> list[Arrival]:
    """Draw requests of 400 tokens on average, half of them output."""
    arrivals = []
    at = rng.random()
    while at < RUN_S:
        prompt, output = rng.randint(50, 350), rng.randint(50, 350)
        router = rng.randrange(N_ROUTERS)
        arrivals.append(Arrival(at, router, name, prompt, output, 2.0))
        at += (prompt + output) / (RATE * load_fraction)
    return arrivals


def _refusal_line(name: str, outcomes: Sequence[Outcome]) -> str:
    waits, pauses = HdrHistogram(1, MAX_TIME_MS, 3), HdrHistogram(1, MAX_TIME_MS, 3)
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
