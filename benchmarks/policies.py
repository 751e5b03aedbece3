"""Compare placement policies on the shapes of both deployments.

Run with ``python -m benchmarks.policies``; ``--help`` lists the options.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor

from attrs import evolve

from benchmarks.figures import Summary
from benchmarks.policy import DEFAULT_POLICIES, POLICIES
from benchmarks.shapes import SHAPES, Case, get_shape
from benchmarks.simulation import Run, Simulation


def get_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(prog="benchmarks.policies", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=3, help="seeds of each run")
    parser.add_argument(
        "--seconds", type=float, default=300.0, help="simulated seconds of a run"
    )
    parser.add_argument("--workers", type=int, default=4, help="processes")
    parser.add_argument(
        "--shape", action="append", choices=[shape.name for shape in SHAPES]
    )
    parser.add_argument("--policy", action="append", choices=POLICIES)
    parser.add_argument("--case", action="append", choices=[c.value for c in Case])
    parser.add_argument("--plot", metavar="FILE", help="draw the figures to FILE")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run all combinations and print their figures."""
    args = get_parser().parse_args(argv)
    runs = [
        Run(get_shape(shape), Case(case), policy, args.seed, args.seconds)
        for shape in args.shape or [s.name for s in SHAPES]
        for case in args.case or [c.value for c in Case]
        for policy in args.policy or DEFAULT_POLICIES
    ]
    with ProcessPoolExecutor(args.workers) as pool:
        summaries = pool.map(execute_run, runs, [args.seeds] * len(runs))
        results = list(zip(runs, summaries, strict=True))
    print_table(results)
    if args.plot:
        from benchmarks.plot import draw

        draw(results, args.plot)
    return 0


def execute_run(run: Run, seeds: int) -> Summary:
    """Execute a run with ``seeds`` successive seeds and return the merged summary.

    Called in a worker process.
    """
    figures = Simulation(run).execute()
    for seed in range(run.seed + 1, run.seed + seeds):
        figures.add(Simulation(evolve(run, seed=seed)).execute())
    return figures.summary()


def print_table(results: list[tuple[Run, Summary]]) -> None:
    """Print one line for each run."""
    previous = None
    for run, summary in results:
        if previous != (run.shape.name, run.case):
            previous = (run.shape.name, run.case)
            print(f"\n{run.shape.name}: {run.case.value}, seeds from {run.seed}")
            print(HEADER)
        print(
            f"{run.policy:13}{summary.requests:6}{100 * summary.hit_rate:7.1f}"
            f"{summary.ttft_p50_ms:8.0f}{summary.ttft_p99_ms:8.0f}"
            f"{summary.wasted_tokens / 1e6:8.2f}  {summary.worst_organisation:11}"
            f"{summary.worst_p99_ms:8.0f}{summary.wrongful_refusals:6}{summary.refused:6}"
        )


#: Column titles: hit rate in percent, times in ms, wasted tokens in millions, and
#: refusals of requests within and over the organisations' limits.
HEADER = (
    f"{'policy':13}{'reqs':>6}{'hit %':>7}{'p50':>8}{'p99':>8}{'wasted':>8}"
    f"  {'worst':11}{'p99':>8}{'wrong':>6}{'over':>6}"
)


if __name__ == "__main__":
    sys.exit(main())
