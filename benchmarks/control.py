"""Measures the control state on real processes: `python -m benchmarks.control`.

Failover, claims, restart and distribution to many subscribers, in one run.
"""

from __future__ import annotations

import argparse
import secrets
import shutil
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from attrs import define, field
from hdrh.histogram import HdrHistogram

from benchmarks.process_stat import read_process_stat
from berylnotch.control.commands import OpenClaim, Status
from berylnotch.control.protocol import (
    ProposeReply,
    ProposeRequest,
    ShowRequest,
    SyncReply,
    SyncRequest,
)
from berylnotch.control.view import View
from berylnotch.errors import TransportError
from berylnotch.standins.fleet import LocalFleet
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_fleet_text
from berylnotch.transport.codec import encode
from berylnotch.transport.identity import VM_PREFIX, identity_key
from berylnotch.transport.peers import Peers
from berylnotch.util.loop import Loop

_NAMES = ("c1", "c2", "c3")
_SYNC_WAIT_MS = 400
_ORGANISATION = "importer-desk"


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.control", description=__doc__.splitlines()[0]
    )
    parser.add_argument("--failovers", type=int, default=5)
    parser.add_argument("--claims", type=int, default=5000)
    parser.add_argument("--in-flight", type=int, default=32)
    parser.add_argument("--subscribers", type=int, default=340)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--changes", type=int, default=10_000)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the measurements and print one line for each."""
    args = get_parser().parse_args(argv)
    folder = Path(tempfile.mkdtemp(prefix="berylnotch-bench-"))
    fleet = LocalFleet(folder)
    try:
        fleet.start_controllers(_NAMES, DOMAINS[:3])
        fleet.apply(_fleet_text(1), 0)
        measure_claims(fleet, args.claims, args.in_flight)
        measure_subscribers(fleet, args.subscribers, args.seconds)
        measure_router(fleet, args.seconds)
        measure_failover(fleet, args.failovers)
        measure_restart(fleet, args.changes)
    finally:
        fleet.close()
        shutil.rmtree(folder, ignore_errors=True)
    return 0


def measure_claims(fleet: LocalFleet, count: int, in_flight: int) -> None:
    """Commit claims, ``in_flight`` at a time, with real file syncs."""
    connections = _PeerConnections(fleet, "entry-1")
    leader = fleet.controllers[fleet.leader()]
    histogram = HdrHistogram(1, 60_000_000, 3)
    free_slots = threading.Semaphore(in_flight)
    failed: list[object] = []

    def propose(number: int) -> None:
        claim = OpenClaim(_ORGANISATION, f"k{number}", b"f", "entry-1/i", f"a{number}")
        sent_at = time.monotonic()

        def on_proposed(done) -> None:
            histogram.record_value(int((time.monotonic() - sent_at) * 1e6))
            reply = None if done.exception() else done.result()
            is_reply = isinstance(reply, ProposeReply)
            if not is_reply or reply.result.status is not Status.OK:
                failed.append(reply)
            free_slots.release()

        request = ProposeRequest(encode(claim))
        connections.peers.call(leader, request, 10.0).add_done_callback(on_proposed)

    started_at = time.monotonic()
    for number in range(count):
        free_slots.acquire()
        propose(number)
    for _ in range(in_flight):
        free_slots.acquire()
    elapsed_s = time.monotonic() - started_at
    print(
        f"claims: {count / elapsed_s:.0f}/s agreed with {in_flight} in flight, "
        f"p50 {histogram.get_value_at_percentile(50) / 1000:.1f} ms, "
        f"p99 {histogram.get_value_at_percentile(99) / 1000:.1f} ms, "
        f"{len(failed)} failed"
    )
    connections.close()


@define
class _Subscriber:
    """A router's subscription to the control state."""

    address: str
    view: View = field(factory=View)
    version: int = 0
    bytes: int = 0
    changed_at: float = 0.0


def measure_subscribers(fleet: LocalFleet, count: int, seconds: float) -> None:
    """Measure many subscriptions, while idle and during a change."""
    connections = _PeerConnections(fleet, "subscribers")
    addresses = tuple(fleet.controllers.values())
    subscribers = [_Subscriber(addresses[n % len(addresses)]) for n in range(count)]
    stopped = threading.Event()
    for subscriber in subscribers:
        _start_subscription(connections, subscriber, stopped)
    _wait_until(lambda: all(s.version for s in subscribers))
    before = _cpu_times_s(fleet)
    for subscriber in subscribers:
        subscriber.bytes = 0
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_at
    idle_bytes = sum(s.bytes for s in subscribers) / count / elapsed_s
    cpu = {
        name: (now - before[name]) / elapsed_s
        for name, now in _cpu_times_s(fleet).items()
    }
    old_version = subscribers[0].version
    applied_at = time.monotonic()
    fleet.apply(_fleet_text(2), 1)
    _wait_until(lambda: all(s.version > old_version for s in subscribers))
    histogram = HdrHistogram(1, 60_000_000, 3)
    for subscriber in subscribers:
        histogram.record_value(int((subscriber.changed_at - applied_at) * 1e6))
    stopped.set()
    shares = ", ".join(f"{name} {100 * share:.1f}%" for name, share in cpu.items())
    print(
        f"subscribers: {count}; a change reached the last after "
        f"{histogram.get_max_value() / 1e6:.3f} s (p50 "
        f"{histogram.get_value_at_percentile(50) / 1e6:.3f} s); idle: "
        f"{idle_bytes:.0f} B/s each in messages, controllers' core: {shares}"
    )
    connections.close()


