"""Replica of the fleet's log: storage, messages, bootstrap and group membership."""

from __future__ import annotations

import random
from collections.abc import Callable

from attrs import frozen

from berylnotch.consensus.errors import NotLeaderError, OverloadedError
from berylnotch.consensus.messages import Entry, EntryKind
from berylnotch.consensus.replica import Replica
from berylnotch.consensus.settings import ConsensusSettings
from berylnotch.consensus.state import Recovered
from berylnotch.consensus.storage import LogStorage
from berylnotch.daemon.fleet.heard_leader import HeardLeader
from berylnotch.daemon.fleet.log_folder import (
    DiskFailures,
    is_founder,
    open_log_folder,
)
from berylnotch.daemon.fleet.membership_manager import MembershipManager
from berylnotch.errors import ConsensusError, StorageError
from berylnotch.group.messages import JoinRequest, Redirect
from berylnotch.group.state import FleetState
from berylnotch.settings.fleet import FleetSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Interval between two ticks of the replica, in seconds: half a heartbeat interval.
TICK_INTERVAL_S = 0.05

#: Interval between two checks of the group's members, in seconds.
MEMBERS_CHECK_INTERVAL_S = 0.2

#: Delay before the log folder is opened again after a disk failure, in seconds.
REOPEN_DELAY_S = 0.5

#: Called with True if a command was committed in the term in which it was proposed,
#: with False otherwise.
CommitCallback = Callable[[bool], None]

#: The snapshot sizes suit a state of a few hundred KB on a disk of about 100 MB. The
#: time-outs give a failover in about a second. No tokens are granted and no orders are
#: sent to engines until the failover ends.
CONSENSUS = ConsensusSettings(
    heartbeat_s=0.1,
    lease_s=0.55,
    election_min_s=0.7,
    election_max_s=1.1,
    snapshot_every_entries=500,
    snapshot_every_bytes=8 * 1024 * 1024,
    keep_entries=20,
)


@frozen
class _Proposal:
    """A proposed command that is not committed yet."""

    term: int
    done: CommitCallback


