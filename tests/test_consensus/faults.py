"""A group under faults, with the invariants that must hold at every moment.

Messages go to a VM's address, as they do over TCP: a VM whose disk was wiped
gets what was meant for the replica before it.
"""

from __future__ import annotations

import random

import attrs

from berylnotch.consensus.bootstrap import bootstrap
from berylnotch.consensus.members import find, quorum, voters
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
    """A VM with a disk, a clock of its own and one replica."""

    def __init__(self, name, recovered, now, offset, rate):
        self.name = name
        self.offset = offset
        self.rate = rate
        self.is_up = True
        self.is_paused = False
        self.torn_save = None
        self.node = Node(MemoryDisk(recovered), self.clock(now), SETTINGS)

    @property
    def replica(self):
        return self.node.replica

    @property
    def identity(self):
        return self.node.disk.recovered.identity

    @property
    def runs(self):
        return self.is_up and not self.is_paused

    def clock(self, now):
        return self.offset + self.rate * now

    def restart(self, now):
        self.node.start(self.clock(now))
        self.is_up = True


class FaultyGroup:
    """VMs, the messages between them and what was promised so far."""

    def __init__(self, size, clocks):
        self.now = 0.0
        self.size = size
        self.cut = set()
        self.links = set()
        self.loss = 0.0
        self.in_flight = []
        self.committed = {}
        self.proposed = {}
        self.acked = {}
        self.votes = {}
        self.wipes = 0
        names = [f"vm{i}" for i in range(size)]
        members = members_of(*(f"{name}/0" for name in names))
        self.vms = {}
        for name, (offset, rate) in zip(names, clocks, strict=True):
            state = bootstrap(Recovered(f"{name}/0"), members)
            self.vms[name] = Vm(name, state, 0.0, offset, rate)

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
                if vm.runs:
                    vm.replica.tick(vm.clock(self.now))
                    self.work(vm, rng)
            self.use(rng)
            self.check()

    def use(self, rng):
        """Let clients, operators and snapshots come in between."""
        vm = rng.choice([*self.vms.values()])
        if not vm.runs:
            return
        if rng.random() < 0.3:
            vm.node.compact()
        for leader in self.vms.values():
            if leader.runs and leader.replica.is_leader and rng.random() < 0.3:
                for _ in range(rng.randrange(1, 8)):
                    self.propose(leader, b"%d" % len(self.proposed))
                if rng.random() < 0.3:
                    self.change_members(leader, rng.randrange(100))
                if rng.random() < 0.01:
                    leader.replica.transfer(leader.clock(self.now))

    def deliver(self, name, message, rng):
        vm = self.vms[name]
        if not vm.is_up:
            return
        if vm.is_paused:
            self.in_flight.append((self.now + TICK_S, name, message))
            return
        vm.replica.step(vm.clock(self.now), message)
        self.work(vm, rng)

    def work(self, vm, rng):
        while not (ready := vm.replica.ready()).is_empty:
            if vm.torn_save is not None and ready.must_save:
                self.crash_in_save(vm, ready)
                return
            self.check_term(vm, ready)
            vm.node.disk.save(ready)
            for outgoing in ready.messages:
                self.send(vm, outgoing, rng)
            if ready.snapshot:
                vm.node.restore(ready.snapshot)
            self.note_committed(ready.committed)
            vm.node.apply(ready.committed)
            vm.replica.advance(ready)
        vm.replica.advance(ready)

    def send(self, vm, outgoing, rng):
        self.note_vote(outgoing)
        target = outgoing.address.split("/")[0]
        if target not in self.vms or vm.name in self.cut or target in self.cut:
            return
        if frozenset((vm.name, target)) in self.links:
            return
        copies = 0 if rng.random() < self.loss else 1 + (rng.random() < self.loss)
        for _ in range(copies):
            late = rng.random() < self.loss / 2
            delay = rng.uniform(0, 4.0 if late else 0.06)
            self.in_flight.append((self.now + delay, target, outgoing.message))

    def crash_in_save(self, vm, ready):
        """Keep what reached the disk: a prefix of what the save wrote."""
        records = int(ready.hard_state is not None) + len(ready.entries)
        kept = round(vm.torn_save * records)
        if ready.hard_state is not None and kept:
            vm.node.disk.save(attrs.evolve(ready, entries=(), snapshot=None))
            kept -= 1
        if ready.snapshot is None:
            part = attrs.evolve(ready, hard_state=None, entries=ready.entries[:kept])
            vm.node.disk.save(part)
        self.crash(vm)

    def crash(self, vm):
        vm.is_up = False
        vm.is_paused = False
        vm.torn_save = None

    def may_lose(self, lost):
        """Whether every membership in force has a majority without ``lost``."""
        alive = {vm.identity for vm in self.vms.values()} - {lost}
        return all(
            len(voters(members) & alive) >= quorum(members)
            for members in (vm.replica.members for vm in self.vms.values())
            if members.members
        )

    def wipe(self, vm):
        if not self.may_lose(vm.identity):
            return
        self.wipes += 1
        disk = MemoryDisk(Recovered(f"{vm.name}/{self.wipes}"))
        vm.node = Node(disk, vm.clock(self.now), SETTINGS)
        vm.is_up, vm.is_paused, vm.torn_save = True, False, None

    def propose(self, vm, payload):
        try:
            index = vm.replica.propose(vm.clock(self.now), payload)
        except ConsensusError:
            return
        self.proposed[index, vm.replica.term] = payload

    def changes(self, vm):
        """Return the memberships that an operator may reasonably ask for."""
        members = vm.replica.members
        alive = {other.identity for other in self.vms.values()}
        listed = {m.replica for m in members.members}
        found = [
            Members((*members.members, member(identity, Role.LEARNER)))
            for identity in sorted(alive - listed)
        ]
        for m in members.members:
            others = tuple(x for x in members.members if x is not m)
            found.append(Members(others))
            role = Role.VOTER if m.role is Role.LEARNER else Role.LEARNER
            found.append(Members((*others, attrs.evolve(m, role=role))))
        return [new for new in found if len(voters(new) & alive) >= max(3, quorum(new))]

    def change_members(self, vm, choice):
        changes = self.changes(vm)
        try:
            if changes:
                new = changes[choice % len(changes)]
                vm.replica.propose_members(vm.clock(self.now), new)
        except ConsensusError:
            pass

    def note_committed(self, entries):
        for entry in entries:
            known = self.committed.setdefault(entry.index, entry)
            assert known == entry, f"two entries committed at {entry.index}"
            payload = self.proposed.get((entry.index, entry.term))
            if payload is not None:
                self.acked[entry.index] = payload

    def note_vote(self, outgoing):
        reply = outgoing.message
        if isinstance(reply, VoteReply) and reply.granted and not reply.pre:
            known = self.votes.setdefault((reply.voter, reply.term), outgoing.replica)
            assert known == outgoing.replica, "two votes were sent in one term"

    def check_term(self, vm, ready):
        old, new = vm.node.disk.recovered.hard_state, ready.hard_state
        if new is None:
            return
        assert new.term >= old.term, "the term fell"
        if new.term == old.term:
            assert old.voted_for in ("", new.voted_for), "two votes in one term"

    def check(self):
        leaders = [
            vm
            for vm in self.vms.values()
            if vm.is_up and vm.replica.has_lease(vm.clock(self.now))
        ]
        assert len(leaders) <= 1, f"leases: {[vm.identity for vm in leaders]}"
        for vm in leaders:
            newest = max(self.acked, default=0)
            assert vm.replica.commit >= newest, "the leader lacks an acked entry"

    def end_faults(self):
        self.cut, self.links, self.loss = set(), set(), 0.0
        for vm in self.vms.values():
            vm.is_paused, vm.torn_save = False, None
            if not vm.is_up:
                vm.restart(self.now)

    def heal(self):
        """End all faults; a leader must emerge and all must agree."""
        self.end_faults()
        self.use = lambda rng: None
        for _ in range(20):
            self.run(1.0, 0)
            if self.is_settled():
                break
        assert self.is_settled(), f"no agreement: {self.report()}"
        for index, payload in self.acked.items():
            assert self.committed[index].payload == payload

    def report(self):
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

    def is_settled(self):
        leaders = [vm for vm in self.vms.values() if vm.replica.is_leader]
        if len(leaders) != 1:
            return False
        leader = leaders[0]
        return all(
            vm.node.applied == leader.node.applied
            for vm in self.vms.values()
            if find(leader.replica.members, vm.identity)
        ) and leader.replica.has_lease(leader.clock(self.now))
