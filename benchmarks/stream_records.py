"""Memory, log and time that the record of streams' software versions takes.

Run with ``python -m benchmarks.stream_records [--rate N]``.
"""

from __future__ import annotations

import argparse
import os
import time
import tracemalloc
from collections.abc import Callable

from berylnotch.daemon.fleet.stream_recorder import RECORD_BATCH_S
from berylnotch.group import stream_records
from berylnotch.group.commands import RecordStreams
from berylnotch.group.state import FleetState
from berylnotch.group.stream_records import VersionGroup
from berylnotch.membership.stream_versions import IDENTITY_BYTES, MIN_LIFETIME_S
from berylnotch.transport.packing import pack


def main() -> None:
    """Print the figures of one controller at a rate of recorded streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=10_000.0, help="streams a second")
    rate = parser.parse_args().rate
    batch_count = int(MIN_LIFETIME_S / RECORD_BATCH_S)
    per_batch = max(1, round(rate * RECORD_BATCH_S))
    commands = [_command(per_batch) for _ in range(batch_count)]
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    state = FleetState()
    for command in commands:
        state.apply(command)
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    count = min(per_batch * batch_count, stream_records.MAX_STREAM_RECORDS)
    apply_s = _time(lambda: [FleetState().apply(c) for c in commands])
    snapshot_s = _time(state.snapshot)
    identity = os.urandom(IDENTITY_BYTES)
    query_s = _time(lambda: [state.stream_version("s", identity) for _ in range(1000)])
    logged = sum(map(len, commands))
    print(f"{rate:g} streams/s: {per_batch} in a command, {count} records held")
    print(f"memory: {memory / 1e6:.2f} MB, {memory / count:.0f} bytes a record")
    print(
        f"log: {logged / batch_count / per_batch:.1f} bytes a record,"
        f" {logged / MIN_LIFETIME_S / 1e3:.1f} KB/s"
    )
    print(
        f"snapshot: {len(state.snapshot()) / 1e6:.2f} MB in {snapshot_s * 1e3:.1f} ms"
    )
    print(
        f"apply: {apply_s / MIN_LIFETIME_S:.2%} of a core;"
        f" query: {query_s / 1000 * 1e6:.2f} us"
    )


def _command(count: int) -> bytes:
    half = IDENTITY_BYTES * (count // 2)
    identities = os.urandom(IDENTITY_BYTES * count)
    groups = (
        VersionGroup("sake-llm", "v1", identities[:half]),
        VersionGroup("sake-llm", "v2", identities[half:]),
    )
    return pack(RecordStreams(groups))


def _time(action: Callable[[], object]) -> float:
    began = time.perf_counter()
    action()
    return time.perf_counter() - began


if __name__ == "__main__":
    main()
