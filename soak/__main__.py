"""Command line of the soak test: ``python -m soak --seeds 50``."""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from collections.abc import Sequence

from soak.run import Soak


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="soak", description="Seeded fault soak.")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=5, help="runs, one seed each")
    parser.add_argument("--seconds", type=float, default=8.0, help="time with faults")
    parser.add_argument("--routers", type=int, default=2)
    parser.add_argument("--controllers", type=int, default=3)
    parser.add_argument(
        "--pause-factor",
        type=float,
        default=1.0,
        help="multiple of the usual pauses between unplanned faults",
    )
    parser.add_argument(
        "--rollouts", action="store_true", help="roll out software versions"
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run all seeds, print a line for each, and return 1 if a guarantee is violated."""
    args = get_parser().parse_args(argv)
    faults: Counter[str] = Counter()
    failed = []
    for seed in range(args.first_seed, args.first_seed + args.seeds):
        report = Soak(
            seed,
            args.seconds,
            args.routers,
            args.controllers,
            args.pause_factor,
            args.rollouts,
        ).run()
        recovered_ms = report.faults.pop("recovered_ms", -1)
        faults.update(report.faults)
        outcome = "broken" if report.violations else "kept"
        print(
            f"seed={seed} outcome={outcome} answers={report.answers} "
            f"served={report.served} stops={report.stops} judged={report.judged} "
            f"recovered_ms={recovered_ms}",
            flush=True,
        )
        for violation in report.violations[:10]:
            print(f"  {violation}; logs in {report.folder}", flush=True)
        if report.violations:
            failed.append(seed)
    print(f"faults {dict(faults)}; failed seeds {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
