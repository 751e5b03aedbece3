"""Measures bytes and processor time of a fleet's control messages, by fleet size.

Run it with ``python -m benchmarks.fleet_control``. It packs and unpacks the messages
that routers and the leader exchange, at the rates of a fleet of the given size.
"""

from __future__ import annotations

import argparse
import random
import time
from collections.abc import Sequence

from attrs import frozen

from berylnotch.daemon.fleet.leader import (
    LOADS_INTERVAL_PER_ROUTER_S,
    MAX_LOADS_INTERVAL_S,
    MIN_LOADS_INTERVAL_S,
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

#: Fleet sizes that are measured: numbers of routers and targets.
FLEET_SIZES = ((6, 9), (68, 49), (81, 35), (340, 850))

#: Requests with long prompts per second and target, at the rate of today's fleets.
LONG_PROMPTS_PER_TARGET_S = 1.0

_REPEATS = 200


@frozen
class Cost:
    """Cost of one message: size in bytes, and seconds to pack and to unpack it."""

    size: int
    pack_s: float
    unpack_s: float


def measure(message: object, classes: tuple[type, ...]) -> Cost:
    """Return the cost of a message."""
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
    for routers, targets in FLEET_SIZES:
        print(_format_costs(routers, targets))
    return 0


def _format_costs(routers: int, targets: int) -> str:
    report_interval_s = max(REPORT_S, REPORT_PER_ROUTER_S * routers)
    loads_interval_s = min(
        MAX_LOADS_INTERVAL_S,
        max(MIN_LOADS_INTERVAL_S, LOADS_INTERVAL_PER_ROUTER_S * routers),
    )
    notes_interval_s = max(MIN_PROMPTS_S, PROMPTS_PER_ROUTER_S * routers)
    notes_per_s = 2 * LONG_PROMPTS_PER_TARGET_S * targets
    relayed_notes_per_s = min(notes_per_s, NOTES_PER_S)
    own_loads = tuple(
        TargetLoad(f"i-{n:010x}", 1, 900) for n in range(min(targets, 30))
    )
    own_notes = tuple(
        _make_note(n)
        for n in range(max(1, int(notes_per_s / routers * report_interval_s)))
    )
    report = measure(
        RouterReport(
            "r", "i" * 16, "10.0.0.1:1", "d", False, 9, own_loads, prompts=own_notes
        ),
        CONTROLLER_MESSAGES,
    )
    numbers, draw = TargetNumbers(), random.Random(targets)
    numbers.add(f"i-{n:010x}" for n in range(targets))
    load_totals = tuple(
        TargetLoad(f"i-{n:010x}", draw.randrange(24), draw.randrange(40_000))
        for n in range(targets)
    )
    loads = measure(load_columns(LoadsUpdate(load_totals), numbers), ROUTER_MESSAGES)
    relayed_notes = [
        _make_note(draw.randrange(targets))
        for n in range(max(1, int(relayed_notes_per_s * notes_interval_s)))
    ]
    prompts = measure(note_records(relayed_notes, numbers), ROUTER_MESSAGES)
    # At low rates, as in a small fleet, each note is sent on arrival.
    note_messages_s = min(1 / notes_interval_s, relayed_notes_per_s)
    router_bytes_per_s = report.size / report_interval_s + loads.size / loads_interval_s
    router_bytes_per_s += prompts.size * note_messages_s
    router_core = report.pack_s / report_interval_s + loads.unpack_s / loads_interval_s
    router_core += prompts.unpack_s * note_messages_s
    leader_core = (
        routers * report.unpack_s / report_interval_s + loads.pack_s / loads_interval_s
    )
    leader_core += prompts.pack_s * note_messages_s
    return (
        f"{routers:7d} {targets:7d} {router_bytes_per_s:11.0f} {router_core:12.4f} "
        f"{leader_core:12.4f}"
    )


def _make_note(number: int) -> PromptNote:
    prefix_hash = hash_prefix("v3", f"{number:012x}")
    unshared_tokens = 3_000 + number * 37 % 1_000
    return PromptNote(
        prefix_hash, 13_300, f"i-{number:010x}", unshared_tokens, False, unshared_tokens
    )


if __name__ == "__main__":
    raise SystemExit(main())
