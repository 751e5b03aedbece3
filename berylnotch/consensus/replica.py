"""One replica of the log as a pure state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from berylnotch.consensus import election, following
from berylnotch.consensus.core import Core, State
from berylnotch.consensus.election import Election
from berylnotch.consensus.errors import MembershipError, NotLeaderError
from berylnotch.consensus.leading import Leader
from berylnotch.consensus.members import voters
from berylnotch.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from berylnotch.consensus.state import Ready, Snapshot
from berylnotch.errors import ConsensusError

if TYPE_CHECKING:
    import random

    from berylnotch.consensus.messages import Members
    from berylnotch.consensus.progress import Progress
    from berylnotch.consensus.settings import ConsensusSettings
    from berylnotch.consensus.state import Recovered


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
        self._election = Election(self._core)
        self._receiver = following.SnapshotReceiver(self._core)
        self._leader: Leader | None = None
        self._taken: Ready | None = None

    @property
    def identity(self) -> str:
        """Replica id, ``name/hex``."""
        return self._core.identity

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
        return core.applied - start >= core.settings.snapshot_every_entries

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
        self._check_lease(now)
        if self._leader is not None:
            self._leader.tick(now)
        elif now >= self._core.election_at:
            self._start_pre_vote(now)

    def step(self, now: float, message: Any) -> None:
        """Take a message of another replica; one for someone else is dropped."""
        self._check_lease(now)
        if isinstance(message, VoteRequest | AppendRequest | SnapshotRequest):
            if message.replica != self.identity:
                return
        if isinstance(message, VoteRequest):
            self._step_vote_request(now, message)
        elif isinstance(message, VoteReply):
            self._step_vote_reply(now, message)
        elif isinstance(message, AppendRequest | SnapshotRequest):
            self._step_leader(now, message)
        elif isinstance(message, AppendReply | SnapshotReply):
            self._step_follower(now, message)
        elif isinstance(message, TimeoutNow):
            self._step_timeout_now(now, message)

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
        leader = self._require_leader(now)
        successor = leader.successor()
        if successor:
            core = self._core
            core.send(successor, TimeoutNow(core.term, core.identity))
            self._become_follower(now, core.term, "")
        return bool(successor)

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
        if ready.committed:
            core.applied = max(core.applied, ready.committed[-1].index)
        if ready.hard_state is not None and ready.hard_state == core.hard_state:
            self._election.own_vote_saved()
            self._check_won(core.now)
        if self._leader is not None:
            self._leader.update_commit()
            self._leave_if_removed()

    def build_snapshot(self, data: bytes) -> Snapshot:
        """Return a snapshot of the state after the entry `applied`."""
        log, index = self._core.log, self._core.applied
        return Snapshot(index, log.term_at(index) or 0, log.members_at(index), data)

    def compact(self, snapshot: Snapshot) -> None:
        """Drop entries that a saved snapshot holds."""
        if self._core.log.base_index < snapshot.last_index <= self._core.applied:
            self._core.log.compact(snapshot, self._core.settings.keep_entries)

    def _require_leader(self, now: float) -> Leader:
        self._check_lease(now)
        if self._leader is None:
            raise NotLeaderError(self.leader_address)
        return self._leader

    def _check_lease(self, now: float) -> None:
        self._core.now = now
        if self._leader is not None and self._leader.is_expired(now):
            self._become_follower(now, self.term, "")

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        core = self._core
        if term > core.term:
            core.set_hard_state(term, "")
        if self._leader is not None:
            core.restart_election_timer(now)
        self._leader = None
        core.state = State.FOLLOWER
        core.leader = leader
        core.leader_address = ""

    def _start_pre_vote(self, now: float) -> None:
        core = self._core
        core.leader = ""
        core.restart_election_timer(now)
        if not core.is_voter:
            return
        self._election.start_pre_vote(now)
        self._check_won(now)

    def _check_won(self, now: float) -> None:
        core = self._core
        if not self._election.is_won:
            return
        if core.state is State.PRE_CANDIDATE:
            self._election.start_vote(now)
        elif core.state is State.CANDIDATE:
            core.state = State.LEADER
            core.leader = core.identity
            self._leader = Leader(core, now)

    def _step_vote_request(self, now: float, request: VoteRequest) -> None:
        core = self._core
        if request.pre:
            reply = election.answer_pre_vote(core, now, request)
            if self._leader is not None:
                reply = VoteReply(core.term, core.identity, False, pre=True)
            core.send(request.candidate, reply, request.address)
            return
        is_held = core.hears_leader(now) or self._leader is not None
        if is_held and not request.transfer:
            reply = VoteReply(core.term, core.identity, False)
        else:
            if request.term > core.term:
                self._become_follower(now, request.term, "")
            reply = election.answer_vote(core, now, request)
        core.send(request.candidate, reply, request.address)

    def _step_vote_reply(self, now: float, reply: VoteReply) -> None:
        if reply.term > self.term and not (reply.pre and reply.granted):
            self._become_follower(now, reply.term, "")
            return
        self._election.receive(reply)
        self._check_won(now)

    def _step_leader(
        self, now: float, request: AppendRequest | SnapshotRequest
    ) -> None:
        core = self._core
        if request.term < core.term:
            reply = AppendReply(core.term, core.identity, False, 0, request.round)
            core.send(request.leader, reply, request.address)
            return
        self._become_follower(now, request.term, request.leader)
        core.leader_address = request.address
        core.heard_at = now
        core.restart_election_timer(now)
        if isinstance(request, AppendRequest):
            reply = following.append(core, request)
        else:
            reply = self._receiver.receive(request)
        core.send(request.leader, reply, request.address)

    def _step_follower(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        if reply.term > self.term:
            self._become_follower(now, reply.term, "")
            return
        if self._leader is None or reply.term < self.term:
            return
        if isinstance(reply, AppendReply):
            self._leader.receive_append(now, reply)
        else:
            self._leader.receive_snapshot(now, reply)
        self._leader.update_commit()
        self._leave_if_removed()

    def _step_timeout_now(self, now: float, message: TimeoutNow) -> None:
        core = self._core
        if message.term == core.term and core.is_voter and self._leader is None:
            self._election.start_vote(now, transfer=True)

    def _leave_if_removed(self) -> None:
        core, leader = self._core, self._leader
        if leader is None or core.log.members_index > core.commit:
            return
        if core.is_voter:
            return
        leader.send_commit()
        successor = leader.successor()
        if successor:
            core.send(successor, TimeoutNow(core.term, core.identity))
        self._become_follower(core.now, core.term, "")
