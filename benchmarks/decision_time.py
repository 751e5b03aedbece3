"""Measures the time of one placement decision.

Run with ``python -m benchmarks.decision_time``.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections.abc import Sequence

from hdrh.histogram import HdrHistogram

from benchmarks.router import StandInView
from berylnotch.fleet.model import Fleet, Service, ServiceKind, Target
from berylnotch.membership.settings import MembershipSettings
from berylnotch.membership.targets import LoadReport, TargetHealth
from berylnotch.placement.hints import CacheEvent
from berylnotch.placement.placer import PlacementRequest, Placer, Prompt
from berylnotch.placement.settings import PlacementSettings

#: Longest time that the histograms record, in microseconds.
MAX_RECORDED_US = 1_000_000


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="benchmarks.decision_time", description=__doc__
    )
    parser.add_argument("--engines", type=int, default=850)
    parser.add_argument("--pieces", type=int, default=64, help="pieces of a prompt")
    parser.add_argument("--decisions", type=int, default=5000)
    parser.add_argument("--prompts", type=int, default=200, help="distinct prompts")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Measure and print the percentiles of each step."""
    args = get_parser().parse_args(argv)
    rng = random.Random(1)
    settings = PlacementSettings()
    view = _make_view(args.engines)
    service = Service("language", ServiceKind.LANGUAGE, weights="v1")
    health = TargetHealth(MembershipSettings())
    for name in view.fleet.targets:
        health.report(name, LoadReport("1", 0.0, rng.random()))
    placer = Placer(settings)
    prompts = _make_prompts(rng, args.prompts, args.pieces * settings.piece_bytes)
    steps = {
        name: HdrHistogram(1, MAX_RECORDED_US, 3) for name in ("hash", "decide", "note")
    }
    for number in range(args.decisions):
        now = number / 100.0
        prompt = Prompt("clinic", "language", rng.choice(prompts), settings.piece_bytes)
        _measure_step(steps["hash"], lambda prompt=prompt: prompt.chain("v1"))
        request = PlacementRequest(prompt, "domain-1")

        def decide(now=now, request=request):
            names = health.names(view, service.name)
            names = placer.shortlist(now, request, service, names)
            candidates = health.candidates(now, view, service.name, names)
            return placer.rank(now, request, candidates)

        ranked = _measure_step(steps["decide"], decide)
        best = ranked[0]
        _measure_step(
            steps["note"],
            lambda now=now, request=request, best=best: placer.record_sent(
                now, request, best
            ),
        )
        event = CacheEvent(best.name, "1", number + 1, prompt.chain("v1"))
        placer.cache_event(now, event)
    print(f"{args.engines} engines, {args.pieces} pieces, times in microseconds")
    for name, histogram in steps.items():
        p50 = histogram.get_value_at_percentile(50.0)
        p99 = histogram.get_value_at_percentile(99.0)
        print(f"{name:8} p50 {p50:6} p99 {p99:6}")
    return 0


def _measure_step(histogram: HdrHistogram, step):
    started = time.perf_counter()
    result = step()
    taken_us = 1e6 * (time.perf_counter() - started)
    histogram.record_value(max(1, round(taken_us)))
    return result


def _make_view(engines: int) -> StandInView:
    names = [f"engine-{i}" for i in range(engines)]
    targets = {
        name: Target(name, "language", "", f"domain-{i % 4}", capacity=48)
        for i, name in enumerate(names)
    }
    return StandInView(Fleet(targets=targets), dict.fromkeys(names, "v1"))


def _make_prompts(rng: random.Random, count: int, size_bytes: int) -> list[bytes]:
    """Return prompts of ``size_bytes`` bytes; some of them share their first half."""
    prefixes = [rng.randbytes(size_bytes // 2) for _ in range(max(1, count // 10))]
    suffix_bytes = size_bytes - size_bytes // 2
    return [rng.choice(prefixes) + rng.randbytes(suffix_bytes) for _ in range(count)]


if __name__ == "__main__":
    sys.exit(main())
