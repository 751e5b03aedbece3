"""State of a replica that every role shares."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Any

from berylnotch.consensus.log import Log
from berylnotch.consensus.members import find, voters
from berylnotch.consensus.state import HardState, Outgoing

if TYPE_CHECKING:
    import random

    from berylnotch.consensus.messages import Members
    from berylnotch.consensus.settings import ConsensusSettings
    from berylnotch.consensus.state import Recovered, Snapshot


class State(Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Core:
    """Term, vote, log and timers of one replica, and its unsent messages.

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
        snapshot = recovered.snapshot
        self.settings = settings
        self.identity = recovered.identity
        self.hard_state = recovered.hard_state
        self.is_hard_state_saved = True
        self.log = Log(snapshot, recovered.entries)
        self.commit = snapshot.last_index if snapshot else 0
        self.applied = self.commit
        self.installed: Snapshot | None = None
        self.state = State.FOLLOWER
        self.leader = ""
        self.leader_address = ""
        # A replica that restarts may have answered a leader just before, and
        # the leader's lease rests on that answer: it counts as heard now.
        self.heard_at = now
        self.election_at = now
        #: Time of the newest call.
        self.now = now
        self._rng = rng
        self._outbox: list[Outgoing] = []
        self.restart_election_timer(now)
        #: Time until which it asks whether it can resume the leadership that it may
        #: have had before its restart.
        self._resume_until = now
        if self.hard_state.supports(self.identity):
            self._resume_until = self.election_at
            self.election_at = now

    @property
    def term(self) -> int:
        """Newest term seen."""
        return self.hard_state.term

    @property
    def members(self) -> Members:
        """Newest membership in the log."""
        return self.log.members

    @property
    def is_voter(self) -> bool:
        """Whether this replica may stand for election.

        One whose removal is not yet committed still may: only its log may hold
        the removal, and then the others cannot elect a leader without it.
        """
        if self.identity in voters(self.members):
            return True
        return self.identity in voters(self.log.members_at(self.commit))

    def restart_election_timer(self, now: float) -> None:
        """Draw a new election timeout."""
        low, high = self.settings.election_min_s, self.settings.election_max_s
        self.election_at = now + self._rng.uniform(low, high)

    def restart_resume_timer(self, now: float) -> None:
        """Set when to ask next, which is sooner while it may resume."""
        self.restart_election_timer(now)
        if now < self._resume_until:
            retry_at = now + self.settings.resume_retry_s
            self.election_at = min(retry_at, self._resume_until)

    def set_hard_state(self, hard_state: HardState) -> None:
        """Change what must be saved before any message leaves."""
        self.hard_state = hard_state
        self.is_hard_state_saved = False

    @property
    def address(self) -> str:
        """Own address by the log, or empty if not a member."""
        return self.address_of(self.identity)

    def address_of(self, replica: str) -> str:
        """Return a member's address, or empty if it is not a member."""
        member = find(self.members, replica)
        return member.address if member else ""

    def send(self, replica: str, message: Any, address: str = "") -> None:
        """Queue a message; ``address`` is for a replica that is not a member."""
        address = self.address_of(replica) or address
        self._outbox.append(Outgoing(replica, address, message))

    def take_outbox(self) -> tuple[Outgoing, ...]:
        """Return the queued messages and forget them."""
        messages = tuple(self._outbox)
        self._outbox.clear()
        return messages

    def hears_leader(self, now: float) -> bool:
        """Whether a leader was heard within the shortest election timeout."""
        return now - self.heard_at < self.settings.election_min_s

    def advance_commit(self, index: int) -> None:
        """Raise the commit index, never past the log's end."""
        self.commit = max(self.commit, min(index, self.log.last_index))
