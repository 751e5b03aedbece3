"""Simulated group under faults, with checks of the invariants of the log.

Messages are sent to a VM's address, as over TCP, so a VM whose disk was wiped receives
messages for the replica that it had before.
"""

from __future__ import annotations

import random

import attrs

from berylnotch.consensus.bootstrap import bootstrap
from berylnotch.consensus.members import find_member, quorum_size, voter_ids
from berylnotch.consensus.messages import Members, Role, VoteReply
from berylnotch.consensus.settings import ConsensusSettings
from berylnotch.consensus.state import Recovered
from berylnotch.errors import ConsensusError
from tests.test_consensus.group import MemoryDisk, Node, member, members_of

TICK_S = 0.05
SETTINGS = ConsensusSettings(
    max_append_entries=4,
    max_inflight_entries=16,
    snapshot_part_bytes=256,
    keep_entries=3,
)


class Vm:
    """VM with a disk, its own clock and one replica."""

    def __init__(self, name, recovered, now, clock_offset, clock_rate):
        self.name = name
        self.clock_offset = clock_offset
        self.clock_rate = clock_rate
        self.is_up = True
        self.is_paused = False
        self.torn_save_fraction = None
        self.is_disk_full = False
        self.node = Node(MemoryDisk(recovered), self.local_time(now), SETTINGS)

    @property
    def replica(self):
        return self.node.replica

    @property
    def identity(self):
        return self.node.disk.recovered.identity

    @property
    def is_running(self):
        return self.is_up and not self.is_paused

    def local_time(self, now):
        return self.clock_offset + self.clock_rate * now

    def restart(self, now):
        self.node.start(self.local_time(now))
        self.is_up = True


