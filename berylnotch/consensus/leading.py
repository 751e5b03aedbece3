"""What a leader does: replicate, count majorities and keep its lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.errors import MembershipError, OverloadedError, PayloadError
from berylnotch.consensus.members import check_change, encode_members, voters
from berylnotch.consensus.messages import (
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    SnapshotReply,
    SnapshotRequest,
)
from berylnotch.consensus.progress import NEVER, Progress, Rounds, majority_value

if TYPE_CHECKING:
    from berylnotch.consensus.core import Core
    from berylnotch.consensus.messages import Members


class Leader:
    """A leader's state in one term.

    Parameters
    ----------
    core : Core
        Shared state of the replica.
    now : float
        Monotonic seconds.
    """

    def __init__(self, core: Core, now: float) -> None:
        self._core = core
        self._rounds = Rounds()
        self._progress: dict[str, Progress] = {}
        self._elected_at = now
        self._round_at = now
        self._uncommitted_bytes = 0
        self._first_index = core.log.last_index + 1
        self._follow_members()
        self._append(EntryKind.NOOP, b"")
        self._start_round(now)

    @property
    def progress(self) -> dict[str, Progress]:
        """Progress of each other member by replica id."""
        return self._progress

    def majority_sent_at(self, now: float) -> float:
        """Return when the newest round was sent that a majority answered."""
        acked = {replica: p.acked_at for replica, p in self._progress.items()}
        core = self._core
        return majority_value(core.members, core.identity, now, acked)

    def has_lease(self, now: float) -> bool:
        """Whether no other replica can lead now, and old entries are committed."""
        if self._core.commit < self._first_index:
            return False
        return now - self.majority_sent_at(now) < self._core.settings.lease_s

    def is_expired(self, now: float) -> bool:
        """Whether no majority answered a round of the last lease."""
        start = max(self.majority_sent_at(now), self._elected_at)
        return now - start >= self._core.settings.lease_s

    def tick(self, now: float) -> None:
        """Start a heartbeat round if one is due."""
        if now - self._round_at >= self._core.settings.heartbeat_s:
            self._start_round(now)

    def propose(self, payload: bytes) -> int:
        """Append a command; return its index."""
        settings = self._core.settings
        if len(payload) > settings.max_entry_bytes:
            raise PayloadError(
                f"a proposal of {len(payload)} bytes exceeds {settings.max_entry_bytes}"
            )
        waiting = self._core.log.last_index - self._core.commit
        if waiting >= settings.max_uncommitted_entries:
            raise OverloadedError(f"{waiting} proposals wait for a majority")
        if self._uncommitted_bytes >= settings.max_uncommitted_bytes:
            raise OverloadedError(f"{self._uncommitted_bytes} bytes wait likewise")
        return self._append(EntryKind.COMMAND, payload)

    def propose_members(self, members: Members) -> int:
        """Append a membership change; return its index."""
        core = self._core
        if core.commit < self._first_index:
            raise MembershipError("this leader has not yet committed an entry")
        if core.log.members_index > core.commit:
            raise MembershipError("another membership change is not yet committed")
        check_change(core.members, members)
        index = self._append(EntryKind.MEMBERS, encode_members(members))
        self._follow_members()
        return index

    def successor(self) -> str:
        """Return the other voter with the longest matching log, or empty."""
        candidates = voters(self._core.members) & self._progress.keys()
        return max(candidates, key=lambda r: (self._progress[r].match, r), default="")

    def receive_append(self, now: float, reply: AppendReply) -> None:
        """Note a replica's answer to entries or a heartbeat."""
        progress = self._progress.get(reply.replica)
        if progress is None:
            return
        progress.heard(now, self._rounds.sent_at(reply.round))
        if progress.snapshot is not None:
            return
        progress.is_waiting = False
        if reply.ok:
            progress.matched(reply.match, reply.round)
        else:
            progress.rejected(reply.match, reply.round)

    def receive_snapshot(self, now: float, reply: SnapshotReply) -> None:
        """Note a replica's answer to a part of a snapshot."""
        progress = self._progress.get(reply.replica)
        if progress is None:
            return
        progress.heard(now, self._rounds.sent_at(reply.round))
        if progress.snapshot is None:
            return
        if progress.snapshot.last_index != reply.last_index:
            return
        if reply.done:
            progress.finish_snapshot(reply.last_index)
        else:
            progress.move_offset(reply.offset)

    def update_commit(self) -> None:
        """Commit what a majority saved, if the last of it is of this term."""
        core = self._core
        matches = {replica: p.match for replica, p in self._progress.items()}
        index = majority_value(
            core.members, core.identity, core.log.saved_index, matches
        )
        if index == NEVER or index <= core.commit:
            return
        if core.log.term_at(int(index)) != core.term:
            return
        committed = core.log.between(core.commit + 1, int(index))
        self._uncommitted_bytes -= sum(len(entry.payload) for entry in committed)
        core.advance_commit(int(index))

    def send_entries(self) -> None:
        """Queue what each replica lacks, as far as it may be sent ahead."""
        for replica, progress in self._progress.items():
            while self._may_send(progress):
                self._send(replica, progress)

    def send_commit(self) -> None:
        """Tell every replica the commit index."""
        for replica, progress in self._progress.items():
            self._send(replica, progress)

    def _may_send(self, progress: Progress) -> bool:
        if progress.snapshot is not None or progress.is_probing:
            if progress.is_waiting:
                return False
        if progress.snapshot is not None:
            return True
        last_index = self._core.log.last_index
        ahead = progress.next_index - 1 - progress.match
        limit = self._core.settings.max_inflight_entries
        return progress.next_index <= last_index and ahead < limit

    def _start_round(self, now: float) -> None:
        self._round_at = now
        self._rounds.start(now)
        for replica, progress in self._progress.items():
            if progress.snapshot is not None:
                self._send_heartbeat(replica)
                progress.count_part_round(self._core.log.snapshot)
            else:
                self._send(replica, progress)

    def _send(self, replica: str, progress: Progress) -> None:
        core = self._core
        if progress.snapshot is None:
            prev_term = core.log.term_at(progress.next_index - 1)
            if prev_term is not None:
                self._send_append(replica, progress, prev_term)
                return
            progress.start_snapshot(core.log.snapshot)
        self._send_part(replica, progress)

    def _send_append(self, replica: str, progress: Progress, prev_term: int) -> None:
        core = self._core
        entries = self._next_entries(progress)
        request = AppendRequest(
            core.term,
            core.identity,
            progress.next_index - 1,
            prev_term,
            core.commit,
            self._rounds.number,
            entries,
            core.address,
            replica,
        )
        core.send(replica, request)
        progress.is_waiting = True
        if not progress.is_probing:
            progress.next_index += len(entries)

    def _next_entries(self, progress: Progress) -> tuple[Entry, ...]:
        settings = self._core.settings
        ahead = progress.next_index - 1 - progress.match
        if progress.is_probing or ahead >= settings.max_inflight_entries:
            return ()
        return self._core.log.batch(
            progress.next_index, settings.max_append_entries, settings.max_append_bytes
        )

    def _send_heartbeat(self, replica: str) -> None:
        # A replica that needs a snapshot cannot check any held entry; every
        # log agrees on index 0, so this only renews lease and timers.
        core = self._core
        number = self._rounds.number
        request = AppendRequest(
            core.term, core.identity, 0, 0, 0, number, (), core.address, replica
        )
        core.send(replica, request)

    def _send_part(self, replica: str, progress: Progress) -> None:
        core, snapshot = self._core, progress.snapshot
        end = progress.offset + core.settings.snapshot_part_bytes
        request = SnapshotRequest(
            core.term,
            core.identity,
            snapshot.last_index,
            snapshot.last_term,
            snapshot.members,
            progress.offset,
            snapshot.data[progress.offset : end],
            end >= len(snapshot.data),
            self._rounds.number,
            core.address,
            replica,
        )
        core.send(replica, request)
        progress.is_waiting = True

    def _append(self, kind: EntryKind, payload: bytes) -> int:
        core = self._core
        index = core.log.last_index + 1
        core.log.append((Entry(index, core.term, kind, payload),))
        self._uncommitted_bytes += len(payload)
        return index

    def _follow_members(self) -> None:
        core = self._core
        current = {member.replica for member in core.members.members}
        for replica in self._progress.keys() - current:
            del self._progress[replica]
        for replica in sorted(current - self._progress.keys() - {core.identity}):
            self._progress[replica] = Progress(core.log.last_index + 1)
