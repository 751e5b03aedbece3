"""Replica state that is shared by followers, candidates and leaders."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from berylnotch.consensus.log import Log
from berylnotch.consensus.members import find_member, voter_ids
from berylnotch.consensus.state import HardState, Outgoing

if TYPE_CHECKING:
    import random

    from berylnotch.consensus.messages import Members
    from berylnotch.consensus.settings import ConsensusSettings
    from berylnotch.consensus.state import Recovered, Snapshot


class State(Enum):
    """Raft state of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Core:
    """Term, vote, log, timers and unsent messages of one replica.

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
        snapshot = recovered.snapshot
        self.settings = settings
        self.identity = recovered.identity
        self.hard_state = recovered.hard_state
        self.is_hard_state_saved = True
        self.log = Log(snapshot, recovered.entries)
        self.commit_index = snapshot.last_index if snapshot else 0
        self.applied_index = self.commit_index
        self.installed_snapshot: Snapshot | None = None
        self.state = State.FOLLOWER
        self.leader = ""
        self.leader_address = ""
        # The replica may have answered a heartbeat just before it restarted, and the
        # leader's lease may depend on that answer. The start therefore counts as
        # contact with a leader, and votes are refused for `election_min_s`.
        self.leader_contact_at = now
        self.election_deadline = now
        #: Time passed to the most recent call, in monotonic seconds.
        self.now = now
        self._rng = rng
        self._outbox: list[Outgoing] = []
        self.restart_election_timer(now)
        #: Time until which pre-votes are retried every `resume_retry_s`. A replica that
        #: may have been the leader before its restart can thus resume early.
        self._resume_deadline = now
        if self.hard_state.supports(self.identity):
            self._resume_deadline = self.election_deadline
            self.election_deadline = now

    @property
    def term(self) -> int:
        """Highest term seen."""
        return self.hard_state.term

    @property
    def members(self) -> Members:
        """Newest membership in the log, committed or not."""
        return self.log.members

    @property
    def is_voter(self) -> bool:
        """Whether this replica may stand for election.

        A replica whose removal is not yet committed may still stand. The log of that
        replica may be the only one that holds the removal. In that case the other
        replicas may be unable to elect a leader without the vote of that replica.
        """
        if self.identity in voter_ids(self.members):
            return True
        return self.identity in voter_ids(self.log.members_at(self.commit_index))

    def restart_election_timer(self, now: float) -> None:
        """Restart the election timer with a new random timeout."""
        min_s, max_s = self.settings.election_min_s, self.settings.election_max_s
        self.election_deadline = now + self._rng.uniform(min_s, max_s)

    def schedule_pre_vote(self, now: float) -> None:
        """Set the time of the next pre-vote.

        Until `_resume_deadline` the next pre-vote is due after `resume_retry_s` instead
        of an election timeout.
        """
        self.restart_election_timer(now)
        if now < self._resume_deadline:
            retry_at = now + self.settings.resume_retry_s
            self.election_deadline = min(retry_at, self._resume_deadline)

    def set_hard_state(self, hard_state: HardState) -> None:
        """Replace the hard state; save the new one before further messages are sent."""
        self.hard_state = hard_state
        self.is_hard_state_saved = False

    @property
    def address(self) -> str:
        """Own address in the newest membership, or empty if not a member."""
        return self.address_of(self.identity)

    def address_of(self, replica: str) -> str:
        """Return the address of a member, or empty if ``replica`` is not a member."""
        member = find_member(self.members, replica)
        return member.address if member else ""

    def send(self, replica: str, message: Any, address: str = "") -> None:
        """Queue a message; ``address`` is used if ``replica`` is not a known member."""
        address = self.address_of(replica) or address
        self._outbox.append(Outgoing(replica, address, message))

    def take_outbox(self) -> tuple[Outgoing, ...]:
        """Return the queued messages and clear the queue."""
        messages = tuple(self._outbox)
        self._outbox.clear()
        return messages

    def has_leader_contact(self, now: float) -> bool:
        """Whether a leader made contact within the shortest election timeout."""
        return now - self.leader_contact_at < self.settings.election_min_s

    def advance_commit(self, index: int) -> None:
        """Raise the commit index to ``index``, at most to the last index of the log."""
        self.commit_index = max(self.commit_index, min(index, self.log.last_index))
