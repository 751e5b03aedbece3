"""Leader election by pre-votes and votes, for candidates and for voters.

A voter that restarts refuses its vote for ``election_min_s``, because it may have
renewed a leader's lease just before the restart. A former leader can resume without
this wait if a majority of voters is still in the leader's term and supports the
leader. In this case no other replica can have led that term, and all leases of older
terms had ended when the voters began to support the leader. The model in
`spec/resumption.py` checks this rule.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from berylnotch.consensus.core import State
from berylnotch.consensus.members import has_quorum, voter_ids
from berylnotch.consensus.messages import VoteReply, VoteRequest
from berylnotch.consensus.state import HardState

if TYPE_CHECKING:
    from berylnotch.consensus.core import Core


class Election:
    """Candidacy of one replica, from the pre-vote to the result of the election.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._votes: set[str] = set()
        #: Voters whose replies say that they support this replica in its current term.
        self._supporters: set[str] = set()
        #: Whether voters should ignore recent contact with a leader, because no other
        #: replica can hold a lease any longer.
        self._is_transfer = False

    @property
    def is_won(self) -> bool:
        """Whether a majority granted the current pre-vote or vote request."""
        return has_quorum(self._core.members, self._votes)

    @property
    def can_resume(self) -> bool:
        """Whether no other replica can hold a lease, so that no wait is needed."""
        return has_quorum(self._core.members, self._supporters)

    def start_pre_vote(self, now: float) -> None:
        """Ask voters if this replica would win an election, and keep the term."""
        core = self._core
        core.schedule_pre_vote(now)
        core.leader = ""
        core.state = State.PRE_CANDIDATE
        self._is_transfer = False
        self._votes = {core.identity}
        has_own_support = core.hard_state.supports(core.identity)
        self._supporters = {core.identity} if has_own_support else set()
        self._send_vote_requests(core.term + 1, is_pre_vote=True)

    def start_election(self, now: float, is_transfer: bool = False) -> None:
        """Request votes in a new term; this replica's own vote counts once saved."""
        core = self._core
        core.restart_election_timer(now)
        core.leader = ""
        core.state = State.CANDIDATE
        core.set_hard_state(HardState(core.term + 1, core.identity))
        self._is_transfer = is_transfer
        self._votes = set()
        self._send_vote_requests(core.term, is_pre_vote=False)

    def on_vote_saved(self) -> None:
        """Count this replica's own vote, because it is now durable."""
        core = self._core
        if core.state is State.CANDIDATE and core.hard_state.voted_for == core.identity:
            self._votes.add(core.identity)

    def record_vote_reply(self, reply: VoteReply) -> None:
        """Count a reply to the current pre-vote or vote request."""
        core = self._core
        is_pre_vote_by_state = {State.PRE_CANDIDATE: True, State.CANDIDATE: False}
        if is_pre_vote_by_state.get(core.state) is not reply.pre:
            return
        if reply.pre and self._supporters and reply.supported_term == core.term:
            self._supporters.add(reply.voter)
        if not reply.granted:
            return
        if reply.term == core.term + (1 if reply.pre else 0):
            self._votes.add(reply.voter)

    def _send_vote_requests(self, term: int, is_pre_vote: bool) -> None:
        core = self._core
        for replica in sorted(voter_ids(core.members) - {core.identity}):
            request = VoteRequest(
                term,
                core.identity,
                core.log.last_index,
                core.log.last_term,
                is_pre_vote,
                self._is_transfer,
                core.address,
                replica,
            )
            core.send(replica, request)


def is_up_to_date(core: Core, request: VoteRequest) -> bool:
    """Return whether the candidate's log holds all entries that may be committed."""
    own_end = (core.log.last_term, core.log.last_index)
    return (request.last_term, request.last_index) >= own_end


def answer_pre_vote(core: Core, now: float, request: VoteRequest) -> VoteReply:
    """Return the reply to a pre-vote request; no state changes."""
    granted = (
        request.term > core.term
        and is_up_to_date(core, request)
        and not core.has_leader_contact(now)
    )
    term = request.term if granted else core.term
    is_supported = core.hard_state.supports(request.candidate)
    supported_term = core.term if is_supported else 0
    return VoteReply(term, core.identity, granted, True, supported_term)


def answer_vote(core: Core, now: float, request: VoteRequest) -> VoteReply:
    """Return the reply to a vote request in this replica's term.

    A granted vote is part of the hard state, so it is saved before the reply is sent.
    """
    can_vote = core.hard_state.voted_for in ("", request.candidate)
    granted = request.term == core.term and can_vote and is_up_to_date(core, request)
    if granted:
        core.restart_election_timer(now)
        if not core.hard_state.voted_for:
            core.set_hard_state(evolve(core.hard_state, voted_for=request.candidate))
    return VoteReply(core.term, core.identity, granted)
