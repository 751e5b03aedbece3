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


class RoleTransitions:
    """Current role of a replica, and the transitions that messages and timers cause.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._election = Election(core)
        self._snapshot_receiver = following.SnapshotReceiver(core)
        self._leader: Leader | None = None
        #: Replica that last transferred leadership to this one, empty if none did.
        self._previous_leader = ""

    @property
    def leader(self) -> Leader | None:
        """Leader state, or None if this replica is not the leader."""
        return self._leader

    def step_down_if_quorum_lost(self, now: float) -> None:
        """Step down as leader if no majority answered within the lease time."""
        self._core.now = now
        if self._leader is not None and self._leader.has_lost_quorum(now):
            self._become_follower(now, self._core.term, "")

    def step(self, now: float, message: Any) -> None:
        """Process a message from another replica, unless addressed to a third one."""
        self.step_down_if_quorum_lost(now)
        if isinstance(message, VoteRequest | AppendRequest | SnapshotRequest):
            if message.replica != self._core.identity:
                return
        if isinstance(message, VoteRequest):
            self._on_vote_request(now, message)
        elif isinstance(message, VoteReply):
            self._on_vote_reply(now, message)
        elif isinstance(message, AppendRequest | SnapshotRequest):
            self._on_leader_request(now, message)
        elif isinstance(message, AppendReply | SnapshotReply):
            self._on_follower_reply(now, message)
        elif isinstance(message, TimeoutNow):
            self._on_timeout_now(now, message)

    def tick(self, now: float) -> None:
        """Start a heartbeat round or an election if one is due."""
        self.step_down_if_quorum_lost(now)
        if self._leader is not None:
            self._leader.tick(now)
        elif now >= self._core.election_deadline:
            self._start_pre_vote(now)

    def on_vote_saved(self) -> None:
        """Count this replica's own vote, because it is now durable."""
        self._election.on_vote_saved()
        self._advance_election(self._core.now)

    def transfer_leadership(self, now: float) -> str:
        """Step down and ask a voter that can take over to stand for election.

        Returns
        -------
        str
            The voter; empty if none can take over yet, and this replica still leads.
        """
        successor = self._leader.select_successor(now, self._previous_leader)
        if not successor or not self._leader.can_take_over(now, successor):
            return ""
        self._ask_to_stand(now, successor)
        return successor

    def resign(self, now: float) -> None:
        """Step down, and ask the voter that is most likely to win to stand."""
        successor = self._leader.select_successor(now, self._previous_leader)
        if successor:
            self._ask_to_stand(now, successor)

    def _ask_to_stand(self, now: float, successor: str) -> None:
        core = self._core
        core.send(successor, TimeoutNow(core.term, core.identity))
        self._become_follower(now, core.term, "")

    def step_down_if_removed(self) -> None:
        """Step down as leader once the removal of this replica is committed."""
        core, leader = self._core, self._leader
        if leader is None or core.log.members_index > core.commit_index:
            return
        if core.is_voter:
            return
        leader.broadcast_commit_index()
        self.resign(core.now)
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
        core.schedule_pre_vote(now)
        if not core.is_voter:
            return
        self._election.start_pre_vote(now)
        self._advance_election(now)

    def _advance_election(self, now: float) -> None:
        core = self._core
        if core.state is State.PRE_CANDIDATE and self._election.can_resume:
            self._election.start_election(now, is_transfer=True)
            return
        if not self._election.is_won:
            return
        if core.state is State.PRE_CANDIDATE:
            self._election.start_election(now)
        elif core.state is State.CANDIDATE:
            core.state = State.LEADER
            core.leader = core.identity
            self._leader = Leader(core, now)

    def _on_vote_request(self, now: float, request: VoteRequest) -> None:
        core = self._core
        if request.pre:
            reply = election.answer_pre_vote(core, now, request)
            if self._leader is not None:
                reply = VoteReply(core.term, core.identity, False, pre=True)
            core.send(request.candidate, reply, request.address)
            return
        has_current_leader = core.has_leader_contact(now) or self._leader is not None
        if has_current_leader and not request.transfer:
            reply = VoteReply(core.term, core.identity, False)
        else:
            if request.term > core.term:
                self._become_follower(now, request.term, "")
            reply = election.answer_vote(core, now, request)
        core.send(request.candidate, reply, request.address)

    def _on_vote_reply(self, now: float, reply: VoteReply) -> None:
        if reply.term > self._core.term and not (reply.pre and reply.granted):
            self._become_follower(now, reply.term, "")
            return
        self._election.record_vote_reply(reply)
        self._advance_election(now)

    def _on_leader_request(
        self, now: float, request: AppendRequest | SnapshotRequest
    ) -> None:
        core = self._core
        if request.term < core.term:
            reply = AppendReply(core.term, core.identity, False, 0, request.round)
            core.send(request.leader, reply, request.address)
            return
        self._become_follower(now, request.term, request.leader)
        core.leader_address = request.address
        core.leader_contact_at = now
        core.restart_election_timer(now)
        if core.hard_state.followed != request.leader:
            core.set_hard_state(evolve(core.hard_state, followed=request.leader))
        if isinstance(request, AppendRequest):
            reply = following.append_entries(core, request)
        else:
            reply = self._snapshot_receiver.receive_part(request)
        core.send(request.leader, reply, request.address)

    def _on_follower_reply(
        self, now: float, reply: AppendReply | SnapshotReply
    ) -> None:
        if reply.term > self._core.term:
            self._become_follower(now, reply.term, "")
            return
        if self._leader is None or reply.term < self._core.term:
            return
        if isinstance(reply, AppendReply):
            self._leader.on_append_reply(now, reply)
        else:
            self._leader.on_snapshot_reply(now, reply)
        self._leader.update_commit()
        self.step_down_if_removed()

    def _on_timeout_now(self, now: float, message: TimeoutNow) -> None:
        core = self._core
        if message.term == core.term and core.is_voter and self._leader is None:
            self._previous_leader = message.leader
            self._election.start_election(now, is_transfer=True)
