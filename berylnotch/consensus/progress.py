"""What a leader knows of its heartbeat rounds and of each other replica."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.members import quorum, voters

if TYPE_CHECKING:
    from collections.abc import Mapping

    from berylnotch.consensus.messages import Members
    from berylnotch.consensus.state import Snapshot

#: Rounds whose sending time is remembered; answers to older ones are too late.
MAX_ROUNDS = 256

#: Rounds after which an unanswered part of a snapshot is sent again.
PART_ROUNDS = 5

#: Rounds after which an older snapshot is no longer offered.
MAX_PART_ROUNDS = 50

#: Time in seconds that stands for "never".
NEVER = float("-inf")


class Rounds:
    """Sending times of the leader's heartbeat rounds."""

    def __init__(self) -> None:
        self._number = 0
        self._sent_at: dict[int, float] = {}

    @property
    def number(self) -> int:
        """Number of the newest round."""
        return self._number

    def start(self, now: float) -> None:
        """Begin a round that is sent at ``now`` or later."""
        self._number += 1
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - MAX_ROUNDS, None)

    def sent_at(self, number: int) -> float:
        """Return when a round was sent, or `NEVER` if that is forgotten."""
        return self._sent_at.get(number, NEVER)


class Progress:
    """How far another replica's log is known to equal the leader's.

    Parameters
    ----------
    next_index : int
        Index of the first entry to send.
    """

    def __init__(self, next_index: int) -> None:
        #: Last index known to be equal and durable there.
        self.match = 0
        #: Index of the next entry to send.
        self.next_index = next_index
        #: Sending time of the newest round that it answered.
        self.acked_at = NEVER
        #: When its last answer came.
        self.heard_at = NEVER
        #: Whether the matching index is unknown, so that one request at a
        #: time is sent.
        self.is_probing = True
        #: Whether something was sent since the last answer or round.
        self.is_waiting = False
        #: Snapshot that is being sent, and the offset of its next part.
        self.snapshot: Snapshot | None = None
        self.offset = 0
        #: Whether it lost entries that it had acknowledged, as a restored copy
        #: of an older data folder does.
        self.has_lost_entries = False
        self._matched_round = 0
        self._part_rounds = 0

    def heard(self, now: float, sent_at: float) -> None:
        """Note an answer to a round that was sent at ``sent_at``."""
        self.heard_at = now
        self.acked_at = max(self.acked_at, sent_at)

    def matched(self, index: int, number: int) -> None:
        """Note that the logs were equal up to ``index`` in this round."""
        if index > self.match:
            self.match = index
            self._matched_round = number
        self.next_index = max(self.next_index, self.match + 1)
        self.is_probing = False

    def rejected(self, hint: int, number: int) -> None:
        """Go back to where the logs may still be equal.

        If a later round finds the logs equal up to less than before, the
        replica lost what it had acknowledged.
        """
        if hint < self.match and number > self._matched_round:
            self.has_lost_entries = True
        self.next_index = max(self.match + 1, min(self.next_index, hint + 1))
        self.is_probing = True

    def move_offset(self, offset: int) -> None:
        """Go on with the part that the replica lacks."""
        if offset != self.offset:
            self.offset = min(offset, len(self.snapshot.data))
            self._part_rounds = 0
            self.is_waiting = False

    def count_part_round(self, newest: Snapshot) -> None:
        """Count a round without an answer to a part.

        The part is sent again after some rounds. After many, an older snapshot
        is given up for the newest, so that a lost replica holds no memory.
        """
        self._part_rounds += 1
        if self._part_rounds % PART_ROUNDS == 0:
            self.is_waiting = False
        if self._part_rounds >= MAX_PART_ROUNDS and self.snapshot is not newest:
            self.start_snapshot(newest)

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Begin to send a snapshot."""
        self.snapshot = snapshot
        self.offset = 0
        self._part_rounds = 0
        self.is_waiting = False

    def finish_snapshot(self, index: int) -> None:
        """Go on with the entries after a snapshot."""
        self.snapshot = None
        self.match = max(self.match, index)
        self.next_index = self.match + 1
        self.is_probing = True


def majority_value(
    members: Members, identity: str, own: float, others: Mapping[str, float]
) -> float:
    """Return the highest value that a majority of the voters reaches."""
    values = [
        own if replica == identity else others.get(replica, NEVER)
        for replica in voters(members)
    ]
    needed = quorum(members)
    return sorted(values, reverse=True)[needed - 1] if values else NEVER
