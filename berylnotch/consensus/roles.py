"""Transitions between follower, candidate and leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from attrs import evolve

from berylnotch.consensus import election, following
from berylnotch.consensus.core import State
from berylnotch.consensus.election import Election
from berylnotch.consensus.leading import Leader
from berylnotch.consensus.messages import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
    TimeoutNow,
    VoteReply,
    VoteRequest,
)
from berylnotch.consensus.state import HardState

if TYPE_CHECKING:
    from berylnotch.consensus.core import Core


class Roles:
    """The role of a replica, and what messages do to it.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._election = Election(core)
        self._receiver = following.SnapshotReceiver(core)
        self._leader: Leader | None = None

    @property
    def leader(self) -> Leader | None:
        """The leader's state, or None if this replica does not lead."""
        return self._leader

    def check_lease(self, now: float) -> None:
        """Step down if no majority answered within the lease."""
        self._core.now = now
        if self._leader is not None and self._leader.is_expired(now):
            self._become_follower(now, self._core.term, "")

    def step(self, now: float, message: Any) -> None:
        """Take a message of another replica; one for someone else is dropped."""
        self.check_lease(now)
        if isinstance(message, VoteRequest | AppendRequest | SnapshotRequest):
            if message.replica != self._core.identity:
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

    def tick(self, now: float) -> None:
        """Start what is due: a heartbeat round or an election."""
        self.check_lease(now)
        if self._leader is not None:
            self._leader.tick(now)
        elif now >= self._core.election_at:
            self._start_pre_vote(now)

    def own_vote_saved(self) -> None:
        """Count the own vote, which is durable now."""
        self._election.own_vote_saved()
        self._check_won(self._core.now)

    def transfer(self, now: float) -> bool:
        """Step down in favour of the closest follower; return whether there is one."""
        core = self._core
        successor = self._leader.successor()
        if successor:
            core.send(successor, TimeoutNow(core.term, core.identity))
            self._become_follower(now, core.term, "")
        return bool(successor)

    def leave_if_removed(self) -> None:
        """Step down once the own removal is committed."""
        core, leader = self._core, self._leader
        if leader is None or core.log.members_index > core.commit:
            return
        if core.is_voter:
            return
        leader.send_commit()
        self.transfer(core.now)
        self._become_follower(core.now, core.term, "")

    def _become_follower(self, now: float, term: int, leader: str) -> None:
        core = self._core
        if term > core.term:
            core.set_hard_state(HardState(term))
        if self._leader is not None:
            core.restart_election_timer(now)
        self._leader = None
        core.state = State.FOLLOWER
        core.leader = leader
        core.leader_address = ""

    def _start_pre_vote(self, now: float) -> None:
        core = self._core
        core.leader = ""
        core.restart_resume_timer(now)
        if not core.is_voter:
            return
        self._election.start_pre_vote(now)
        self._check_won(now)

    def _check_won(self, now: float) -> None:
        core = self._core
        if core.state is State.PRE_CANDIDATE and self._election.may_resume:
            self._election.start_vote(now, transfer=True)
            return
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
        if reply.term > self._core.term and not (reply.pre and reply.granted):
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
        if core.hard_state.followed != request.leader:
            core.set_hard_state(evolve(core.hard_state, followed=request.leader))
        if isinstance(request, AppendRequest):
            reply = following.append(core, request)
        else:
            reply = self._receiver.receive(request)
        core.send(request.leader, reply, request.address)

    def _step_follower(self, now: float, reply: AppendReply | SnapshotReply) -> None:
        if reply.term > self._core.term:
            self._become_follower(now, reply.term, "")
            return
        if self._leader is None or reply.term < self._core.term:
            return
        if isinstance(reply, AppendReply):
            self._leader.receive_append(now, reply)
        else:
            self._leader.receive_snapshot(now, reply)
        self._leader.update_commit()
        self.leave_if_removed()

    def _step_timeout_now(self, now: float, message: TimeoutNow) -> None:
        core = self._core
        if message.term == core.term and core.is_voter and self._leader is None:
            self._election.start_vote(now, transfer=True)
