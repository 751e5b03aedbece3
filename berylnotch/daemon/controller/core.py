"""Core thread of a controller: replica, state, and the services of the leader."""

from __future__ import annotations

import queue
import time
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import TYPE_CHECKING, Any

from attrs import evolve
from loguru import logger

from berylnotch.consensus.bootstrap import bootstrap, first_ready
from berylnotch.consensus.messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from berylnotch.control.commands import Proposal
from berylnotch.control.protocol import (
    BootstrapReply,
    BootstrapRequest,
    JoinReply,
    JoinRequest,
    MemberChangeRequest,
    NotLeader,
    ProposeRequest,
    Refused,
    SyncRequest,
    VouchReply,
    VouchRequest,
)
from berylnotch.control.state import ControlState
from berylnotch.daemon.controller import reads
from berylnotch.daemon.controller.inbound import Inbound, Vouched, ignore
from berylnotch.daemon.controller.leader import Leader
from berylnotch.daemon.controller.members import MemberChanges
from berylnotch.daemon.controller.outside import Outside
from berylnotch.daemon.controller.proposals import Proposals
from berylnotch.daemon.controller.vouching import Vouching
from berylnotch.daemon.syncing import SyncServer
from berylnotch.errors import BerylnotchError
from berylnotch.quota.messages import GrantRequest
from berylnotch.transport.codec import decode, encode
from berylnotch.transport.identity import is_vm, operator_name

if TYPE_CHECKING:
    from berylnotch.consensus.messages import Entry, Member
    from berylnotch.consensus.replica import Replica
    from berylnotch.consensus.state import Ready, Recovered, Snapshot
    from berylnotch.consensus.storage import LogStorage
    from berylnotch.settings.controller import ControllerSettings
    from berylnotch.transport.peers import Peers
    from berylnotch.util.loop import Loop

#: Messages taken before the log is synced once for all of them.
_BATCH = 512
#: Seconds between two looks at the clock when nothing arrives.
_TICK_S = 0.02

_CONSENSUS = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
    SnapshotReply,
    TimeoutNow,
)


