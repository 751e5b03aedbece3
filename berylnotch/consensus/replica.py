"""Replica of the log as a state machine that does no I/O and reads no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from berylnotch.consensus.core import Core
from berylnotch.consensus.errors import MembershipError, NotLeaderError
from berylnotch.consensus.members import voter_ids
from berylnotch.consensus.roles import RoleTransitions
from berylnotch.consensus.state import Outgoing, Ready, Recovered, Snapshot
from berylnotch.errors import ConsensusError

if TYPE_CHECKING:
    import random

    from berylnotch.consensus.leading import Leader
    from berylnotch.consensus.messages import Members
    from berylnotch.consensus.progress import Progress
    from berylnotch.consensus.settings import ConsensusSettings


class Replica:
    """Replica that elects leaders, replicates entries and commits them by majority.

    It has no clock, socket, thread or file of its own. After each `step`, `tick` or
    proposal, the embedding program calls `ready`, saves, sends and applies the
    returned work, and then calls `advance`. Each ``now`` must be read after the message
    concerned was received.

    Parameters
    ----------
    settings : ConsensusSettings
        Timing and size limits.
    recovered : Recovered
        Contents of the data folder at start.
    rng : random.Random
        Source of the randomised election timeouts.
    now : float
        Monotonic seconds.
    """

    def __init__(
        self,
        settings: ConsensusSettings,
        recovered: Recovered,
        rng: random.Random,
        now: float,
    ) -> None:
        self._core = Core(settings, recovered, rng, now)
        self._roles = RoleTransitions(self._core)
        self._pending_ready: Ready | None = None
        #: Payload bytes of the entries applied since the last snapshot.
        self._applied_bytes = 0

    @property
    def _leader(self) -> Leader | None:
        return self._roles.leader

    @property
    def identity(self) -> str:
        """Replica id, ``name/hex``."""
        return self._core.identity

    @property
    def recovered(self) -> Recovered:
        """State that a restart would recover once all pending work is saved."""
        core = self._core
        first, last = core.log.base_index + 1, core.log.last_index
        entries = core.log.entries_between(first, last)
        return Recovered(core.identity, core.hard_state, core.log.snapshot, entries)

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self._core.term

    @property
    def leader(self) -> str:
        """Replica id of the leader, or empty if unknown."""
        return self._core.leader

    @property
    def leader_address(self) -> str:
        """Address of the leader, or empty if unknown."""
        core = self._core
        return core.address_of(core.leader) or core.leader_address

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader; acting as leader also needs a lease."""
        return self._leader is not None

    @property
    def commit(self) -> int:
        """Index of the last entry known to be committed."""
        return self._core.commit_index

    @property
    def applied(self) -> int:
        """Index of the last entry that `advance` reported as applied."""
        return self._core.applied_index

    @property
    def members(self) -> Members:
        """Newest membership in the log, committed or not."""
        return self._core.members

    @property
    def members_index(self) -> int:
        """Index of the entry that holds `members`; they are final once committed."""
        return self._core.log.members_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._core.log.last_index

    @property
    def progress(self) -> dict[str, Progress]:
        """Replication progress of each other member by id; empty on non-leaders."""
        return self._leader.progress if self._leader else {}

    @property
    def is_snapshot_due(self) -> bool:
        """Whether enough entries or bytes were applied since the last snapshot."""
        core = self._core
        snapshot_index = core.log.snapshot.last_index if core.log.snapshot else 0
        if core.applied_index - snapshot_index >= core.settings.snapshot_every_entries:
            return True
        return self._applied_bytes >= core.settings.snapshot_every_bytes

    def has_lease(self, now: float) -> bool:
        """Whether this replica may act as the only leader at ``now``.

        This method must be called again, with a newly read clock, after every blocking
        operation. The result is false until an entry of the leader's own term is
        committed and `advance` reported it as applied. Until then the state may lack
        commands that earlier leaders acknowledged.
        """
        return self._leader is not None and self._leader.has_lease(now)

    def lease_age_s(self, now: float) -> float:
        """Return the age in seconds of the newest round that a majority answered.

        The age counts from when the round was sent. It is infinite on a replica that
        is not the leader.
        """
        if self._leader is None:
            return float("inf")
        return now - self._leader.lease_started_at(now)

    def tick(self, now: float) -> None:
        """Start a heartbeat round or an election if one is due."""
        self._roles.tick(now)

    def step(self, now: float, message: Any) -> None:
        """Process a message from another replica, unless addressed to a third one."""
        self._roles.step(now, message)

    def propose(self, now: float, payload: bytes) -> int:
        """Append a command and return its index.

        The command takes effect only if an entry with this index and the current term
        is later returned as committed.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        OverloadedError
            If too many proposals are not yet committed.
        PayloadError
            If the payload is too large.
        """
        return self._require_leader(now).propose(payload)

    def propose_members(self, now: float, members: Members) -> int:
        """Append a membership change and return its index.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        MembershipError
            If the change is invalid, or is not allowed at this time.
        """
        leader = self._require_leader(now)
        promoted = voter_ids(members) - voter_ids(self.members)
        for replica in sorted(promoted):
            if not self.is_caught_up(now, replica):
                raise MembershipError(f"{replica} has not caught up")
        return leader.propose_members(members)

    def is_caught_up(self, now: float, replica: str) -> bool:
        """Whether a member answers and lags by at most one append request."""
        progress = self.progress.get(replica)
        if progress is None or not progress.match_index:
            return False
        # Promoting a learner that does not answer enlarges the quorum by a silent
        # voter, so the leader could lose its lease.
        if now - progress.acked_round_sent_at >= self._core.settings.lease_s:
            return False
        lag = self._core.commit_index - progress.match_index
        return lag <= self._core.settings.max_append_entries

    def transfer(self, now: float) -> str:
        """Transfer leadership to a voter that answers and was sent all entries.

        This replica steps down at once, so its lease ends before the other replica
        stands for election. A leader that was just elected has to wait for the first
        answers of the voters: call this method again until it succeeds.

        Returns
        -------
        str
            The voter; empty if there is none yet, and this replica still leads.

        Raises
        ------
        NotLeaderError
            If this replica is not the leader.
        """
        self._require_leader(now)
        return self._roles.transfer_leadership(now)

    def resign(self, now: float) -> Outgoing | None:
        """Step down as leader when nothing can be saved any more.

        Messages that rest on unsaved state are dropped, and the replica must not be
        used afterwards. The term of a leader is always saved.

        Returns
        -------
        Outgoing or None
            Request to the voter that is most likely to be elected to stand for
            election; None if this replica does not lead or is the only voter.
        """
        if self._leader is None:
            return None
        self._core.take_outbox()
        self._roles.resign(now)
        return next(iter(self._core.take_outbox()), None)

    def ready(self) -> Ready:
        """Return the pending work; `advance` must be called once it is done.

        Raises
        ------
        ConsensusError
            If `advance` was not yet called for the previous work.
        """
        if self._pending_ready is not None:
            raise ConsensusError("advance() was not called for the last ready()")
        core = self._core
        if self._leader is not None:
            self._leader.send_entries()
        applied_index = core.applied_index
        if core.installed_snapshot is not None:
            applied_index = core.installed_snapshot.last_index
        self._pending_ready = Ready(
            hard_state=None if core.is_hard_state_saved else core.hard_state,
            truncate_from=core.log.truncated_from,
            entries=core.log.unsaved_entries(),
            snapshot=core.installed_snapshot,
            messages=core.take_outbox(),
            committed=core.log.entries_between(applied_index + 1, core.commit_index),
        )
        core.is_hard_state_saved = True
        core.installed_snapshot = None
        core.log.clear_truncated()
        return self._pending_ready

    def advance(self, ready: Ready) -> None:
        """Record that everything in ``ready`` is saved, sent and applied."""
        core = self._core
        self._pending_ready = None
        core.log.mark_saved(ready.entries)
        if ready.snapshot is not None:
            core.applied_index = max(core.applied_index, ready.snapshot.last_index)
            self._applied_bytes = 0
        if ready.committed:
            core.applied_index = max(core.applied_index, ready.committed[-1].index)
            self._applied_bytes += sum(len(entry.payload) for entry in ready.committed)
        if ready.hard_state is not None and ready.hard_state == core.hard_state:
            self._roles.on_vote_saved()
        if self._leader is not None:
            self._leader.update_commit()
            self._roles.step_down_if_removed()

    def build_snapshot(self, data: bytes) -> Snapshot:
        """Return a snapshot with ``data``, the state after the entry at `applied`."""
        log, index = self._core.log, self._core.applied_index
        return Snapshot(index, log.term_at(index) or 0, log.members_at(index), data)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop entries that a saved snapshot covers, except the last `keep_entries`."""
        if self._core.log.base_index < snapshot.last_index <= self._core.applied_index:
            self._core.log.compact(snapshot, self._core.settings.keep_entries)
            self._applied_bytes = 0

    def _require_leader(self, now: float) -> Leader:
        self._roles.step_down_if_quorum_lost(now)
        if self._leader is None:
            raise NotLeaderError(self.leader_address)
        return self._leader
