"""Runs a replica of the fleet's log: disk, messages, founding, joining."""

from __future__ import annotations

import random
from collections.abc import Callable
from pathlib import Path

from attrs import frozen

from berylnotch.consensus.bootstrap import bootstrap, first_ready
from berylnotch.consensus.errors import NotLeaderError, OverloadedError
from berylnotch.consensus.messages import Entry, EntryKind, Member, Members
from berylnotch.consensus.replica import Replica
from berylnotch.consensus.settings import ConsensusSettings
from berylnotch.consensus.storage import LogStorage
from berylnotch.daemon.fleet.group_keeper import GroupKeeper
from berylnotch.errors import ConsensusError, StorageError
from berylnotch.group.messages import JoinRequest, Redirect
from berylnotch.group.state import FleetState
from berylnotch.settings.fleet import FleetSettings
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Pause between two looks at the replica's clock, in seconds: half a heartbeat.
TICK_S = 0.05

#: Pause between two looks at the group's members, in seconds.
MEMBERS_S = 0.2

#: Pause before a folder whose disk failed is opened again, in seconds.
REOPEN_S = 0.5

#: Suffix of the replica id of a controller that founds the group.
FOUNDER = "first"

#: Gets whether a command was committed under the term in which it was proposed.
Committed = Callable[[bool], None]

#: Sizes for a state of a few hundred KB on a disk of about 100 MB, and a failover
#: in about a second, which bounds how long no grant or order is given.
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
    """A command that waits for its commit."""

    term: int
    done: Committed


