"""Bytes and processor time of a fleet's control messages, by its size.

Run it with ``python -m benchmarks.fleet_control``. It packs and unpacks the messages
that routers and the leader exchange, as often as they do with so many of them.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Sequence

from attrs import frozen

from berylnotch.daemon.fleet.leader import (
    LOADS_PER_ROUTER_S,
    MAX_LOADS_S,
    MIN_LOADS_S,
)
from berylnotch.daemon.fleet.router import REPORT_PER_ROUTER_S, REPORT_S
from berylnotch.group.messages import (
    CONTROLLER_MESSAGES,
    ROUTER_MESSAGES,
    LoadsUpdate,
    PromptNote,
    PromptsUpdate,
    RouterReport,
    TargetLoad,
)
from berylnotch.transport.packing import pack, unpack

#: Sizes that are measured: pairs of routers and targets.
SIZES = ((6, 9), (68, 49), (81, 35), (340, 850))

#: Requests with long prompts a second and target; the rate of today's fleets.
LONG_PER_TARGET_S = 1.0

_REPEATS = 200


@frozen
class Cost:
    """Cost of one message: bytes, and seconds to pack and to unpack it."""

    size: int
    pack_s: float
    unpack_s: float


def measure(message: object, classes: tuple[type, ...]) -> Cost:
    """Return what a message costs."""
    started = time.perf_counter()
    for _ in range(_REPEATS):
        data = pack(message)
    packed = time.perf_counter()
    for _ in range(_REPEATS):
        unpack(data, classes)
    ended = time.perf_counter()
    pack_s, unpack_s = (packed - started) / _REPEATS, (ended - packed) / _REPEATS
    return Cost(len(data), pack_s, unpack_s)


def main(argv: Sequence[str] | None = None) -> int:
    """Print a line for each size."""
    argparse.ArgumentParser(description=__doc__.splitlines()[0]).parse_args(argv)
    print("routers targets  router B/s  router core  leader core")
    for routers, targets in SIZES:
        print(_line(routers, targets))
    return 0


def _line(routers: int, targets: int) -> str:
    report_s = max(REPORT_S, REPORT_PER_ROUTER_S * routers)
    loads_s = min(MAX_LOADS_S, max(MIN_LOADS_S, LOADS_PER_ROUTER_S * routers))
    notes = 2 * LONG_PER_TARGET_S * targets
    own = tuple(TargetLoad(f"i-{n:010x}", 1, 900) for n in range(min(targets, 8)))
    mine = tuple(_note(n) for n in range(max(1, int(notes / routers * report_s))))
    report = measure(
        RouterReport("r", "i" * 16, "10.0.0.1:1", "d", False, 9, own, prompts=mine),
        CONTROLLER_MESSAGES,
    )
    loads = measure(
        LoadsUpdate(tuple(TargetLoad(f"i-{n:010x}", 9, 9000) for n in range(targets))),
        ROUTER_MESSAGES,
    )
    prompts = measure(
        PromptsUpdate(tuple(_note(n) for n in range(max(1, int(notes * loads_s))))),
        ROUTER_MESSAGES,
    )
    size = report.size / report_s + (loads.size + prompts.size) / loads_s
    router = report.pack_s / report_s + (loads.unpack_s + prompts.unpack_s) / loads_s
    leader = routers * report.unpack_s / report_s
    leader += (loads.pack_s + prompts.pack_s) / loads_s
    return f"{routers:7d} {targets:7d} {size:11.0f} {router:12.4f} {leader:12.4f}"


def _note(number: int) -> PromptNote:
    return PromptNote("v3", f"{number:012x}", 13_300, f"i-{number:010x}", 3_700)


if __name__ == "__main__":
    raise SystemExit(main())
