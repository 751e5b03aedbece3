"""Replicas that exchange messages through a list, on a clock set by the test."""

from __future__ import annotations

import random

import attrs

from berylnotch.consensus.bootstrap import bootstrap
from berylnotch.consensus.messages import EntryKind, Member, Members, Role
from berylnotch.consensus.replica import Replica
from berylnotch.consensus.settings import ConsensusSettings
from berylnotch.consensus.state import Recovered

SETTINGS = ConsensusSettings(
    max_append_entries=8,
    max_inflight_entries=32,
    snapshot_part_bytes=64,
    keep_entries=4,
)


def member(identity, role=Role.VOTER):
    return Member(identity.split("/")[0], identity, f"{identity}:1", "fd", role)


def members_of(*identities):
    return Members(tuple(member(identity) for identity in identities))


class MemoryDisk:
    """In-memory storage that holds exactly what was saved, as after a crash."""

    def __init__(self, recovered):
        self.recovered = recovered

    def save(self, ready):
        state = self.recovered
        if ready.hard_state:
            state = attrs.evolve(state, hard_state=ready.hard_state)
        if ready.snapshot:
            state = attrs.evolve(state, snapshot=ready.snapshot, entries=())
        if ready.entries:
            first = ready.entries[0].index
            kept = tuple(e for e in state.entries if e.index < first)
            state = attrs.evolve(state, entries=kept + ready.entries)
        self.recovered = state

    def save_snapshot(self, snapshot, keep_entries):
        first = snapshot.last_index - keep_entries
        kept = tuple(e for e in self.recovered.entries if e.index >= first)
        self.recovered = attrs.evolve(self.recovered, snapshot=snapshot, entries=kept)


class Node:
    """Replica with its disk and the commands that it has applied."""

    def __init__(self, disk, now, settings=SETTINGS, seed=0):
        self.disk = disk
        self.settings = settings
        self.seed = seed
        self.start(now)

    def start(self, now):
        recovered = self.disk.recovered
        rng = random.Random(f"{recovered.identity}{self.seed}")
        self.replica = Replica(self.settings, recovered, rng, now)
        self.applied = []
        if recovered.snapshot:
            self.restore(recovered.snapshot)

    def restore(self, snapshot):
        self.applied = snapshot.data.split(b",") if snapshot.data else []

    def process_ready(self):
        """Do all pending work and return the messages to send."""
        messages = []
        while not (ready := self.replica.ready()).is_empty:
            self.disk.save(ready)
            messages.extend(ready.messages)
            if ready.snapshot:
                self.restore(ready.snapshot)
            self.apply(ready.committed)
            self.replica.advance(ready)
        self.replica.advance(ready)
        return messages

    def apply(self, entries):
        self.applied += [e.payload for e in entries if e.kind is EntryKind.COMMAND]

    def compact(self):
        snapshot = self.replica.build_snapshot(b",".join(self.applied))
        self.disk.save_snapshot(snapshot, self.settings.keep_entries)
        self.replica.compact(snapshot)


class Group:
    """Nodes that exchange messages, except for those in `isolated`."""

    def __init__(self, *identities, settings=SETTINGS):
        self.now = 100.0
        self.settings = settings
        self.nodes = {}
        self.isolated = set()
        self.undelivered = []
        members = members_of(*identities)
        for identity in identities:
            self.add_node(identity, bootstrap(Recovered(identity), members))

    def __getitem__(self, identity):
        return self.nodes[identity].replica

    @property
    def leaders(self):
        return [i for i in self.reachable if self[i].has_lease(self.now)]

    @property
    def reachable(self):
        return [i for i in self.nodes if i not in self.isolated]

    def add_node(self, identity, recovered=None):
        disk = MemoryDisk(recovered or Recovered(identity))
        self.nodes[identity] = Node(disk, self.now, self.settings)

    def deliver(self):
        """Deliver messages until none is left."""
        self.collect_messages()
        while self.undelivered:
            self.deliver_message(self.undelivered.pop(0))
            self.collect_messages()

    def collect_messages(self):
        for identity in self.reachable:
            self.undelivered += [
                (identity, m) for m in self.nodes[identity].process_ready()
            ]

    def deliver_message(self, item):
        sender, outgoing = item
        if sender not in self.isolated and outgoing.replica in self.reachable:
            self[outgoing.replica].step(self.now, outgoing.message)

    def advance(self, seconds, tick=0.05):
        end = self.now + seconds
        while self.now < end:
            self.now += tick
            for identity in self.reachable:
                self[identity].tick(self.now)
            self.deliver()

    def elect(self):
        """Advance the clock until one leader has a lease; return its replica id."""
        for _ in range(400):
            self.advance(0.05)
            if self.leaders:
                (leader,) = self.leaders
                return leader
        raise AssertionError("no leader")

    def propose(self, leader, *payloads):
        for payload in payloads:
            self[leader].propose(self.now, payload)
        self.deliver()
