"""Pre-vote, vote and their counting.

A voter that restarts refuses its vote for a while, since it may have renewed a leader's
lease just before. A former leader need not wait for that: if a majority of voters are
still in its term and support it, no other replica can have led that term, and all older
leases had ended when they began to support it. `spec/resumption.py` checks this.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import evolve

from berylnotch.consensus.core import State
from berylnotch.consensus.members import has_quorum, voters
from berylnotch.consensus.messages import VoteReply, VoteRequest
from berylnotch.consensus.state import HardState

if TYPE_CHECKING:
    from berylnotch.consensus.core import Core


class Election:
    """One replica's candidature, from the pre-vote to its end.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self._granted: set[str] = set()
        #: Voters that support this replica in its term, by their replies.
        self._supporters: set[str] = set()
        self._transfer = False

    @property
    def is_won(self) -> bool:
        """Whether a majority granted what is asked at present."""
        return has_quorum(self._core.members, self._granted)

    @property
    def may_resume(self) -> bool:
        """Whether no lease of another replica can stand."""
        return has_quorum(self._core.members, self._supporters)

    def start_pre_vote(self, now: float) -> None:
        """Ask whether an election would be won, without a new term."""
        core = self._core
        core.restart_resume_timer(now)
        core.leader = ""
        core.state = State.PRE_CANDIDATE
        self._transfer = False
        self._granted = {core.identity}
        is_own = core.hard_state.supports(core.identity)
        self._supporters = {core.identity} if is_own else set()
        self._ask(core.term + 1, pre=True)

    def start_vote(self, now: float, transfer: bool = False) -> None:
        """Ask for votes in a new term; the own vote counts once it is saved."""
        core = self._core
        core.restart_election_timer(now)
        core.leader = ""
        core.state = State.CANDIDATE
        core.set_hard_state(HardState(core.term + 1, core.identity))
        self._transfer = transfer
        self._granted = set()
        self._ask(core.term, pre=False)

    def own_vote_saved(self) -> None:
        """Count the own vote."""
        core = self._core
        if core.state is State.CANDIDATE and core.hard_state.voted_for == core.identity:
            self._granted.add(core.identity)

    def receive(self, reply: VoteReply) -> None:
        """Count a reply to what is asked at present."""
        core = self._core
        asked = {State.PRE_CANDIDATE: True, State.CANDIDATE: False}
        if asked.get(core.state) is not reply.pre:
            return
        if reply.pre and self._supporters and reply.supported_term == core.term:
            self._supporters.add(reply.voter)
        if not reply.granted:
            return
        if reply.term == core.term + (1 if reply.pre else 0):
            self._granted.add(reply.voter)

    def _ask(self, term: int, pre: bool) -> None:
        core = self._core
        for replica in sorted(voters(core.members) - {core.identity}):
            request = VoteRequest(
                term,
                core.identity,
                core.log.last_index,
                core.log.last_term,
                pre,
                self._transfer,
                core.address,
                replica,
            )
            core.send(replica, request)


def is_up_to_date(core: Core, request: VoteRequest) -> bool:
    """Return whether the candidate's log holds all that may be committed."""
    own = (core.log.last_term, core.log.last_index)
    return (request.last_term, request.last_index) >= own


def answer_pre_vote(core: Core, now: float, request: VoteRequest) -> VoteReply:
    """Return the answer to a pre-vote; no state changes."""
    granted = (
        request.term > core.term
        and is_up_to_date(core, request)
        and not core.hears_leader(now)
    )
    term = request.term if granted else core.term
    is_supported = core.hard_state.supports(request.candidate)
    supported_term = core.term if is_supported else 0
    return VoteReply(term, core.identity, granted, True, supported_term)


def answer_vote(core: Core, now: float, request: VoteRequest) -> VoteReply:
    """Return the answer to a vote request of this replica's term.

    A granted vote is in the hard state, which is saved before the reply leaves.
    """
    free = core.hard_state.voted_for in ("", request.candidate)
    granted = request.term == core.term and free and is_up_to_date(core, request)
    if granted:
        core.restart_election_timer(now)
        if not core.hard_state.voted_for:
            core.set_hard_state(evolve(core.hard_state, voted_for=request.candidate))
    return VoteReply(core.term, core.identity, granted)