class FaultyGroup:
    """VMs, the messages in flight, and everything committed or acknowledged so far."""

    def __init__(self, size, clocks):
        self.now = 0.0
        self.size = size
        self.isolated = set()
        self.cut_links = set()
        self.loss_rate = 0.0
        self.in_flight = []
        self.committed = {}
        self.proposed = {}
        self.acknowledged = {}
        self.votes = {}
        self.wipes = 0
        names = [f"vm{i}" for i in range(size)]
        members = members_of(*(f"{name}/0" for name in names))
        self.vms = {}
        for name, (clock_offset, clock_rate) in zip(names, clocks, strict=True):
            state = bootstrap(Recovered(f"{name}/0"), members)
            self.vms[name] = Vm(name, state, 0.0, clock_offset, clock_rate)

    def run(self, seconds, seed):
        rng = random.Random(seed)
        for _ in range(round(seconds / TICK_S)):
            self.now += TICK_S
            due = [item for item in self.in_flight if item[0] <= self.now]
            self.in_flight = [item for item in self.in_flight if item[0] > self.now]
            rng.shuffle(due)
            for _, name, message in due:
                self.deliver(name, message, rng)
            for vm in self.vms.values():
                if vm.is_running:
                    vm.replica.tick(vm.local_time(self.now))
                    self.process_ready(vm, rng)
            self.run_workload(rng)
            self.check_invariants()

    def run_workload(self, rng):
        """Make random proposals, membership changes, transfers and snapshots."""
        vm = rng.choice([*self.vms.values()])
        if not vm.is_running:
            return
        if rng.random() < 0.3:
            vm.node.compact()
        for leader in self.vms.values():
            if leader.is_running and leader.replica.is_leader and rng.random() < 0.3:
                for _ in range(rng.randrange(1, 8)):
                    self.propose(leader, b"%d" % len(self.proposed))
                if rng.random() < 0.3:
                    self.change_members(leader, rng.randrange(100))
                if rng.random() < 0.01:
                    leader.replica.transfer(leader.local_time(self.now))

    def deliver(self, name, message, rng):
        vm = self.vms[name]
        if not vm.is_up:
            return
        if vm.is_paused:
            self.in_flight.append((self.now + TICK_S, name, message))
            return
        vm.replica.step(vm.local_time(self.now), message)
        self.process_ready(vm, rng)

    def process_ready(self, vm, rng):
        while not (ready := vm.replica.ready()).is_empty:
            if vm.torn_save_fraction is not None and ready.must_save:
                self.crash_in_save(vm, ready)
                if vm.is_disk_full:
                    self.resign(vm, rng)
                return
            self.check_hard_state(vm, ready)
            vm.node.disk.save(ready)
            for outgoing in ready.messages:
                self.send(vm, outgoing, rng)
            if ready.snapshot:
                vm.node.restore(ready.snapshot)
            self.record_committed(ready.committed)
            vm.node.apply(ready.committed)
            vm.replica.advance(ready)
        vm.replica.advance(ready)

    def send(self, vm, outgoing, rng):
        self.record_vote(outgoing)
        recipient = outgoing.address.split("/")[0]
        if (
            recipient not in self.vms
            or vm.name in self.isolated
            or recipient in self.isolated
        ):
            return
        if frozenset((vm.name, recipient)) in self.cut_links:
            return
        copies = (
            0 if rng.random() < self.loss_rate else 1 + (rng.random() < self.loss_rate)
        )
        for _ in range(copies):
            is_late = rng.random() < self.loss_rate / 2
            delay = rng.uniform(0, 4.0 if is_late else 0.06)
            self.in_flight.append((self.now + delay, recipient, outgoing.message))

    def crash_in_save(self, vm, ready):
        """Crash during a save that has written only a prefix of its records."""
        record_count = int(ready.hard_state is not None) + len(ready.entries)
        kept_count = round(vm.torn_save_fraction * record_count)
        if ready.hard_state is not None and kept_count:
            vm.node.disk.save(attrs.evolve(ready, entries=(), snapshot=None))
            kept_count -= 1
        if ready.snapshot is None:
            part = attrs.evolve(
                ready, hard_state=None, entries=ready.entries[:kept_count]
            )
            vm.node.disk.save(part)
        self.crash(vm)

    def resign(self, vm, rng):
        """Hand over the leadership, if this VM has it, although nothing is saved."""
        request = vm.replica.resign(vm.local_time(self.now))
        if request is not None:
            self.send(vm, request, rng)

    def crash(self, vm):
        vm.is_up = False
        vm.is_paused = False
        vm.torn_save_fraction = None

    def can_lose(self, lost_identity):
        """Whether all memberships in force keep a majority without this replica."""
        alive = {vm.identity for vm in self.vms.values()} - {lost_identity}
        return all(
            len(voter_ids(members) & alive) >= quorum_size(members)
            for members in (vm.replica.members for vm in self.vms.values())
            if members.members
        )

    def wipe(self, vm):
        if not self.can_lose(vm.identity):
            return
        self.wipes += 1
        disk = MemoryDisk(Recovered(f"{vm.name}/{self.wipes}"))
        vm.node = Node(disk, vm.local_time(self.now), SETTINGS)
        vm.is_up, vm.is_paused, vm.torn_save_fraction = True, False, None

    def propose(self, vm, payload):
        try:
            index = vm.replica.propose(vm.local_time(self.now), payload)
        except ConsensusError:
            return
        self.proposed[index, vm.replica.term] = payload

    def allowed_changes(self, vm):
        """Return the memberships that an operator may propose.

        Each of them keeps a majority, and at least three voters, among the replicas
        whose disks still exist.
        """
        members = vm.replica.members
        alive = {other.identity for other in self.vms.values()}
        listed = {m.replica for m in members.members}
        memberships = [
            Members((*members.members, member(identity, Role.LEARNER)))
            for identity in sorted(alive - listed)
        ]
        for m in members.members:
            others = tuple(x for x in members.members if x is not m)
            memberships.append(Members(others))
            role = Role.VOTER if m.role is Role.LEARNER else Role.LEARNER
            memberships.append(Members((*others, attrs.evolve(m, role=role))))
        return [
            new
            for new in memberships
            if len(voter_ids(new) & alive) >= max(3, quorum_size(new))
        ]

    def change_members(self, vm, choice):
        changes = self.allowed_changes(vm)
        try:
            if changes:
                new = changes[choice % len(changes)]
                vm.replica.propose_members(vm.local_time(self.now), new)
        except ConsensusError:
            pass

    def record_committed(self, entries):
        for entry in entries:
            previous = self.committed.setdefault(entry.index, entry)
            assert previous == entry, f"two entries committed at {entry.index}"
            payload = self.proposed.get((entry.index, entry.term))
            if payload is not None:
                self.acknowledged[entry.index] = payload

    def record_vote(self, outgoing):
        reply = outgoing.message
        if isinstance(reply, VoteReply) and reply.granted and not reply.pre:
            previous = self.votes.setdefault(
                (reply.voter, reply.term), outgoing.replica
            )
            assert previous == outgoing.replica, "two votes were sent in one term"

    def check_hard_state(self, vm, ready):
        old, new = vm.node.disk.recovered.hard_state, ready.hard_state
        if new is None:
            return
        assert new.term >= old.term, "the term fell"
        if new.term == old.term:
            assert old.voted_for in ("", new.voted_for), "two votes in one term"

    def check_invariants(self):
        leaders = [
            vm
            for vm in self.vms.values()
            if vm.is_up and vm.replica.has_lease(vm.local_time(self.now))
        ]
        assert len(leaders) <= 1, f"leases: {[vm.identity for vm in leaders]}"
        for vm in leaders:
            newest = max(self.acknowledged, default=0)
            assert vm.replica.commit >= newest, "the leader lacks an acknowledged entry"

    def end_faults(self):
        self.isolated, self.cut_links, self.loss_rate = set(), set(), 0.0
        for vm in self.vms.values():
            vm.is_paused, vm.torn_save_fraction = False, None
            vm.is_disk_full = False
            if not vm.is_up:
                vm.restart(self.now)

    def recover_and_check(self):
        """End all faults; a leader must be elected and all logs must converge."""
        self.end_faults()
        self.run_workload = lambda rng: None
        for _ in range(20):
            self.run(1.0, 0)
            if self.has_converged():
                break
        assert self.has_converged(), f"no agreement: {self.describe_vms()}"
        for index, payload in self.acknowledged.items():
            assert self.committed[index].payload == payload

    def describe_vms(self):
        return [
            (
                vm.identity,
                replica.term,
                replica.is_leader,
                replica.commit,
                replica.last_index,
                [(m.replica, m.role.value) for m in replica.members.members],
            )
            for vm in self.vms.values()
            for replica in [vm.replica]
        ]

    def has_converged(self):
        leaders = [vm for vm in self.vms.values() if vm.replica.is_leader]
        if len(leaders) != 1:
            return False
        leader = leaders[0]
        return all(
            vm.node.applied == leader.node.applied
            for vm in self.vms.values()
            if find_member(leader.replica.members, vm.identity)
        ) and leader.replica.has_lease(leader.local_time(self.now))
