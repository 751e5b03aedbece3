"""Time of the fair queue's operations at several numbers of organisations.

Run with ``python -m benchmarks.admission``.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence

from berylnotch.admission import AdmissionSettings, FairQueue, Fit, Ticket

#: Sizes that are measured, in organisations with one waiting request each.
SIZES = (30, 300, 2900)


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.admission", description=__doc__)
    parser.add_argument("--operations", type=int, default=10_000)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print one line for each size."""
    args = get_parser().parse_args(argv)
    print("organisations offer+pop_us offer+pop_us_if_only_one_has_tokens")
    for size in SIZES:
        free = measure(size, args.operations, is_short=False)
        short = measure(size, args.operations, is_short=True)
        print(f"{size:13d} {free:12.1f} {short:33.1f}")
    return 0


def measure(size: int, operations: int, is_short: bool) -> float:
    """Return the microseconds of one offer and one pop.

    A request is offered for each that is served, 1,000 a second of the model's
    time. If ``is_short``, all organisations but the first lack tokens.
    """
    queue = FairQueue(AdmissionSettings(max_tickets=2 * size, max_wait_s=1e9))
    for number in range(size):
        queue.offer(0.0, _ticket(f"{number}", f"{number}"))

    def fits(ticket: Ticket) -> Fit:
        lacks = is_short and ticket.organisation != "0"
        return Fit.NO_TOKENS if lacks else Fit.FITS

    begun = time.perf_counter()
    organisation = "0"
    for number in range(operations):
        now = number / 1000
        found = queue.pop(now, fits)
        if found is not None:
            organisation = found.organisation
        queue.offer(now, _ticket(f"next-{number}", organisation))
    return (time.perf_counter() - begun) / operations * 1e6


def _ticket(identity: str, organisation: str) -> Ticket:
    return Ticket(identity, organisation, 1.0, 100.0, 1e9, 0.0)


if __name__ == "__main__":
    sys.exit(main())
