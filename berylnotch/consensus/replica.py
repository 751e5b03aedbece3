"""One replica of the log as a pure state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from berylnotch.consensus.core import Core
from berylnotch.consensus.errors import MembershipError, NotLeaderError
from berylnotch.consensus.members import voters
from berylnotch.consensus.roles import Roles
from berylnotch.consensus.state import Ready, Recovered, Snapshot
from berylnotch.errors import ConsensusError

if TYPE_CHECKING:
    import random

    from berylnotch.consensus.leading import Leader
    from berylnotch.consensus.messages import Members
    from berylnotch.consensus.progress import Progress
    from berylnotch.consensus.settings import ConsensusSettings


class Replica:
    """A replica that elects, replicates and commits by majority.

    It owns no clock, socket, thread or file. After each `step`, `tick` or
    proposal the shell takes `ready`, saves, sends, applies, and calls
    `advance`. Any ``now`` must be read after the message was received.

    Parameters
    ----------
    settings : ConsensusSettings
        Timing and sizes.
    recovered : Recovered
        What the data folder held.
    rng : random.Random
        Source of the election timeouts.
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
        self._roles = Roles(self._core)
        self._taken: Ready | None = None
        #: Payload bytes applied since the last snapshot.
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
        """What a restart would find once all work is saved."""
        core = self._core
        first, last = core.log.base_index + 1, core.log.last_index
        entries = core.log.between(first, last)
        return Recovered(core.identity, core.hard_state, core.log.snapshot, entries)

    @property
    def term(self) -> int:
        """Newest term seen."""
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
        """Whether this replica leads; to act, `has_lease` must hold as well."""
        return self._leader is not None

    @property
    def commit(self) -> int:
        """Index of the last entry known to be committed."""
        return self._core.commit

    @property
    def applied(self) -> int:
        """Index of the last entry that `advance` reported as applied."""
        return self._core.applied

    @property
    def members(self) -> Members:
        """Newest membership in the log, committed or not."""
        return self._core.members

    @property
    def members_index(self) -> int:
        """Index of the entry that holds `members`; in force for good if committed."""
        return self._core.log.members_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._core.log.last_index

    @property
    def progress(self) -> dict[str, Progress]:
        """On the leader, what is known of each other member, by replica id."""
        return self._leader.progress if self._leader else {}

    @property
    def is_snapshot_due(self) -> bool:
        """Whether enough was applied since the last snapshot."""
        core = self._core
        start = core.log.snapshot.last_index if core.log.snapshot else 0
        if core.applied - start >= core.settings.snapshot_every_entries:
            return True
        return self._applied_bytes >= core.settings.snapshot_every_bytes

    def has_lease(self, now: float) -> bool:
        """Whether this replica may act as the only leader at ``now``.

        It must be asked with a fresh clock after every blocking step. It is
        false until the leader committed an entry of its own term.
        """
        return self._leader is not None and self._leader.has_lease(now)

    def lease_age_s(self, now: float) -> float:
        """Return seconds since the newest round was sent that a majority answered.

        Infinite on a replica that does not lead.
        """
        if self._leader is None:
            return float("inf")
        return now - self._leader.majority_sent_at(now)

    def tick(self, now: float) -> None:
        """Start what is due: a heartbeat round or an election."""
        self._roles.tick(now)

    def step(self, now: float, message: Any) -> None:
        """Take a message of another replica; one for someone else is dropped."""
        self._roles.step(now, message)

    def propose(self, now: float, payload: bytes) -> int:
        """Append a command and return its index.

        It took effect only if an entry with this index and the present term
        comes back as committed.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        OverloadedError
            If too many proposals wait for a majority.
        PayloadError
            If the payload is too large.
        """
        return self._require_leader(now).propose(payload)

    def propose_members(self, now: float, members: Members) -> int:
        """Append a membership change and return its index.

        Raises
        ------
        NotLeaderError
            If this replica does not lead.
        MembershipError
            If the change is not allowed, or not yet.
        """
        leader = self._require_leader(now)
        promoted = voters(members) - voters(self.members)
        for replica in sorted(promoted):
            if not self.is_caught_up(now, replica):
                raise MembershipError(f"{replica} has not caught up")
        return leader.propose_members(members)

    def is_caught_up(self, now: float, replica: str) -> bool:
        """Whether a member lags by one append request at most, and answers."""
        progress = self.progress.get(replica)
        if progress is None or not progress.match:
            return False
        # A voter that does not answer would cost the leader its lease.
        if now - progress.acked_at >= self._core.settings.lease_s:
            return False
        lag = self._core.commit - progress.match
        return lag <= self._core.settings.max_append_entries

    def transfer(self, now: float) -> bool:
        """Hand leadership to the replica that follows most closely.

        This replica stops leading at once, so its lease ends before the other
        stands for election.

        Returns
        -------
        bool
            Whether there was one.
        """
        self._require_leader(now)
        return self._roles.transfer(now)

    def ready(self) -> Ready:
        """Return the work that is due; `advance` must follow.

        Raises
        ------
        ConsensusError
            If the previous work was not yet reported by `advance`.
        """
        if self._taken is not None:
            raise ConsensusError("advance() was not called for the last ready()")
        core = self._core
        if self._leader is not None:
            self._leader.send_entries()
        start = core.applied
        if core.installed is not None:
            start = core.installed.last_index
        self._taken = Ready(
            hard_state=None if core.is_hard_state_saved else core.hard_state,
            truncate_from=core.log.truncated_from,
            entries=core.log.unsaved(),
            snapshot=core.installed,
            messages=core.take_outbox(),
            committed=core.log.between(start + 1, core.commit),
        )
        core.is_hard_state_saved = True
        core.installed = None
        core.log.clear_truncated()
        return self._taken

    def advance(self, ready: Ready) -> None:
        """Note that everything in ``ready`` is saved, sent and applied."""
        core = self._core
        self._taken = None
        core.log.mark_saved(ready.entries)
        if ready.snapshot is not None:
            core.applied = max(core.applied, ready.snapshot.last_index)
            self._applied_bytes = 0
        if ready.committed:
            core.applied = max(core.applied, ready.committed[-1].index)
            self._applied_bytes += sum(len(e.payload) for e in ready.committed)
        if ready.hard_state is not None and ready.hard_state == core.hard_state:
            self._roles.own_vote_saved()
        if self._leader is not None:
            self._leader.update_commit()
            self._roles.leave_if_removed()

    def build_snapshot(self, data: bytes) -> Snapshot:
        """Return a snapshot of the state after the entry `applied`."""
        log, index = self._core.log, self._core.applied
        return Snapshot(index, log.term_at(index) or 0, log.members_at(index), data)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop entries that a saved snapshot holds."""
        if self._core.log.base_index < snapshot.last_index <= self._core.applied:
            self._core.log.compact(snapshot, self._core.settings.keep_entries)
            self._applied_bytes = 0

    def _require_leader(self, now: float) -> Leader:
        self._roles.check_lease(now)
        if self._leader is None:
            raise NotLeaderError(self.leader_address)
        return self._leader
