"""Bytes and processor time of a fleet's control messages, by its size.

Run it with ``python -m benchmarks.fleet_control``. It packs and unpacks the messages
that routers and the leader exchange, as often as they do with so many of them.
"""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Sequence

from attrs import frozen

from berylnotch.daemon.fleet.leader import (
    LOADS_PER_ROUTER_S,
    MAX_LOADS_S,
    MIN_LOADS_S,
    MIN_PROMPTS_S,
    PROMPTS_PER_ROUTER_S,
)
from berylnotch.daemon.fleet.notes import NOTES_PER_S
from berylnotch.daemon.fleet.reports import REPORT_PER_ROUTER_S, REPORT_S
from berylnotch.group.columns import TargetNumbers, load_columns, note_records
from berylnotch.group.messages import (
    CONTROLLER_MESSAGES,
    ROUTER_MESSAGES,
    LoadsUpdate,
    PromptNote,
    RouterReport,
    TargetLoad,
)
from berylnotch.placement.chains import hash_prefix
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
    notes_s = max(MIN_PROMPTS_S, PROMPTS_PER_ROUTER_S * routers)
    notes = 2 * LONG_PER_TARGET_S * targets
    passed = min(notes, NOTES_PER_S)
    own = tuple(TargetLoad(f"i-{n:010x}", 1, 900) for n in range(min(targets, 30)))
    mine = tuple(_note(n) for n in range(max(1, int(notes / routers * report_s))))
    report = measure(
        RouterReport("r", "i" * 16, "10.0.0.1:1", "d", False, 9, own, prompts=mine),
        CONTROLLER_MESSAGES,
    )
    numbers, draw = TargetNumbers(), random.Random(targets)
    numbers.add(f"i-{n:010x}" for n in range(targets))
    sums = tuple(
        TargetLoad(f"i-{n:010x}", draw.randrange(24), draw.randrange(40_000))
        for n in range(targets)
    )
    loads = measure(load_columns(LoadsUpdate(sums), numbers), ROUTER_MESSAGES)
    told = [
        _note(draw.randrange(targets)) for n in range(max(1, int(passed * notes_s)))
    ]
    prompts = measure(note_records(told, numbers), ROUTER_MESSAGES)
    # Few notes of a small fleet go as soon as they come.
    note_messages_s = min(1 / notes_s, passed)
    size = report.size / report_s + loads.size / loads_s
    size += prompts.size * note_messages_s
    router = report.pack_s / report_s + loads.unpack_s / loads_s
    router += prompts.unpack_s * note_messages_s
    leader = routers * report.unpack_s / report_s + loads.pack_s / loads_s
    leader += prompts.pack_s * note_messages_s
    return f"{routers:7d} {targets:7d} {size:11.0f} {router:12.4f} {leader:12.4f}"


def _note(number: int) -> PromptNote:
    prefix_hash = hash_prefix("v3", f"{number:012x}")
    own = 3_000 + number * 37 % 1_000
    return PromptNote(prefix_hash, 13_300, f"i-{number:010x}", own, False, own)


if __name__ == "__main__":
    raise SystemExit(main())
