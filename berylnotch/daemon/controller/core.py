"""Core thread of a controller, which runs the replica and the leader's services."""

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
from berylnotch.daemon.controller.inbound import Inbound, VouchAnswer, discard_reply
from berylnotch.daemon.controller.leader import Leader
from berylnotch.daemon.controller.members import MemberChanges
from berylnotch.daemon.controller.outside import ExternalClient
from berylnotch.daemon.controller.proposals import PendingProposals
from berylnotch.daemon.controller.vouching import VouchClient
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

#: Largest number of messages that share one sync of the log.
_MAX_BATCH = 512
#: Interval in seconds between ticks while no messages arrive.
_TICK_INTERVAL_S = 0.02

_CONSENSUS_MESSAGES = (
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotRequest,
    SnapshotReply,
    TimeoutNow,
)


class Core:
    """Owner of a controller's state, which only the core thread reads and changes.

    Messages are processed in batches, each with one sync of the log.

    Parameters
    ----------
    settings : ControllerSettings
        Settings of the process.
    storage : LogStorage
        Durable log.
    recovered : Recovered
        State recovered from the storage at the start.
    peers : Peers
        Connections to the other controllers.
    loop : Loop
        Network thread of the process.
    make_replica : callable
        Creates a replica from the recovered state.
    address : str
        Address, as ``IP:port``, at which other processes reach this controller.
    on_failure : callable
        Called if the core thread or the snapshot thread fails.
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
        self._vouch_client = VouchClient(
            peers, settings.freshness_lease_s, self._submit_vouch_answer
        )
        self._pending_proposals = PendingProposals()
        self._sync_server = SyncServer(self._state, self._age_ms, self._leader_address)
        self._external_client = ExternalClient(loop, self._submit_call)
        self._leader = Leader(
            settings, self._state, self._external_client, self.propose_command
        )
        self._member_changes = MemberChanges(peers, self._submit_call)
        self._inbox: queue.SimpleQueue[Inbound | None] = queue.SimpleQueue()
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="core")
        self._snapshot_executor = ThreadPoolExecutor(1, thread_name_prefix="snapshot")
        self._is_snapshotting = False
        self._run_future: Future[None] | None = None
        self._is_closing = False

    @property
    def replica(self) -> Replica:
        """The replica, which only the core thread may use."""
        return self._replica

    @property
    def state(self) -> ControlState:
        """The applied state, which only the core thread may use."""
        return self._state

    @property
    def leader(self) -> Leader:
        """Services that run while this controller is the leader."""
        return self._leader

    def start(self) -> None:
        """Start the core thread."""
        self._run_future = self._executor.submit(self._run)

    def close(self) -> None:
        """Finish the current batch, transfer leadership and stop."""
        self._inbox.put(None)
        if self._run_future is not None:
            wait([self._run_future])
        self._external_client.close()
        self._executor.shutdown()
        self._snapshot_executor.shutdown()
        self._storage.close()

    def submit(
        self, identity: str, message: Any, reply: Callable[[object], None]
    ) -> None:
        """Queue a message for the core thread; any thread may call this."""
        self._inbox.put(Inbound(identity, message, reply))

    def propose_command(
        self, command: object, reply: Callable[[object], None] | None = None
    ) -> None:
        """Propose a command; ``reply`` receives a `ProposeReply` or `NotLeader`."""
        reply = reply or discard_reply
        now = time.monotonic()
        if not self._replica.has_lease(now):
            reply(NotLeader(self._leader_address()))
            return
        proposal = Proposal(int(time.time() * 1000), encode(command))
        index = self._replica.propose(now, encode(proposal))
        self._pending_proposals.add(index, self._replica.term, reply)

    def members(self) -> tuple[Member, ...]:
        """Return the members of the group."""
        return self._replica.members.members

    def _run(self) -> None:
        while not self._is_closing:
            try:
                self._run_batch()
            except Exception:
                # A replica that fails to save or apply entries must not continue: its
                # state may differ from the log.
                logger.exception("event=core_failed")
                self._on_failure()
                raise

    def _run_batch(self) -> None:
        for inbound in self._collect_batch():
            self._process(inbound)
        now = time.monotonic()
        self._replica.tick(now)
        self._save_and_apply()
        # The clock is read again because the lease may have ended during the sync.
        now = time.monotonic()
        self._update_leadership(now)
        self._sync_server.tick(now)
        if not self._replica.is_leader:
            applied = self._replica.applied
            self._vouch_client.tick(now, self._leader_address(), applied)
        self._compact()
        if self._is_closing and self._replica.has_lease(now):
            self._transfer_leadership(now)

    def _transfer_leadership(self, now: float) -> None:
        # Without a transfer, the other controllers elect a leader only after an
        # election timeout.
        self._replica.transfer(now)
        self._save_and_apply()

    def _collect_batch(self) -> list[Inbound]:
        batch: list[Inbound] = []
        try:
            item = self._inbox.get(timeout=_TICK_INTERVAL_S)
            while True:
                if item is None:
                    self._is_closing = True
                    return batch
                batch.append(item)
                if len(batch) >= _MAX_BATCH:
                    return batch
                item = self._inbox.get_nowait()
        except queue.Empty:
            return batch

    def _process(self, inbound: Inbound) -> None:
        try:
            self._dispatch(inbound)
        except BerylnotchError as error:
            inbound.reply(Refused(str(error)))
        except (ArithmeticError, LookupError, TypeError, ValueError):
            # An error in one request must not stop the replica.
            logger.exception("event=request_failed")
            inbound.reply(Refused("internal error; see the controller's log"))

    def _dispatch(self, inbound: Inbound) -> None:
        message = inbound.message
        if isinstance(message, VouchAnswer):
            self._vouch_client.on_answer(message, self._replica.applied)
        elif not inbound.identity:
            message()
        elif not is_vm(inbound.identity):
            self._dispatch_operator(inbound)
        elif isinstance(message, _CONSENSUS_MESSAGES):
            self._replica.step(time.monotonic(), message)
        elif isinstance(message, SyncRequest):
            self._sync_server.on_request(time.monotonic(), message, inbound.reply)
        elif isinstance(message, VouchRequest):
            inbound.reply(VouchReply(self._replica.commit, self._lease_age_ms()))
        elif isinstance(message, GrantRequest):
            self._answer_grant_request(message, inbound.reply)
        elif isinstance(message, ProposeRequest):
            self.propose_command(decode(message.command), inbound.reply)
        elif isinstance(message, JoinRequest):
            self._answer_join(inbound.reply)
        else:
            inbound.reply(Refused(f"{type(message).__name__} is not served here"))

    def _dispatch_operator(self, inbound: Inbound) -> None:
        operator = operator_name(inbound.identity)
        message = inbound.message
        if isinstance(message, JoinRequest):
            self._answer_join(inbound.reply)
        elif isinstance(message, BootstrapRequest):
            self._bootstrap(message, inbound.reply)
        elif isinstance(message, ProposeRequest):
            command = decode(message.command)
            secret = self._settings.secret
            stored_command = reads.check_operator_command(operator, command, secret)
            self.propose_command(stored_command, inbound.reply)
        elif not self._replica.has_lease(time.monotonic()):
            inbound.reply(NotLeader(self._leader_address()))
        elif isinstance(message, MemberChangeRequest):
            self._member_changes.start(message, inbound.reply)
        else:
            inbound.reply(reads.answer_query(self, message))

    def _answer_join(self, reply: Callable[[object], None]) -> None:
        member = self._settings.as_member(self._replica.identity, self._address)
        reply(JoinReply(member, bool(self.members())))

    def _bootstrap(
        self, message: BootstrapRequest, reply: Callable[[object], None]
    ) -> None:
        if not self.members():
            # The replica may have voted since the start; the group starts from its
            # current state, so that the vote is kept.
            recovered = bootstrap(self._replica.recovered, message.members)
            self._storage.save(first_ready(recovered))
            self._replica = self._make_replica(recovered)
            logger.info("event=bootstrap members={}", len(message.members.members))
        reply(BootstrapReply(self._replica.members))

    def _answer_grant_request(
        self, message: GrantRequest, reply: Callable[[object], None]
    ) -> None:
        now = time.monotonic()
        if not self._replica.has_lease(now):
            reply(NotLeader(self._leader_address()))
            return
        self._leader.start_term(now, self._replica.term)
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
        self._pending_proposals.resolve(entry.index, entry.term, result)

    def _update_leadership(self, now: float) -> None:
        if self._replica.has_lease(now):
            self._leader.start_term(now, self._replica.term)
            age_s = self._replica.lease_age_s(now)
            valid_until = now + self._settings.consensus.lease_s - age_s
            self._leader.tick(now, valid_until)
            self._member_changes.tick(now, self._replica)
        else:
            self._leader.end_term()
            self._member_changes.abort(NotLeader(self._leader_address()))
            if not self._replica.is_leader:
                self._pending_proposals.fail_all(NotLeader(self._leader_address()))

    def _compact(self) -> None:
        if self._is_snapshotting or not self._replica.is_snapshot_due:
            return
        # Encoding a large state takes longer than a lease. The core thread therefore
        # only collects the records, and another thread encodes them.
        self._is_snapshotting = True
        encode_state = self._state.prepare_snapshot()
        empty_snapshot = self._replica.build_snapshot(b"")
        self._snapshot_executor.submit(
            lambda: self._save_snapshot(empty_snapshot, encode_state)
        )

    def _save_snapshot(
        self, empty_snapshot: Snapshot, encode_state: Callable[[], bytes]
    ) -> None:
        try:
            snapshot = evolve(empty_snapshot, data=encode_state())
            self._storage.save_snapshot(snapshot)
        except Exception:
            logger.exception("event=snapshot_failed")
            self._on_failure()
            return
        self._submit_call(lambda: self._on_snapshot_saved(snapshot))

    def _on_snapshot_saved(self, snapshot: Snapshot) -> None:
        self._is_snapshotting = False
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
        own_age_ms = self._lease_age_ms()
        return own_age_ms if own_age_ms >= 0 else self._vouch_client.age_ms(now)

    def _submit_call(self, call: Callable[[], None]) -> None:
        self._inbox.put(Inbound("", call, discard_reply))

    def _submit_vouch_answer(self, answer: VouchAnswer) -> None:
        self._inbox.put(Inbound("", answer, discard_reply))