def measure_router(fleet: LocalFleet, seconds: float) -> None:
    """Measure a router that follows the control state without callers."""
    router = fleet.start_router("entry-1", DOMAINS[0])
    time.sleep(2.0)
    before = read_process_stat(router.pid)
    started_at = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_at
    after = read_process_stat(router.pid)
    router.kill()
    share = 100 * (after.cpu_s - before.cpu_s) / elapsed_s
    print(f"router without callers: {share:.1f}% of a core, {after.rss_mb:.0f} MB")


def measure_failover(fleet: LocalFleet, leader_kills: int) -> None:
    """Measure the time from a leader's kill to the next acknowledged read."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for _ in range(leader_kills):
        leader = fleet.leader()
        killed_at = time.monotonic()
        fleet.children[leader].kill()
        fleet.client.call(ShowRequest())
        histogram.record_value(int((time.monotonic() - killed_at) * 1e6))
        fleet.restart(leader)
        time.sleep(1.0)
    print(
        f"failover: {leader_kills} leaders killed, next read after p50 "
        f"{histogram.get_value_at_percentile(50) / 1e6:.2f} s, max "
        f"{histogram.get_max_value() / 1e6:.2f} s"
    )


def measure_restart(fleet: LocalFleet, changes: int) -> None:
    """Measure the restart of a controller after many changes."""
    revision = fleet.client.call(ShowRequest()).revision
    started_at = time.monotonic()
    for number in range(changes):
        fleet.apply(_fleet_text(number), revision + number)
    applied_s = time.monotonic() - started_at
    for name in _NAMES:
        fleet.children[name].kill()
    first = fleet.children[_NAMES[0]]
    started_at = time.monotonic()
    fleet.restart(_NAMES[0])
    started_s = time.monotonic() - started_at
    for name in _NAMES[1:]:
        fleet.restart(name)
    shown = fleet.client.call(ShowRequest())
    assert first is not None
    size = sum(f.stat().st_size for f in fleet.data_folder("c1").iterdir())
    print(
        f"restart: after {changes} changes ({changes / applied_s:.0f}/s one by one) "
        f"a controller listens after {started_s:.2f} s (start of Python included), "
        f"revision {shown.revision}, data folder {size / 1e6:.1f} MB"
    )


class _PeerConnections:
    """Connections of a simulated VM process to the controllers."""

    def __init__(self, fleet: LocalFleet, name: str) -> None:
        self.loop = Loop(name)
        self.loop.start()
        key = identity_key(fleet.secret, VM_PREFIX + name)
        self.peers = Peers(self.loop, VM_PREFIX + name, lambda _identity: key)

    def close(self) -> None:
        """Close the connections and stop the loop."""
        self.peers.close()
        self.loop.close()


def _start_subscription(
    connections: _PeerConnections, subscriber: _Subscriber, stopped: threading.Event
) -> None:
    incarnation = secrets.token_hex(4)

    def send_sync() -> None:
        if stopped.is_set():
            return
        request = SyncRequest("entry-1", incarnation, subscriber.version, _SYNC_WAIT_MS)
        subscriber.bytes += len(encode(request))
        future = connections.peers.call(subscriber.address, request, 5.0)
        future.add_done_callback(on_sync_done)

    def on_sync_done(done) -> None:
        if done.exception() is None and isinstance(done.result(), SyncReply):
            reply = done.result()
            subscriber.bytes += len(encode(reply))
            if reply.version > subscriber.version:
                subscriber.version = reply.version
                subscriber.changed_at = time.monotonic()
        connections.loop.call_later(0.0, send_sync)

    connections.loop.call_soon(send_sync)


def _cpu_times_s(fleet: LocalFleet) -> dict[str, float]:
    return {name: read_process_stat(fleet.children[name].pid).cpu_s for name in _NAMES}


def _wait_until(condition) -> None:
    deadline = time.monotonic() + 60
    while not condition():
        if time.monotonic() > deadline:
            raise TransportError("subscribers are not up to date after 60 s")
        time.sleep(0.005)


def _fleet_text(number: int) -> str:
    vms = (("entry-1", "127.0.0.1:8001"),)
    return small_fleet_text(SmallFleet(vms, (), (), rate=1000 + number % 7))


if __name__ == "__main__":
    sys.exit(main())
