"""Cost of a router against a direct connection: `python -m benchmarks.router_cost`.

Phases alternate in one run, direct to the stand-in engines and through one
router, with the same load.
"""

from __future__ import annotations

import argparse
import json
import shutil
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
from attrs import frozen

from benchmarks.load import LoadGenerator, LoadReport, LoadSettings
from benchmarks.process_stat import ProcessStat, read_process_stat
from berylnotch.control.commands import Status
from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import ConditionError, LocalFleet, wait_for
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_fleet_text

_ENGINE = ("--slots", "500", "--first-ms", "20", "--piece-ms", "1")
_RATE = 200_000
_BURST = 2_000_000
_CAPACITY = 500


@frozen
class Phase:
    """Report of one phase, with the router's processor time and memory.

    The processor share covers the period of steady load.
    """

    through: str
    report: LoadReport
    router_cpu_share: float
    router_rss_mb: float
    router_peak_rss_mb: float


class ProcessSampler:
    """Samples a process at the beginning and the end of the steady load."""

    def __init__(self, pid: int, settings: LoadSettings) -> None:
        now = time.monotonic()
        self._pid = pid
        self._due_times = [now + settings.warmup_s, now + settings.duration_s]
        self._samples: list[tuple[float, ProcessStat]] = []

    def tick(self) -> None:
        """Take a sample if one is due."""
        now = time.monotonic()
        if len(self._samples) < 2 and now >= self._due_times[len(self._samples)]:
            self._samples.append((now, read_process_stat(self._pid)))

    def phase(self, through: str, report: LoadReport) -> Phase:
        """Return the phase, with the processor time and memory of the process."""
        (begin, before), (end, after) = self._samples
        cpu_share = (after.cpu_s - before.cpu_s) / (end - begin)
        return Phase(
            through,
            report,
            router_cpu_share=round(cpu_share, 3),
            router_rss_mb=round(after.rss_mb, 1),
            router_peak_rss_mb=round(after.peak_rss_mb, 1),
        )


@frozen
class Deployment:
    """A running fleet: addresses of its router and engines, and callers' keys."""

    fleet: LocalFleet
    router: str
    engines: tuple[str, ...]
    keys: tuple[str, ...]


def start_deployment(
    fleet: LocalFleet, engine: tuple[str, ...] = _ENGINE
) -> Deployment:
    """Start three controllers, a router, two engines and a plain target."""
    fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
    engines = tuple(
        (name, fleet.start_engine(name, *engine).address) for name in ("e1", "e2")
    )
    plain = (("p1", fleet.start_plain("p1").address),)
    routers = (("r1", fleet.start_router("r1", DOMAINS[0]).address),)
    small_fleet = SmallFleet(
        routers, engines, plain, rate=_RATE, burst=_BURST, timeout="120 s"
    )
    text = small_fleet_text(small_fleet)
    for name, _address in engines:
        section = f"[target {name}]\n"
        text = text.replace(section, f"{section}capacity = {_CAPACITY} requests\n")
    result = fleet.apply(text, base_revision=0)
    if result.status is not Status.OK:
        raise ConditionError(result.message)
    keys = tuple(fleet.give_key(name).key for name in small_fleet.organisations)
    for key in keys:
        caller = CallerClient(routers[0][1], key)
        wait_for(lambda c=caller: c.send("GET", "/v1/models").status == 200, "key")
    return Deployment(fleet, routers[0][1], tuple(a for _, a in engines), keys)


def measure(deployment: Deployment, settings: LoadSettings, through: str) -> Phase:
    """Run one phase: ``through`` is ``direct`` or ``router``."""
    if through == "direct":
        settings = attrs.evolve(settings, addresses=deployment.engines)
    else:
        settings = attrs.evolve(
            settings, addresses=(deployment.router,), keys=deployment.keys
        )
    sampler = ProcessSampler(deployment.fleet.children["r1"].pid, settings)
    report = LoadGenerator(settings).run(sampler.tick)
    return sampler.phase(through, report)


def print_phase(phase: Phase) -> None:
    """Print one line of the table."""
    report = phase.report
    print(
        f"{phase.through:7} {report.whole:5}/{report.requests:<5} "
        f"{report.events_per_s:8.0f} {report.most_open:5} "
        f"{report.first_event.p50_ms:7.1f} {report.first_event.p99_ms:7.1f} "
        f"{report.gap.p95_ms:7.1f} {report.gap.p99_ms:7.1f} {report.lost:5} "
        f"{phase.router_cpu_share:7.3f} {phase.router_peak_rss_mb:7.1f} "
        f"{report.generator_cpu_share:7.3f}",
        flush=True,
    )


def get_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.router_cost", description="Measure a router's cost."
    )
    parser.add_argument("--rounds", type=int, default=2)
    parser.add_argument("--duration-s", type=float, default=30.0)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--tokens", type=int, default=324)
    parser.add_argument("--json", type=Path, help="file for the whole reports")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print a table; return 1 if a stream was incomplete or faulty."""
    args = get_parser().parse_args(argv)
    settings = LoadSettings(
        addresses=(), rate=args.rate, duration_s=args.duration_s, tokens=args.tokens
    )
    folder = Path(tempfile.mkdtemp(prefix="berylnotch-cost-"))
    fleet = LocalFleet(folder)
    try:
        phases = run(fleet, settings, args.rounds)
    finally:
        fleet.close()
    shutil.rmtree(folder)
    if args.json:
        text = json.dumps([attrs.asdict(phase) for phase in phases], indent=2)
        args.json.write_text(text + "\n", encoding="utf-8")
    return 0 if all(p.report.whole == p.report.requests for p in phases) else 1


def run(fleet: LocalFleet, settings: LoadSettings, rounds: int) -> list[Phase]:
    """Start the fleet and alternate direct and routed phases."""
    deployment = start_deployment(fleet)
    print(
        "through whole/asked events/s  open first50 first99   gap95   gap99  lost "
        "rtr_cpu rtr_MB  gen_cpu"
    )
    phases = []
    for through in ("direct", "router") * rounds:
        phases.append(measure(deployment, settings, through))
        print_phase(phases[-1])
    return phases


if __name__ == "__main__":
    sys.exit(main())