class Core:
    """Owner of a controller's state; everything runs in one thread.

    Messages are taken in batches, and each batch costs one sync of the log.

    Parameters
    ----------
    settings : ControllerSettings
        Settings of the process.
    storage : LogStorage
        Durable log.
    recovered : Recovered
        What the storage held at the start.
    peers : Peers
        Connections to the other controllers.
    loop : Loop
        Network thread of the process.
    make_replica : callable
        Builds the replica from recovered state.
    address : str
        ``IP:port`` under which other processes reach this one.
    on_failure : callable
        Called if the thread ends by an error.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        storage: LogStorage,
        recovered: Recovered,
        peers: Peers,
        loop: Loop,
        make_replica: Callable[[Recovered], Replica],
        address: str,
        on_failure: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._on_failure = on_failure
        self._address = address
        self._storage = storage
        self._peers = peers
        self._make_replica = make_replica
        self._state = ControlState()
        self._replica = make_replica(recovered)
        if recovered.snapshot is not None and recovered.snapshot.data:
            self._state.restore(recovered.snapshot.data)
        self._vouching = Vouching(peers, settings.freshness_lease_s, self._deliver)
        self._proposals = Proposals()
        self._syncs = SyncServer(self._state, self._age_ms, self._leader_address)
        self._outside = Outside(loop, self._deliver_call)
        self._leader = Leader(
            settings, self._state, self._outside, self.propose_command
        )
        self._member_changes = MemberChanges(peers, self._deliver_call)
        self._inbox: queue.SimpleQueue[Inbound | None] = queue.SimpleQueue()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="core")
        self._packer = ThreadPoolExecutor(1, thread_name_prefix="snapshot")
        self._snapshotting = False
        self._finished: Future[None] | None = None
        self._closing = False

    @property
    def replica(self) -> Replica:
        """The replica; to be read in the core thread only."""
        return self._replica

    @property
    def state(self) -> ControlState:
        """The applied state; to be read in the core thread only."""
        return self._state

    @property
    def leader(self) -> Leader:
        """Services that run while this controller leads."""
        return self._leader

    def start(self) -> None:
        """Start the thread."""
        self._finished = self._executor.submit(self._run)

    def close(self) -> None:
        """Finish the current batch and stop."""
        self._inbox.put(None)
        if self._finished is not None:
            wait([self._finished])
        self._outside.close()
        self._executor.shutdown()
        self._packer.shutdown()
        self._storage.close()

    def submit(
        self, identity: str, message: Any, reply: Callable[[object], None]
    ) -> None:
        """Hand a message to the core thread; any thread may call this."""
        self._inbox.put(Inbound(identity, message, reply))

    def propose_command(
        self, command: object, reply: Callable[[object], None] | None = None
    ) -> None:
        """Propose a command; the reply is a `ProposeReply` or `NotLeader`."""
        reply = reply or ignore
        now = time.monotonic()
        if not self._replica.has_lease(now):
            reply(NotLeader(self._leader_address()))
            return
        proposal = Proposal(int(time.time() * 1000), encode(command))
        index = self._replica.propose(now, encode(proposal))
        self._proposals.add(index, self._replica.term, reply)

    def members(self) -> tuple[Member, ...]:
        """Return the members of the group."""
        return self._replica.members.members

    def _run(self) -> None:
        while not self._closing:
            try:
                self._run_batch()
            except Exception:
                # A replica that cannot save or apply must not go on.
                logger.exception("event=core_failed")
                self._on_failure()
                raise

    def _run_batch(self) -> None:
        for inbound in self._take_batch():
            self._take(inbound)
        now = time.monotonic()
        self._replica.tick(now)
        self._save_and_apply()
        # The clock is read again: the sync may have outlasted the lease.
        now = time.monotonic()
        self._follow_role(now)
        self._syncs.tick(now)
        if not self._replica.is_leader:
            applied = self._replica.applied
            self._vouching.tick(now, self._leader_address(), applied)
        self._compact()
        if self._closing and self._replica.has_lease(now):
            self._hand_over(now)

    def _hand_over(self, now: float) -> None:
        # Without it the others would wait for an election timeout.
        self._replica.transfer(now)
        self._save_and_apply()

    def _take_batch(self) -> list[Inbound]:
        batch: list[Inbound] = []
        try:
            item = self._inbox.get(timeout=_TICK_S)
            while True:
                if item is None:
                    self._closing = True
                    return batch
                batch.append(item)
                if len(batch) >= _BATCH:
                    return batch
                item = self._inbox.get_nowait()
        except queue.Empty:
            return batch

    def _take(self, inbound: Inbound) -> None:
        try:
            self._dispatch(inbound)
        except BerylnotchError as error:
            inbound.reply(Refused(str(error)))
        except (ArithmeticError, LookupError, TypeError, ValueError):
            # One request's mistake must not end the replica.
            logger.exception("event=request_failed")
            inbound.reply(Refused("internal error; see the controller's log"))

    def _dispatch(self, inbound: Inbound) -> None:
        message = inbound.message
        if isinstance(message, Vouched):
            self._vouching.take(message, self._replica.applied)
        elif not inbound.identity:
            message()
        elif not is_vm(inbound.identity):
            self._dispatch_operator(inbound)
        elif isinstance(message, _CONSENSUS):
            self._replica.step(time.monotonic(), message)
        elif isinstance(message, SyncRequest):
            self._syncs.ask(time.monotonic(), message, inbound.reply)
        elif isinstance(message, VouchRequest):
            inbound.reply(VouchReply(self._replica.commit, self._lease_age_ms()))
        elif isinstance(message, GrantRequest):
            self._grant(message, inbound.reply)
        elif isinstance(message, ProposeRequest):
            self.propose_command(decode(message.command), inbound.reply)
        elif isinstance(message, JoinRequest):
            self._join(inbound.reply)
        else:
            inbound.reply(Refused(f"{type(message).__name__} is not served here"))

    def _dispatch_operator(self, inbound: Inbound) -> None:
        operator = operator_name(inbound.identity)
        message = inbound.message
        if isinstance(message, JoinRequest):
            self._join(inbound.reply)
        elif isinstance(message, BootstrapRequest):
            self._bootstrap(message, inbound.reply)
        elif isinstance(message, ProposeRequest):
            command = decode(message.command)
            secret = self._settings.secret
            stored = reads.check_operator_command(operator, command, secret)
            self.propose_command(stored, inbound.reply)
        elif not self._replica.has_lease(time.monotonic()):
            inbound.reply(NotLeader(self._leader_address()))
        elif isinstance(message, MemberChangeRequest):
            self._member_changes.ask(message, inbound.reply)
        else:
            inbound.reply(reads.answer(self, message))

    def _join(self, reply: Callable[[object], None]) -> None:
        member = self._settings.as_member(self._replica.identity, self._address)
        reply(JoinReply(member, bool(self.members())))

    def _bootstrap(
        self, message: BootstrapRequest, reply: Callable[[object], None]
    ) -> None:
        if not self.members():
            # The replica may have voted since the start; that vote must stand.
            recovered = bootstrap(self._replica.recovered, message.members)
            self._storage.save(first_ready(recovered))
            self._replica = self._make_replica(recovered)
            logger.info("event=bootstrap members={}", len(message.members.members))
        reply(BootstrapReply(self._replica.members))

    def _grant(self, message: GrantRequest, reply: Callable[[object], None]) -> None:
        now = time.monotonic()
        if not self._replica.has_lease(now):
            reply(NotLeader(self._leader_address()))
            return
        self._leader.become(now, self._replica.term)
        reply(self._leader.grant(now, message))

    def _save_and_apply(self) -> None:
        ready = self._replica.ready()
        self._storage.save(ready)
        for outgoing in ready.messages:
            self._peers.send(outgoing.address, outgoing.message)
        self._apply(ready)
        self._replica.advance(ready)

    def _apply(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            self._state.restore(ready.snapshot.data)
            logger.info("event=snapshot_installed index={}", ready.snapshot.last_index)
        for entry in ready.committed:
            self._apply_entry(entry)

    def _apply_entry(self, entry: Entry) -> None:
        result = None
        if entry.kind is EntryKind.COMMAND:
            applied = self._state.apply(entry.index, decode(entry.payload))
            result = applied.result
        self._proposals.resolve(entry.index, entry.term, result)

    def _follow_role(self, now: float) -> None:
        if self._replica.has_lease(now):
            self._leader.become(now, self._replica.term)
            age_s = self._replica.lease_age_s(now)
            valid_until = now + self._settings.consensus.lease_s - age_s
            self._leader.tick(now, valid_until)
            self._member_changes.tick(now, self._replica)
        else:
            self._leader.resign()
            self._member_changes.fail(NotLeader(self._leader_address()))
            if not self._replica.is_leader:
                self._proposals.fail_all(NotLeader(self._leader_address()))

    def _compact(self) -> None:
        if self._snapshotting or not self._replica.is_snapshot_due:
            return
        # Packing a large state takes longer than a lease, so that only the
        # collecting of its records is done in this thread.
        self._snapshotting = True
        pack = self._state.prepare_snapshot()
        empty = self._replica.build_snapshot(b"")
        self._packer.submit(lambda: self._save_snapshot(empty, pack))

    def _save_snapshot(self, empty: Snapshot, pack: Callable[[], bytes]) -> None:
        try:
            snapshot = evolve(empty, data=pack())
            self._storage.save_snapshot(snapshot)
        except Exception:
            logger.exception("event=snapshot_failed")
            self._on_failure()
            return
        self._deliver_call(lambda: self._snapshot_saved(snapshot))

    def _snapshot_saved(self, snapshot: Snapshot) -> None:
        self._snapshotting = False
        self._replica.compact(snapshot)
        logger.info("event=snapshot_saved index={}", snapshot.last_index)

    def _leader_address(self) -> str:
        return self._replica.leader_address

    def _lease_age_ms(self) -> int:
        now = time.monotonic()
        if not self._replica.has_lease(now):
            return -1
        return int(self._replica.lease_age_s(now) * 1000) + 1

    def _age_ms(self, now: float) -> int:
        own = self._lease_age_ms()
        return own if own >= 0 else self._vouching.age_ms(now)

    def _deliver_call(self, call: Callable[[], None]) -> None:
        self._inbox.put(Inbound("", call, ignore))

    def _deliver(self, vouched: Vouched) -> None:
        self._inbox.put(Inbound("", vouched, ignore))
