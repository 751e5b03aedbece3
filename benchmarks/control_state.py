"""Measures the control state's memory use and processing times at its design size.

``python -m benchmarks.control_state`` builds 2,900 organisations and 100,000
keys. It prints the memory in use, the time of each step, and the sizes in bytes of the
snapshots of the state and of a router's view. All steps run in this process; memory is
the resident set from Linux's ``/proc``.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from berylnotch.control.commands import (
    ApplyText,
    GiveKey,
    OpenClaim,
    Proposal,
    Status,
)
from berylnotch.control.state import ControlState
from berylnotch.control.view import View
from berylnotch.fleet.text import parse
from berylnotch.transport.codec import encode

#: Unix time of the first command, in milliseconds.
_START_MS = 1_800_000_000_000


def resident_mb() -> float:
    """Return the resident set of this process in MB (10^6 bytes)."""
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024 / 1e6
    raise RuntimeError("no VmRSS in /proc/self/status")


def fleet_text(organisations: int, engines: int, vms: int) -> str:
    """Return an operators' text that describes a fleet of the given size."""
    parts = ["[fleet]\nregion = r\nfailure-domains = a, b, c, d\n"]
    for number in range(vms):
        address = f"10.1.{number // 250}.{number % 250 + 1}:8000"
        parts.append(f"[vm entry-{number}]\naddress = {address}\n")
        parts.append(f"failure-domain = {'abcd'[number % 4]}\n")
    for number in range(4):
        parts.append(f"[service llm-{number}]\nkind = language\n")
        parts.append(f"models = model-{number}\nweights = v1\n")
    for number in range(engines):
        address = f"10.2.{number // 250}.{number % 250 + 1}:9000"
        parts.append(f"[target engine-{number}]\nservice = llm-{number % 4}\n")
        parts.append(f"address = {address}\nfailure-domain = {'abcd'[number % 4]}\n")
    for number in range(organisations):
        parts.append(f"[organisation organisation-{number}]\n")
        parts.append("rate = 2000 tokens/s\nburst = 8000 tokens\n")
    return "".join(parts)


class CommandApplier:
    """Applies commands to a state at rising log indexes."""

    def __init__(self) -> None:
        self.state = ControlState()
        self._index = 0

    def apply(self, command: object) -> None:
        """Apply a command; raise if it fails."""
        self._index += 1
        proposal = Proposal(_START_MS + self._index, encode(command))
        result = self.state.apply(self._index, proposal).result
        if result.status is not Status.OK:
            raise RuntimeError(f"{result.status.value}: {result.message}")


def run_timed(name: str, step: Callable[[], Any]) -> Any:
    """Run a step, print its time, and return its result."""
    started = time.perf_counter()
    result = step()
    print(f"{name}: {(time.perf_counter() - started) * 1000:,.0f} ms")
    return result


def create_keys(applier: CommandApplier, organisations: int, keys: int) -> None:
    """Create keys, spread evenly over the organisations."""
    rng = random.Random(1)
    for number in range(keys):
        applier.apply(
            GiveKey(
                rng.randbytes(12).hex(),
                "asha",
                rng.randbytes(6).hex(),
                f"organisation-{number % organisations}",
                rng.randbytes(32),
            )
        )


def open_claims(applier: CommandApplier, organisations: int, claims: int) -> None:
    """Open claims, spread evenly over the organisations."""
    for number in range(claims):
        organisation = f"organisation-{number % organisations}"
        key = f"{number:032x}"
        fingerprint = number.to_bytes(32, "big")
        router, attempt = "entry-1/0123456789ab", f"{number:024x}"
        applier.apply(OpenClaim(organisation, key, fingerprint, router, attempt))


def main(argv: list[str] | None = None) -> int:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--organisations", type=int, default=2900)
    parser.add_argument("--keys", type=int, default=100_000)
    parser.add_argument("--claims", type=int, default=0)
    parser.add_argument("--engines", type=int, default=850)
    parser.add_argument("--vms", type=int, default=340)
    args = parser.parse_args(argv)
    print(f"at start: {resident_mb():.1f} MB")
    text = fleet_text(args.organisations, args.engines, args.vms)
    print(f"text: {len(text):,} bytes")
    run_timed("parse the text", lambda: parse(text))
    applier = CommandApplier()
    run_timed("apply the text", lambda: applier.apply(ApplyText("t", "asha", 0, text)))
    organisations, keys = args.organisations, args.keys
    run_timed(f"give {keys:,} keys", lambda: create_keys(applier, organisations, keys))
    if args.claims:
        run_timed(
            "open claims", lambda: open_claims(applier, organisations, args.claims)
        )
    print(f"with the state: {resident_mb():.1f} MB")
    build_snapshot = run_timed("freeze the state", applier.state.prepare_snapshot)
    snapshot = run_timed("snapshot of the state", build_snapshot)
    build_snapshot = None
    print(f"snapshot of the state: {len(snapshot):,} bytes")
    print(f"after the snapshot: {resident_mb():.1f} MB")
    view_snapshot = run_timed("snapshot of the view", applier.state.view_snapshot)
    print(f"snapshot of the view: {len(view_snapshot):,} bytes")
    applier = None
    restored = ControlState()
    run_timed("restore the state", lambda: restored.restore(snapshot))
    print(f"at the end, one state restored: {resident_mb():.1f} MB")
    view = View()
    run_timed("restore a view", lambda: view.restore(view_snapshot))
    return 0


if __name__ == "__main__":
    sys.exit(main())
