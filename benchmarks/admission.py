"""Time of the fair queue's operations at several numbers of organisations.

Run with ``python -m benchmarks.admission``.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections.abc import Sequence

from berylnotch.admission import AdmissionSettings, FairQueue, Fit, Ticket

#: Numbers of organisations that are measured; each has one waiting request.
ORGANISATION_COUNTS = (30, 300, 2900)


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.admission", description=__doc__)
    parser.add_argument("--operations", type=int, default=10_000)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Print one line for each number of organisations."""
    args = get_parser().parse_args(argv)
    print("organisations offer+pop_us offer+pop_us_if_only_one_has_tokens")
    for organisation_count in ORGANISATION_COUNTS:
        unlimited_us = measure(
            organisation_count, args.operations, is_token_limited=False
        )
        token_limited_us = measure(
            organisation_count, args.operations, is_token_limited=True
        )
        print(f"{organisation_count:13d} {unlimited_us:12.1f} {token_limited_us:33.1f}")
    return 0


def measure(organisation_count: int, operations: int, is_token_limited: bool) -> float:
    """Return the mean time of one offer and one pop in microseconds.

    Each served request is replaced by a new request of the same organisation, at
    1,000 requests per second of simulated time. If ``is_token_limited``, all
    organisations but the first lack tokens.
    """
    queue = FairQueue(
        AdmissionSettings(max_tickets=2 * organisation_count, max_wait_s=1e9)
    )
    for number in range(organisation_count):
        queue.offer(0.0, _make_ticket(f"{number}", f"{number}"))

    def fits(ticket: Ticket) -> Fit:
        has_no_tokens = is_token_limited and ticket.organisation != "0"
        return Fit.NO_TOKENS if has_no_tokens else Fit.FITS

    started = time.perf_counter()
    organisation = "0"
    for number in range(operations):
        now = number / 1000
        popped = queue.pop(now, fits)
        if popped is not None:
            organisation = popped.organisation
        queue.offer(now, _make_ticket(f"next-{number}", organisation))
    return (time.perf_counter() - started) / operations * 1e6


def _make_ticket(ticket_id: str, organisation: str) -> Ticket:
    return Ticket(ticket_id, organisation, 1.0, 100.0, 1e9, 0.0)


if __name__ == "__main__":
    sys.exit(main())
