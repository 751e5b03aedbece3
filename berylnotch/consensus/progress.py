"""Leader's record of its heartbeat rounds and of each replica's progress."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.members import quorum_size, voter_ids

if TYPE_CHECKING:
    from collections.abc import Mapping

    from berylnotch.consensus.messages import Members
    from berylnotch.consensus.state import Snapshot

#: Number of rounds whose sending time is stored. Replies to older rounds do not renew
#: the lease.
MAX_TRACKED_ROUNDS = 256

#: Number of rounds after which an unanswered part of a snapshot is sent again.
PART_RESEND_ROUNDS = 5

#: Number of rounds without a reply until the newest snapshot replaces the snapshot
#: that is being sent.
SNAPSHOT_RESTART_ROUNDS = 50

#: Time in seconds that means "never".
NEVER = float("-inf")


class HeartbeatRounds:
    """Numbers and sending times of the leader's heartbeat rounds."""

    def __init__(self) -> None:
        self._number = 0
        self._sent_at: dict[int, float] = {}

    @property
    def number(self) -> int:
        """Number of the newest round."""
        return self._number

    def start(self, now: float) -> None:
        """Start a round that is sent at ``now`` or later."""
        self._number += 1
        self._sent_at[self._number] = now
        self._sent_at.pop(self._number - MAX_TRACKED_ROUNDS, None)

    def sent_at(self, number: int) -> float:
        """Return the sending time of a round, or `NEVER` if it is no longer stored."""
        return self._sent_at.get(number, NEVER)


class Progress:
    """Replication progress of one other replica, as known to the leader.

    Parameters
    ----------
    next_index : int
        Index of the first entry to send.
    """

    def __init__(self, next_index: int) -> None:
        #: Last index up to which the replica's log is known to be durable and equal to
        #: the leader's.
        self.match_index = 0
        #: Index of the next entry to send.
        self.next_index = next_index
        #: Sending time of the newest round that the replica answered, in monotonic
        #: seconds.
        self.acked_round_sent_at = NEVER
        #: Arrival time of the replica's last reply, in monotonic seconds.
        self.last_contact_at = NEVER
        #: Whether the last index at which the logs are equal is unknown, so that
        #: requests are sent one at a time.
        self.is_probing = True
        #: Whether the newest request has no reply yet. While probing or sending a
        #: snapshot, the next request waits for the reply, for the next heartbeat round
        #: or for the time to send the part again.
        self.is_awaiting_reply = False
        #: Snapshot that is being sent, if any, and the byte offset of its next part.
        self.snapshot: Snapshot | None = None
        self.offset = 0
        #: Whether the replica lost entries that it had acknowledged. This happens if an
        #: older copy of its data folder is restored.
        self.has_lost_entries = False
        self._match_round = 0
        self._unanswered_rounds = 0

    def record_reply(self, now: float, sent_at: float) -> None:
        """Record a reply to a round that was sent at ``sent_at``."""
        self.last_contact_at = now
        self.acked_round_sent_at = max(self.acked_round_sent_at, sent_at)

    def record_match(self, index: int, round_number: int) -> None:
        """Record that the logs were equal up to ``index`` in this round."""
        if index > self.match_index:
            self.match_index = index
            self._match_round = round_number
        self.next_index = max(self.next_index, self.match_index + 1)
        self.is_probing = False

    def record_mismatch(self, match_hint: int, round_number: int) -> None:
        """Go back to the index up to which the logs may still be equal.

        If a later round reports a lower index than `match_index`, the replica lost
        entries that it had acknowledged.
        """
        if match_hint < self.match_index and round_number > self._match_round:
            self.has_lost_entries = True
        self.next_index = max(
            self.match_index + 1, min(self.next_index, match_hint + 1)
        )
        self.is_probing = True

    def set_offset(self, offset: int) -> None:
        """Continue the snapshot at the offset that the replica asked for."""
        if offset != self.offset:
            self.offset = min(offset, len(self.snapshot.data))
            self._unanswered_rounds = 0
            self.is_awaiting_reply = False

    def count_unanswered_round(self, newest: Snapshot) -> None:
        """Count a heartbeat round without a reply to the last part of a snapshot.

        The part is sent again every `PART_RESEND_ROUNDS` rounds. After
        `SNAPSHOT_RESTART_ROUNDS` rounds, the newest snapshot replaces an older one, so
        that an unreachable replica does not keep the older one in memory.
        """
        self._unanswered_rounds += 1
        if self._unanswered_rounds % PART_RESEND_ROUNDS == 0:
            self.is_awaiting_reply = False
        if (
            self._unanswered_rounds >= SNAPSHOT_RESTART_ROUNDS
            and self.snapshot is not newest
        ):
            self.start_snapshot(newest)

    def start_snapshot(self, snapshot: Snapshot) -> None:
        """Start to send a snapshot from its first byte."""
        self.snapshot = snapshot
        self.offset = 0
        self._unanswered_rounds = 0
        self.is_awaiting_reply = False

    def finish_snapshot(self, index: int) -> None:
        """Continue with the entries after a snapshot that the replica has installed."""
        self.snapshot = None
        self.match_index = max(self.match_index, index)
        self.next_index = self.match_index + 1
        self.is_probing = True


def majority_value(
    members: Members, identity: str, own: float, others: Mapping[str, float]
) -> float:
    """Return the highest value that a majority of the voters has reached.

    ``own`` is the value of this replica, ``identity``; ``others`` holds the values of
    other replicas by id. A voter without a value counts as `NEVER`.
    """
    values = [
        own if replica == identity else others.get(replica, NEVER)
        for replica in voter_ids(members)
    ]
    majority = quorum_size(members)
    return sorted(values, reverse=True)[majority - 1] if values else NEVER