class ReplicaHost:
    """Replica of one controller, with its log folder and its group membership.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    seeds : callable
        Returns the addresses of the controllers to contact first.
    loop : Loop
        Event loop of the process.
    send : callable
        Sends a message to an address.
    state : FleetState
        State machine to which committed commands are applied.
    log : EventLog
        Log of the process.
    on_applied : callable
        Called after commands were applied, a snapshot was restored, or the log folder
        was opened.
    on_disk_failed : callable
        Called when the disk failed and this controller has no replica any more, before
        another controller is asked to lead.
    """

    def __init__(
        self,
        settings: FleetSettings,
        seeds: Callable[[], tuple[str, ...]],
        loop: Loop,
        send: Callable[[str, object], None],
        state: FleetState,
        log: EventLog,
        on_applied: Callable[[], None],
        on_disk_failed: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._membership_manager = MembershipManager(settings, seeds, send, log)
        self._loop = loop
        self._send = send
        self._state = state
        self._log = log
        self._on_applied = on_applied
        self._on_disk_failed = on_disk_failed
        self._storage: LogStorage | None = None
        self._replica: Replica | None = None
        self._disk_failures = DiskFailures(log, REOPEN_DELAY_S)
        self._failed_term = 0
        self._heard_leader = HeardLeader(CONSENSUS.election_min_s)
        self._is_processing_scheduled = False
        self._is_closed = False
        #: Whether this replica is about to stop and must not lead any more.
        self._is_leaving = False
        self._proposals: dict[int, _Proposal] = {}
        self._logged_leader = ""

    @property
    def address(self) -> str:
        """Address at which this controller accepts links."""
        return str(self._settings.internal)

    @property
    def term(self) -> int:
        """Newest term seen, also while the disk fails; 0 before a first replica."""
        return self._replica.term if self._replica is not None else self._failed_term

    @property
    def leader_address(self) -> str:
        """Address at which the leader accepts links, empty if unknown."""
        if self._replica is None:
            return self._heard_leader.address(boot_time())
        return self._replica.leader_address

    @property
    def known_addresses(self) -> tuple[str, ...]:
        """Addresses of all controllers known to this one."""
        return self._membership_manager.known_addresses(self._replica)

    @property
    def voter_count(self) -> int:
        """Number of members of the group."""
        return len(self._replica.members.members) if self._replica else 0

    @property
    def has_disk_failed(self) -> bool:
        """Whether there is no replica, because the log folder cannot be used."""
        return self._disk_failures.is_failing

    def is_active(self) -> bool:
        """Whether this replica holds the leader lease at the current time."""
        return self._replica is not None and self._replica.has_lease(boot_time())

    def lease_age_s(self) -> float | None:
        """Return the age of the leader lease in seconds, None on a follower."""
        if self._replica is None or not self._replica.is_leader:
            return None
        return self._replica.lease_age_s(boot_time())

    def start(self) -> None:
        """Open the log folder and start the timers of the replica."""
        self._open()
        self._loop.call_every(TICK_INTERVAL_S, self._tick)
        self._loop.call_every(MEMBERS_CHECK_INTERVAL_S, self._check_members)

    @property
    def is_closed(self) -> bool:
        """Whether the log folder is closed for good."""
        return self._is_closed

    @property
    def has_proposals(self) -> bool:
        """Whether commands that were proposed here are not committed yet."""
        return bool(self._proposals)

    def hand_over(self) -> None:
        """Transfer leadership, if held, and only follow and vote from then on.

        Commands that were proposed here may still be committed by the next leader. To
        be called repeatedly during a stop: no voter may be able to take over yet, and
        this replica may be elected again.
        """
        self._is_leaving = True
        replica = self._replica
        if replica is None or not replica.is_leader:
            return
        try:
            successor = replica.transfer(boot_time())
        except ConsensusError as error:
            self._log.info("transfer_failed", reason=str(error))
            return
        if successor:
            self._log.info("hands_over", to=successor, term=replica.term)
        self._process_ready()

    def close(self) -> None:
        """Report the outcome of pending commands as unknown, close the log folder."""
        self._is_closed = True
        self._fail_proposals()
        self._replica = None
        if self._storage is not None:
            self._storage.close()

    def propose(self, command: bytes, done: CommitCallback) -> None:
        """Propose a command to the group.

        Parameters
        ----------
        command : bytes
            Encoded command.
        done : callable
            Called with the outcome; with False at once if the proposal is refused.
        """
        try:
            if self._replica is None:
                raise NotLeaderError
            index = self._replica.propose(boot_time(), command)
        except (NotLeaderError, OverloadedError) as error:
            self._log.info("proposal_refused", reason=str(error))
            done(False)
            return
        self._proposals[index] = _Proposal(self._replica.term, done)
        self._schedule_processing()

    def step(self, message: object) -> None:
        """Process a message from another replica."""
        if self._replica is not None:
            self._replica.step(boot_time(), message)
            self._schedule_processing()
        else:
            self._heard_leader.record(boot_time(), message, self._failed_term)

    def join(self, request: JoinRequest) -> bool:
        """Record a join request; return False if this replica does not lead."""
        if not self.is_active():
            return False
        self._membership_manager.join(request)
        return True

    def learn(self, redirect: Redirect) -> None:
        """Record the controller addresses from the redirect of a non-leader."""
        self._membership_manager.learn(redirect)

    # Storage.

    def _open(self) -> None:
        try:
            self._storage, recovered = open_log_folder(
                self._settings, CONSENSUS.keep_entries
            )
        except StorageError as error:
            self._retry_later(error)
            return
        self._restore_state(recovered)
        self._replica = Replica(CONSENSUS, recovered, random.Random(), boot_time())
        self._disk_failures.on_opened()
        self._log.info(
            "replica_started",
            replica=recovered.identity,
            term=recovered.hard_state.term,
            entries=len(recovered.entries),
            founds=is_founder(self._settings),
        )
        self._on_applied()

    def _restore_state(self, recovered: Recovered) -> None:
        # The entries after the snapshot are applied again, to the state before them.
        snapshot = recovered.snapshot
        has_data = snapshot is not None and bool(snapshot.data)
        self._state.restore(snapshot.data if has_data else FleetState().snapshot())

    def _reopen(self) -> None:
        if not self._is_closed:
            self._open()

    def _on_disk_failure(self, error: StorageError) -> None:
        """Drop the replica, so that it neither leads, votes nor acknowledges."""
        replica, self._replica = self._replica, None
        self._failed_term = replica.term
        self._storage.close()
        self._retry_later(error)
        self._fail_proposals()
        self._on_disk_failed()
        request = replica.resign(boot_time())
        if request is not None:
            self._log.warning("gives_way", to=request.replica, term=replica.term)
            self._send(request.address, request.message)

    def _retry_later(self, error: StorageError) -> None:
        self._disk_failures.on_error(error)
        self._loop.call_later(REOPEN_DELAY_S, self._reopen)

    # Processing of the replica's output.

    def _schedule_processing(self) -> None:
        if not self._is_processing_scheduled:
            self._is_processing_scheduled = True
            self._loop.call_soon(self._process_ready)

    def _process_ready(self) -> None:
        self._is_processing_scheduled = False
        has_state_changed = False
        while self._replica is not None:
            ready = self._replica.ready()
            if ready.is_empty:
                self._replica.advance(ready)
                break
            try:
                self._storage.save(ready)
            except StorageError as error:
                self._on_disk_failure(error)
                return
            if ready.snapshot is not None:
                self._state.restore(ready.snapshot.data)
                has_state_changed = True
            for outgoing in ready.messages:
                if outgoing.address:
                    self._send(outgoing.address, outgoing.message)
            for entry in ready.committed:
                has_state_changed |= self._apply(entry)
            self._replica.advance(ready)
        if has_state_changed:
            self._compact()
            self._on_applied()

    def _apply(self, entry: Entry) -> bool:
        is_command = entry.kind is EntryKind.COMMAND
        if is_command:
            self._state.apply(entry.payload)
        proposal = self._proposals.pop(entry.index, None)
        if proposal is not None:
            proposal.done(proposal.term == entry.term)
        return is_command

    def _compact(self) -> None:
        replica = self._replica
        if replica is None or not replica.is_snapshot_due:
            return
        snapshot = replica.build_snapshot(self._state.snapshot())
        try:
            self._storage.save_snapshot(snapshot)
        except StorageError as error:
            self._on_disk_failure(error)
            return
        replica.compact(snapshot)
        self._log.info("snapshot_saved", index=snapshot.last_index)

    def _tick(self) -> None:
        replica = self._replica
        if replica is None or self._is_closed or self._is_leaving:
            return
        replica.tick(boot_time())
        self._schedule_processing()
        if replica.leader:
            self._membership_manager.heard_leader()
        if replica.leader != self._logged_leader:
            self._logged_leader = replica.leader
            self._log.info(
                "leader_changed", leader=replica.leader or "none", term=replica.term
            )
        if self._proposals and not replica.is_leader:
            self._fail_proposals()

    def _fail_proposals(self) -> None:
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.done(False)

    def _check_members(self) -> None:
        if self._replica is None or self._is_closed or self._is_leaving:
            return
        if not self.is_active():
            self._membership_manager.ask_to_join(self._replica)
        elif self._membership_manager.change_members(self._replica):
            self._schedule_processing()
