"""Measure the replicated log with real files: rate, restart, catching up."""

from __future__ import annotations

import argparse
import random
import shutil
import sys
import tempfile
import time
from pathlib import Path

import attrs

from berylnotch.consensus.bootstrap import bootstrap, first_ready
from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.consensus.replica import Replica
from berylnotch.consensus.settings import ConsensusSettings
from berylnotch.consensus.storage import LogStorage
from berylnotch.transport.codec import decode, encode

PAYLOAD_BYTES = 200
NAMES = ("a", "b", "c")


@attrs.define
class Node:
    """A replica with its files."""

    storage: LogStorage
    replica: Replica
    saves: int = 0


class Cluster:
    """Replicas in one process; every message is encoded and decoded.

    The replicas sync their files one after the other, so the rate is lower than
    with replicas on separate VMs.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.settings = ConsensusSettings()
        self.nodes: dict[str, Node] = {}
        stored = {name: LogStorage(folder / name, name) for name in NAMES}
        recovered = {name: storage.start() for name, storage in stored.items()}
        members = Members(
            tuple(Member(n, recovered[n].identity, f"{n}:1") for n in NAMES)
        )
        for name, storage in stored.items():
            state = bootstrap(recovered[name], members)
            storage.save(first_ready(state))
            self.add_replica(storage, state)

    def add_replica(self, storage: LogStorage, state) -> None:
        """Add a replica with its recovered state."""
        now = time.monotonic()
        rng = random.Random(state.identity)
        replica = Replica(self.settings, state, rng, now)
        self.nodes[state.identity] = Node(storage, replica)

    def run_round(self) -> None:
        """Let each replica tick, save, send messages and apply entries once."""
        for node in list(self.nodes.values()):
            node.replica.tick(time.monotonic())
            ready = node.replica.ready()
            if ready.must_save:
                node.storage.save(ready)
                node.saves += 1
            for outgoing in ready.messages:
                target = self.nodes.get(outgoing.replica)
                if target is not None:
                    message = decode(encode(outgoing.message))
                    target.replica.step(time.monotonic(), message)
            node.replica.advance(ready)

    def elect_leader(self) -> Node:
        """Run rounds until a leader holds its lease, and return it."""
        while True:
            self.run_round()
            for node in self.nodes.values():
                if node.replica.has_lease(time.monotonic()):
                    return node

    def close(self) -> None:
        """Close all files."""
        for node in self.nodes.values():
            node.storage.close()


@attrs.frozen
class Rate:
    """Rate of committed proposals, their commit latency, and file syncs for each."""

    per_s: float
    p50_ms: float
    p99_ms: float
    saves_per_proposal: float


def propose(cluster: Cluster, leader: Node, count: int, clients: int) -> Rate:
    """Commit ``count`` proposals, at most ``clients`` of them at a time."""
    proposed_at: dict[int, float] = {}
    latencies_s = []
    proposed = 0
    saves_before = leader.saves
    start = time.monotonic()
    while len(latencies_s) < count:
        while len(proposed_at) < clients and proposed < count:
            now = time.monotonic()
            proposed_at[leader.replica.propose(now, bytes(PAYLOAD_BYTES))] = now
            proposed += 1
        cluster.run_round()
        now = time.monotonic()
        for index in [i for i in proposed_at if i <= leader.replica.applied]:
            latencies_s.append(now - proposed_at.pop(index))
    latencies_s.sort()
    return Rate(
        count / (time.monotonic() - start),
        latencies_s[len(latencies_s) // 2] * 1000,
        latencies_s[len(latencies_s) * 99 // 100] * 1000,
        (leader.saves - saves_before) / count,
    )


def print_rate(label: str, rate: Rate) -> None:
    """Print a rate as one line."""
    print(
        f"{label:42} {rate.per_s:8.0f}/s  p50 {rate.p50_ms:6.1f} ms  "
        f"p99 {rate.p99_ms:6.1f} ms  {rate.saves_per_proposal:.3f} fsync/proposal"
    )


def measure_rates(folder: Path) -> None:
    """Measure proposals a second for several numbers of clients."""
    cluster = Cluster(folder)
    leader = cluster.elect_leader()
    for clients, count in ((1, 300), (16, 3000), (64, 6000)):
        print_rate(f"{clients} clients", propose(cluster, leader, count, clients))
    cluster.close()


def measure_restart(folder: Path) -> None:
    """Measure the time to recover a replica from a folder of 10,000 entries."""
    cluster = Cluster(folder)
    leader = cluster.elect_leader()
    propose(cluster, leader, 10_000, 64)
    cluster.close()
    start = time.monotonic()
    storage = LogStorage(leader.storage.folder, "a")
    recovered = storage.start()
    Replica(cluster.settings, recovered, random.Random(0), time.monotonic())
    elapsed_s = time.monotonic() - start
    storage.close()
    print(f"restart from {len(recovered.entries):,} entries{'':17} {elapsed_s:8.3f} s")


def measure_catching_up(folder: Path, snapshot_bytes: int) -> None:
    """Measure the rate before, while and after a learner receives a snapshot."""
    cluster = Cluster(folder)
    leader = cluster.elect_leader()
    propose(cluster, leader, 5000, 64)
    snapshot = leader.replica.build_snapshot(bytes(snapshot_bytes))
    leader.storage.save_snapshot(snapshot)
    leader.replica.compact(snapshot)
    print_rate("no learner", propose(cluster, leader, 3000, 64))
    storage = LogStorage(folder / "d", "d")
    state = storage.start()
    cluster.add_replica(storage, state)
    learner = Member("d", state.identity, "d:1", "", Role.LEARNER)
    members = Members((*leader.replica.members.members, learner))
    leader.replica.propose_members(time.monotonic(), members)
    start = time.monotonic()
    committed = 0
    rates = []
    while committed == 0 or not leader.replica.is_caught_up(
        time.monotonic(), state.identity
    ):
        rates.append(propose(cluster, leader, 200, 64))
        committed += 200
    elapsed_s = time.monotonic() - start
    worst_p99_ms = max(rate.p99_ms for rate in rates)
    print(
        f"learner takes {snapshot_bytes >> 20} MiB{'':21} "
        f"{committed / elapsed_s:8.0f}/s  "
        f"for {elapsed_s:.2f} s, worst p99 {worst_p99_ms:.1f} ms"
    )
    print_rate("learner has caught up", propose(cluster, leader, 3000, 64))
    cluster.close()


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", default="var", help="where the files go")
    parser.add_argument("--snapshot-mib", type=int, default=16)
    return parser


def main(argv: list[str]) -> int:
    """Run all measurements."""
    args = get_parser().parse_args(argv)
    Path(args.folder).mkdir(exist_ok=True)
    folder = Path(tempfile.mkdtemp(dir=args.folder))
    try:
        measure_rates(folder / "rates")
        measure_restart(folder / "restart")
        measure_catching_up(folder / "learner", args.snapshot_mib << 20)
    finally:
        shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
