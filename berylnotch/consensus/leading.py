"""Leader behaviour: replication, commitment by majority and the leader lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.errors import MembershipError, OverloadedError, PayloadError
from berylnotch.consensus.members import check_change, encode_members, voter_ids
from berylnotch.consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    SnapshotReply,
    SnapshotRequest,
)
from berylnotch.consensus.progress import (
    NEVER,
    HeartbeatRounds,
    Progress,
    majority_value,
)

if TYPE_CHECKING:
    from berylnotch.consensus.core import Core
    from berylnotch.consensus.messages import Members


class Leader:
    """State of a leader during one term.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    now : float
        Monotonic seconds.
    """

    def __init__(self, core: Core, now: float) -> None:
        self._core = core
        self._rounds = HeartbeatRounds()
        self._progress: dict[str, Progress] = {}
        self._elected_at = now
        self._round_started_at = now
        self._uncommitted_bytes = 0
        self._term_first_index = core.log.last_index + 1
        self._sync_progress()
        self._append_entry(EntryKind.NOOP, b"")
        self._start_heartbeat_round(now)

    @property
    def progress(self) -> dict[str, Progress]:
        """Replication progress of each other member, by replica id."""
        return self._progress

    def lease_started_at(self, now: float) -> float:
        """Return the sending time of the newest round that a majority answered."""
        acked_sent_at = {
            replica: p.acked_round_sent_at for replica, p in self._progress.items()
        }
        core = self._core
        return majority_value(core.members, core.identity, now, acked_sent_at)

    def has_lease(self, now: float) -> bool:
        """Whether no other replica can lead and older terms' entries are applied."""
        if self._core.applied_index < self._term_first_index:
            return False
        return now - self.lease_started_at(now) < self._core.settings.lease_s

    def has_lost_quorum(self, now: float) -> bool:
        """Whether no majority answered a round sent within the last ``lease_s``.

        The result is false during the first ``lease_s`` after the election.
        """
        quorum_since = max(self.lease_started_at(now), self._elected_at)
        return now - quorum_since >= self._core.settings.lease_s

    def tick(self, now: float) -> None:
        """Start a heartbeat round if one is due."""
        if now - self._round_started_at >= self._core.settings.heartbeat_s:
            self._start_heartbeat_round(now)

    def propose(self, payload: bytes) -> int:
        """Append a command and return its index."""
        settings = self._core.settings
        if len(payload) > settings.max_entry_bytes:
            raise PayloadError(
                f"a proposal of {len(payload)} bytes exceeds {settings.max_entry_bytes}"
            )
        uncommitted = self._core.log.last_index - self._core.commit_index
        if uncommitted >= settings.max_uncommitted_entries:
            raise OverloadedError(f"{uncommitted} proposals wait for a majority")
        if self._uncommitted_bytes >= settings.max_uncommitted_bytes:
            raise OverloadedError(f"{self._uncommitted_bytes} bytes wait likewise")
        return self._append_entry(EntryKind.COMMAND, payload)

    def propose_members(self, members: Members) -> int:
        """Append a membership change and return its index."""
        core = self._core
        if core.commit_index < self._term_first_index:
            raise MembershipError("this leader has not yet committed an entry")
        if core.log.members_index > core.commit_index:
            raise MembershipError("another membership change is not yet committed")
        check_change(core.members, members)
        index = self._append_entry(EntryKind.MEMBERS, encode_members(members))
        self._sync_progress()
        return index

    def can_take_over(self, now: float, replica: str) -> bool:
        """Whether a voter is sure to hold all entries when it is asked to stand.

        A voter that lacks an entry of another voter may lose the election, and the
        group then has no leader until an election timeout. Entries may be in transit,
        because messages to one replica arrive in order. A voter that has not answered
        for `lease_s` cannot take over.
        """
        progress = self._progress[replica]
        if progress.snapshot is not None or progress.is_probing:
            return False
        if now - progress.acked_round_sent_at >= self._core.settings.lease_s:
            return False
        return progress.next_index > self._core.log.last_index

    def select_successor(self, now: float, previous_leader: str) -> str:
        """Return the other voter that is most likely to be elected, or empty if none.

        Voters that can take over come first, then those with the highest match index.
        The replica that transferred leadership to this one is the last choice, because
        it is about to stop.
        """
        candidates = voter_ids(self._core.members) & self._progress.keys()
        return max(
            candidates,
            key=lambda r: (
                r != previous_leader,
                self.can_take_over(now, r),
                self._progress[r].match_index,
                self._progress[r].acked_round_sent_at,
                r,
            ),
            default="",
        )

    def on_append_reply(self, now: float, reply: AppendReply) -> None:
        """Process a replica's reply to entries or to a heartbeat."""
        progress = self._progress.get(reply.replica)
        if progress is None:
            return
        progress.record_reply(now, self._rounds.sent_at(reply.round))
        if progress.snapshot is not None:
            return
        progress.is_awaiting_reply = False
        if reply.ok:
            progress.record_match(reply.match, reply.round)
        else:
            progress.record_mismatch(reply.match, reply.round)

    def on_snapshot_reply(self, now: float, reply: SnapshotReply) -> None:
        """Process a replica's reply to a part of a snapshot."""
        progress = self._progress.get(reply.replica)
        if progress is None:
            return
        progress.record_reply(now, self._rounds.sent_at(reply.round))
        if progress.snapshot is None:
            return
        if progress.snapshot.last_index != reply.last_index:
            return
        if reply.done:
            progress.finish_snapshot(reply.last_index)
        else:
            progress.set_offset(reply.offset)

    def update_commit(self) -> None:
        """Commit the entries saved by a majority, if the last has the current term."""
        core = self._core
        match_indexes = {
            replica: p.match_index for replica, p in self._progress.items()
        }
        index = majority_value(
            core.members, core.identity, core.log.saved_index, match_indexes
        )
        if index == NEVER or index <= core.commit_index:
            return
        if core.log.term_at(int(index)) != core.term:
            return
        committed = core.log.entries_between(core.commit_index + 1, int(index))
        self._uncommitted_bytes -= sum(len(entry.payload) for entry in committed)
        core.advance_commit(int(index))

    def send_entries(self) -> None:
        """Queue missing entries for each replica, up to ``max_inflight_entries``."""
        for replica, progress in self._progress.items():
            while self._can_send(progress):
                self._send_next(replica, progress)

    def broadcast_commit_index(self) -> None:
        """Send the commit index to every replica."""
        for replica, progress in self._progress.items():
            self._send_next(replica, progress)

    def _can_send(self, progress: Progress) -> bool:
        if progress.snapshot is not None or progress.is_probing:
            if progress.is_awaiting_reply:
                return False
        if progress.snapshot is not None:
            return True
        last_index = self._core.log.last_index
        inflight_entries = progress.next_index - 1 - progress.match_index
        limit = self._core.settings.max_inflight_entries
        return progress.next_index <= last_index and inflight_entries < limit

    def _start_heartbeat_round(self, now: float) -> None:
        self._round_started_at = now
        self._rounds.start(now)
        for replica, progress in self._progress.items():
            if progress.snapshot is not None:
                self._send_heartbeat(replica)
                progress.count_unanswered_round(self._core.log.snapshot)
            else:
                self._send_next(replica, progress)

    def _send_next(self, replica: str, progress: Progress) -> None:
        core = self._core
        if progress.snapshot is None:
            prev_term = core.log.term_at(progress.next_index - 1)
            if prev_term is not None:
                self._send_append(replica, progress, prev_term)
                return
            progress.start_snapshot(core.log.snapshot)
        self._send_snapshot_part(replica, progress)

    def _send_append(self, replica: str, progress: Progress, prev_term: int) -> None:
        core = self._core
        entries = self._next_entries(progress)
        request = AppendRequest(
            core.term,
            core.identity,
            progress.next_index - 1,
            prev_term,
            core.commit_index,
            self._rounds.number,
            entries,
            core.address,
            replica,
        )
        core.send(replica, request)
        progress.is_awaiting_reply = True
        if not progress.is_probing:
            progress.next_index += len(entries)

    def _next_entries(self, progress: Progress) -> tuple[Entry, ...]:
        settings = self._core.settings
        inflight_entries = progress.next_index - 1 - progress.match_index
        if progress.is_probing or inflight_entries >= settings.max_inflight_entries:
            return ()
        return self._core.log.batch(
            progress.next_index, settings.max_append_entries, settings.max_append_bytes
        )

    def _send_heartbeat(self, replica: str) -> None:
        # A replica that needs a snapshot may lack every entry that the leader holds.
        # All logs are equal at index 0, so a request with this previous index always
        # succeeds. It only renews the lease and the replica's election timer.
        core = self._core
        round_number = self._rounds.number
        request = AppendRequest(
            core.term, core.identity, 0, 0, 0, round_number, (), core.address, replica
        )
        core.send(replica, request)

    def _send_snapshot_part(self, replica: str, progress: Progress) -> None:
        core, snapshot = self._core, progress.snapshot
        end_offset = progress.offset + core.settings.snapshot_part_bytes
        request = SnapshotRequest(
            core.term,
            core.identity,
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            progress.offset,
            snapshot.data[progress.offset : end_offset],
            end_offset >= len(snapshot.data),
            self._rounds.number,
            core.address,
            replica,
        )
        core.send(replica, request)
        progress.is_awaiting_reply = True

    def _append_entry(self, kind: EntryKind, payload: bytes) -> int:
        core = self._core
        index = core.log.last_index + 1
        core.log.append((Entry(index, core.term, kind, payload),))
        self._uncommitted_bytes += len(payload)
        return index

    def _sync_progress(self) -> None:
        core = self._core
        current_ids = {member.replica for member in core.members.members}
        for replica in self._progress.keys() - current_ids:
            del self._progress[replica]
        for replica in sorted(current_ids - self._progress.keys() - {core.identity}):
            self._progress[replica] = Progress(core.log.last_index + 1)