class ReplicaHost:
    """One controller's replica, its folder and its part in the group.

    Parameters
    ----------
    settings : FleetSettings
        Settings of the process.
    seeds : callable
        Returns the addresses of controllers to ask first.
    loop : Loop
        Loop in which everything runs.
    send : callable
        Sends a message to an address.
    state : FleetState
        Gets the committed commands.
    log : EventLog
        Log of the process.
    on_applied : callable
        Called after commands were applied.
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
    ) -> None:
        self._settings = settings
        self._keeper = GroupKeeper(settings, seeds, send, log)
        self._loop = loop
        self._send = send
        self._state = state
        self._log = log
        self._on_applied = on_applied
        self._storage: LogStorage | None = None
        self._replica: Replica | None = None
        self._is_pump_due = False
        self._is_closed = False
        self._proposals: dict[int, _Proposal] = {}
        self._noted_leader = ""

    @property
    def address(self) -> str:
        """Address of this controller's links."""
        return str(self._settings.internal)

    @property
    def term(self) -> int:
        """Newest term seen."""
        return self._replica.term if self._replica is not None else 0

    @property
    def leader_address(self) -> str:
        """Address of the leader's links, or empty if unknown."""
        return self._replica.leader_address if self._replica is not None else ""

    @property
    def known_addresses(self) -> tuple[str, ...]:
        """Addresses of all controllers that this one has heard of."""
        return self._keeper.known_addresses(self._replica)

    @property
    def voter_count(self) -> int:
        """Members of the group."""
        return len(self._replica.members.members) if self._replica else 0

    def is_active(self) -> bool:
        """Whether this replica may act as the only leader, by a fresh clock."""
        return self._replica is not None and self._replica.has_lease(boot_time())

    def lease_age_s(self) -> float | None:
        """Return the age of the lease in seconds, None if this is no leader."""
        if self._replica is None or not self._replica.is_leader:
            return None
        return self._replica.lease_age_s(boot_time())

    def start(self) -> None:
        """Open the folder and take part."""
        self._open()
        self._loop.call_every(TICK_S, self._tick)
        self._loop.call_every(MEMBERS_S, self._look_at_members)

    def close(self) -> None:
        """Hand leadership on and close the folder."""
        self._is_closed = True
        replica = self._replica
        if replica is not None and replica.is_leader:
            try:
                replica.transfer(boot_time())
                self._pump()
            except ConsensusError as error:
                self._log.info("transfer_failed", reason=str(error))
        self._replica = None
        if self._storage is not None:
            self._storage.close()

    def propose(self, command: bytes, done: Committed) -> None:
        """Commit a command; ``done`` hears of it, or that it failed at once."""
        try:
            if self._replica is None:
                raise NotLeaderError
            index = self._replica.propose(boot_time(), command)
        except (NotLeaderError, OverloadedError) as error:
            self._log.info("proposal_refused", reason=str(error))
            done(False)
            return
        self._proposals[index] = _Proposal(self._replica.term, done)
        self._pump_soon()

    def step(self, message: object) -> None:
        """Take a message of another replica."""
        if self._replica is not None:
            self._replica.step(boot_time(), message)
            self._pump_soon()

    def join(self, request: JoinRequest) -> bool:
        """Note a request to join; return whether this replica can serve it."""
        if not self.is_active():
            return False
        self._keeper.join(request)
        return True

    def learn(self, redirect: Redirect) -> None:
        """Take addresses of controllers from one that does not lead."""
        self._keeper.learn(redirect)

    # Disk.

    def _open(self) -> None:
        folder = self._settings.data / "log"
        founders = self._settings.seed_links
        founds = self._settings.founds_group and self.address in founders
        identity = f"{self.address}/{FOUNDER}" if founds else ""
        storage = LogStorage(
            folder,
            self.address,
            CONSENSUS.keep_entries,
            first_identity=identity,
            checks_copy=False,
        )
        try:
            Path(folder).parent.mkdir(parents=True, exist_ok=True)
            recovered = storage.start()
            if founds and recovered.identity == identity and not recovered.entries:
                if recovered.snapshot is None:
                    recovered = bootstrap(recovered, _first_members(founders))
                    storage.save(first_ready(recovered))
        except (StorageError, OSError) as error:
            storage.close()
            self._log.error("disk_failed", reason=str(error))
            self._loop.call_later(REOPEN_S, self._reopen)
            return
        self._storage = storage
        if recovered.snapshot is not None and recovered.snapshot.data:
            self._state.restore(recovered.snapshot.data)
        self._replica = Replica(CONSENSUS, recovered, random.Random(), boot_time())
        self._log.info(
            "replica_started",
            replica=recovered.identity,
            term=recovered.hard_state.term,
            entries=len(recovered.entries),
            founds=founds,
        )
        self._on_applied()

    def _reopen(self) -> None:
        if not self._is_closed:
            self._open()

    def _fail_disk(self, error: StorageError) -> None:
        self._log.error("disk_failed", reason=str(error))
        self._replica = None
        self._storage.close()
        self._fail_proposals()
        self._loop.call_later(REOPEN_S, self._reopen)

    # Work of the replica.

    def _pump_soon(self) -> None:
        if not self._is_pump_due:
            self._is_pump_due = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        self._is_pump_due = False
        has_applied = False
        while self._replica is not None:
            ready = self._replica.ready()
            if ready.is_empty:
                self._replica.advance(ready)
                break
            try:
                self._storage.save(ready)
            except StorageError as error:
                self._fail_disk(error)
                return
            if ready.snapshot is not None:
                self._state.restore(ready.snapshot.data)
                has_applied = True
            for outgoing in ready.messages:
                if outgoing.address:
                    self._send(outgoing.address, outgoing.message)
            for entry in ready.committed:
                has_applied |= self._apply(entry)
            self._replica.advance(ready)
        if has_applied:
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
            self._fail_disk(error)
            return
        replica.compact(snapshot)
        self._log.info("snapshot_saved", index=snapshot.last_index)

    def _tick(self) -> None:
        replica = self._replica
        if replica is None or self._is_closed:
            return
        replica.tick(boot_time())
        self._pump_soon()
        if replica.leader:
            self._keeper.heard_leader()
        if replica.leader != self._noted_leader:
            self._noted_leader = replica.leader
            self._log.info(
                "leader_changed", leader=replica.leader or "none", term=replica.term
            )
        if self._proposals and not replica.is_leader:
            self._fail_proposals()

    def _fail_proposals(self) -> None:
        proposals, self._proposals = self._proposals, {}
        for proposal in proposals.values():
            proposal.done(False)

    def _look_at_members(self) -> None:
        if self._replica is None or self._is_closed:
            return
        if not self.is_active():
            self._keeper.ask_to_join(self._replica)
        elif self._keeper.change_members(self._replica):
            self._pump_soon()


def _first_members(addresses: tuple[str, ...]) -> Members:
    return Members(
        tuple(
            Member(address, f"{address}/{FOUNDER}", address)
            for address in sorted(addresses)
        )
    )
