"""Figures of the control state on real processes: `python -m benchmarks.control`.

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
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_text
from berylnotch.transport.codec import encode
from berylnotch.transport.identity import VM_PREFIX, identity_key
from berylnotch.transport.peers import Peers
from berylnotch.util.loop import Loop

_NAMES = ("c1", "c2", "c3")
_WAIT_MS = 400
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
        fleet.apply(_text(1), 0)
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
    """Agree claims, ``in_flight`` at a time, with real syncs."""
    peers = _Peers(fleet, "entry-1")
    leader = fleet.controllers[fleet.leader()]
    histogram = HdrHistogram(1, 60_000_000, 3)
    room = threading.Semaphore(in_flight)
    failed: list[object] = []

    def propose(number: int) -> None:
        claim = OpenClaim(_ORGANISATION, f"k{number}", b"f", "entry-1/i", f"a{number}")
        sent_at = time.monotonic()

        def answered(done) -> None:
            histogram.record_value(int((time.monotonic() - sent_at) * 1e6))
            answer = None if done.exception() else done.result()
            is_ok = isinstance(answer, ProposeReply)
            if not is_ok or answer.result.status is not Status.OK:
                failed.append(answer)
            room.release()

        request = ProposeRequest(encode(claim))
        peers.peers.call(leader, request, 10.0).add_done_callback(answered)

    began = time.monotonic()
    for number in range(count):
        room.acquire()
        propose(number)
    for _ in range(in_flight):
        room.acquire()
    elapsed_s = time.monotonic() - began
    print(
        f"claims: {count / elapsed_s:.0f}/s agreed with {in_flight} in flight, "
        f"p50 {histogram.get_value_at_percentile(50) / 1000:.1f} ms, "
        f"p99 {histogram.get_value_at_percentile(99) / 1000:.1f} ms, "
        f"{len(failed)} failed"
    )
    peers.close()


@define
class _Subscriber:
    """One router's subscription."""

    address: str
    view: View = field(factory=View)
    version: int = 0
    bytes: int = 0
    changed_at: float = 0.0


def measure_subscribers(fleet: LocalFleet, count: int, seconds: float) -> None:
    """Keep many subscriptions, and apply a change to all of them."""
    peers = _Peers(fleet, "subscribers")
    addresses = tuple(fleet.controllers.values())
    subscribers = [_Subscriber(addresses[n % len(addresses)]) for n in range(count)]
    stopped = threading.Event()
    for subscriber in subscribers:
        _follow(peers, subscriber, stopped)
    _wait(lambda: all(s.version for s in subscribers))
    before = _use(fleet)
    for subscriber in subscribers:
        subscriber.bytes = 0
    began = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - began
    idle_bytes = sum(s.bytes for s in subscribers) / count / elapsed_s
    cpu = {name: (now - before[name]) / elapsed_s for name, now in _use(fleet).items()}
    old = subscribers[0].version
    asked_at = time.monotonic()
    fleet.apply(_text(2), 1)
    _wait(lambda: all(s.version > old for s in subscribers))
    histogram = HdrHistogram(1, 60_000_000, 3)
    for subscriber in subscribers:
        histogram.record_value(int((subscriber.changed_at - asked_at) * 1e6))
    stopped.set()
    shares = ", ".join(f"{name} {100 * share:.1f}%" for name, share in cpu.items())
    print(
        f"subscribers: {count}; a change reached the last after "
        f"{histogram.get_max_value() / 1e6:.3f} s (p50 "
        f"{histogram.get_value_at_percentile(50) / 1e6:.3f} s); idle: "
        f"{idle_bytes:.0f} B/s each in messages, controllers' core: {shares}"
    )
    peers.close()


def measure_router(fleet: LocalFleet, seconds: float) -> None:
    """Let a router follow the control state without callers."""
    router = fleet.start_router("entry-1", DOMAINS[0])
    time.sleep(2.0)
    before = read_process_stat(router.pid)
    began = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - began
    after = read_process_stat(router.pid)
    router.kill()
    share = 100 * (after.cpu_s - before.cpu_s) / elapsed_s
    print(f"router without callers: {share:.1f}% of a core, {after.rss_mb:.0f} MB")


def measure_failover(fleet: LocalFleet, times: int) -> None:
    """Kill the leader and wait for the next acknowledged read."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for _ in range(times):
        leader = fleet.leader()
        killed_at = time.monotonic()
        fleet.children[leader].kill()
        fleet.client.call(ShowRequest())
        histogram.record_value(int((time.monotonic() - killed_at) * 1e6))
        fleet.restart(leader)
        time.sleep(1.0)
    print(
        f"failover: {times} leaders killed, next read after p50 "
        f"{histogram.get_value_at_percentile(50) / 1e6:.2f} s, max "
        f"{histogram.get_max_value() / 1e6:.2f} s"
    )


def measure_restart(fleet: LocalFleet, changes: int) -> None:
    """Restart a controller after many changes."""
    revision = fleet.client.call(ShowRequest()).revision
    began = time.monotonic()
    for number in range(changes):
        fleet.apply(_text(number), revision + number)
    applied_s = time.monotonic() - began
    for name in _NAMES:
        fleet.children[name].kill()
    first = fleet.children[_NAMES[0]]
    began = time.monotonic()
    fleet.restart(_NAMES[0])
    started_s = time.monotonic() - began
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


class _Peers:
    """Connections of a stand-in for one VM's process."""

    def __init__(self, fleet: LocalFleet, name: str) -> None:
        self.loop = Loop(name)
        self.loop.start()
        key = identity_key(fleet.secret, VM_PREFIX + name)
        self.peers = Peers(self.loop, VM_PREFIX + name, lambda _identity: key)

    def close(self) -> None:
        """End the connections."""
        self.peers.close()
        self.loop.close()


def _follow(peers: _Peers, subscriber: _Subscriber, stopped: threading.Event) -> None:
    incarnation = secrets.token_hex(4)

    def ask() -> None:
        if stopped.is_set():
            return
        request = SyncRequest("entry-1", incarnation, subscriber.version, _WAIT_MS)
        subscriber.bytes += len(encode(request))
        future = peers.peers.call(subscriber.address, request, 5.0)
        future.add_done_callback(answered)

    def answered(done) -> None:
        if done.exception() is None and isinstance(done.result(), SyncReply):
            reply = done.result()
            subscriber.bytes += len(encode(reply))
            if reply.version > subscriber.version:
                subscriber.version = reply.version
                subscriber.changed_at = time.monotonic()
        peers.loop.call_later(0.0, ask)

    peers.loop.call_soon(ask)


def _use(fleet: LocalFleet) -> dict[str, float]:
    return {name: read_process_stat(fleet.children[name].pid).cpu_s for name in _NAMES}


def _wait(condition) -> None:
    deadline = time.monotonic() + 60
    while not condition():
        if time.monotonic() > deadline:
            raise TransportError("the subscribers did not follow in 60 s")
        time.sleep(0.005)


def _text(number: int) -> str:
    vms = (("entry-1", "127.0.0.1:8001"),)
    return small_text(SmallFleet(vms, (), (), rate=1000 + number % 7))


if __name__ == "__main__":
    sys.exit(main())
