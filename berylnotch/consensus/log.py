"""Part of the replicated log that a replica holds in memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.members import decode_members
from berylnotch.consensus.messages import Entry, EntryKind, Members

if TYPE_CHECKING:
    from berylnotch.consensus.state import Snapshot


class Log:
    """Log entries after a base index, and the memberships that they define.

    The base is the newest entry that is no longer held in memory; its index and term
    are still known. Entries up to `saved_index` are durable on this replica.

    Parameters
    ----------
    snapshot : Snapshot or None
        Newest snapshot.
    entries : tuple of Entry
        Saved entries; they may begin before the last index of the snapshot.
    """

    def __init__(self, snapshot: Snapshot | None, entries: tuple[Entry, ...]) -> None:
        self._snapshot = snapshot
        self._base_index = snapshot.last_index if snapshot else 0
        self._base_term = snapshot.last_term if snapshot else 0
        if entries and entries[0].index <= self._base_index:
            self._base_index = entries[0].index if entries[0].index > 1 else 0
            self._base_term = entries[0].term if entries[0].index > 1 else 0
            entries = entries[1:] if entries[0].index > 1 else entries
        self._entries: list[Entry] = list(entries)
        self._members: list[tuple[int, Members]] = [(0, Members())]
        if snapshot:
            self._members = [(snapshot.last_index, snapshot.members)]
        self._record_members(self._entries)
        self._saved_index = self.last_index
        self._truncated_from: int | None = None

    @property
    def snapshot(self) -> Snapshot | None:
        """Newest snapshot."""
        return self._snapshot

    @property
    def base_index(self) -> int:
        """Index of the newest entry that is no longer held in memory."""
        return self._base_index

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def saved_index(self) -> int:
        """Index up to which entries are durable on this replica."""
        return self._saved_index

    @property
    def truncated_from(self) -> int | None:
        """Index of the first truncated entry that the storage still holds, or None."""
        return self._truncated_from

    @property
    def members(self) -> Members:
        """Newest membership in the log, committed or not."""
        return self._members[-1][1]

    @property
    def members_index(self) -> int:
        """Index of the entry that holds `members`."""
        return self._members[-1][0]

    def members_at(self, index: int) -> Members:
        """Return the membership in force after the entry at ``index``."""
        memberships = [members for start, members in self._members if start <= index]
        return memberships[-1] if memberships else self._members[0][1]

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at ``index``, or None if it is unknown."""
        if index == self._base_index:
            return self._base_term
        if self._base_index < index <= self.last_index:
            return self._entries[index - self._base_index - 1].term
        return None

    def first_index_of_term(self, index: int) -> int:
        """Return the first index held in memory with the same term as ``index``."""
        term = self.term_at(index)
        while index > self._base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def entries_between(self, first: int, last: int) -> tuple[Entry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        start = first - self._base_index - 1
        return tuple(self._entries[start : last - self._base_index])

    def batch(
        self, first: int, max_entries: int, remaining_bytes: int
    ) -> tuple[Entry, ...]:
        """Return the entries from ``first`` on that fit into one message.

        At most ``max_entries`` entries with at most ``remaining_bytes`` of payload in
        total are returned. The first entry is returned whatever its size.
        """
        selected: list[Entry] = []
        for entry in self.entries_between(
            first, min(self.last_index, first + max_entries - 1)
        ):
            remaining_bytes -= len(entry.payload)
            if selected and remaining_bytes < 0:
                break
            selected.append(entry)
        return tuple(selected)

    def unsaved_entries(self) -> tuple[Entry, ...]:
        """Return the entries that are not yet durable on this replica."""
        return self.entries_between(self._saved_index + 1, self.last_index)

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries that follow the last entry of the log."""
        self._entries.extend(entries)
        self._record_members(entries)

    def merge(self, entries: tuple[Entry, ...]) -> None:
        """Append the leader's entries; a conflicting suffix of the log is removed."""
        for position, entry in enumerate(entries):
            if self.term_at(entry.index) == entry.term:
                continue
            if entry.index <= self.last_index:
                self._truncate(entry.index)
            self.append(entries[position:])
            return

    def mark_saved(self, entries: tuple[Entry, ...]) -> None:
        """Record that entries are durable; ignore those that were replaced."""
        for entry in reversed(entries):
            if self.term_at(entry.index) == entry.term:
                self._saved_index = max(self._saved_index, entry.index)
                return

    def clear_truncated(self) -> None:
        """Record that the truncation was passed to the storage."""
        self._truncated_from = None

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self._snapshot = snapshot
        self._base_index = snapshot.last_index
        self._base_term = snapshot.last_term
        self._entries = []
        self._members = [(snapshot.last_index, snapshot.members)]
        self._saved_index = snapshot.last_index
        self._truncated_from = None

    def compact(self, snapshot: Snapshot, keep_entries: int) -> None:
        """Drop entries covered by a snapshot, except the newest ``keep_entries``."""
        self._snapshot = snapshot
        base = max(self._base_index, snapshot.last_index - keep_entries)
        base_term = self.term_at(base)
        del self._entries[: base - self._base_index]
        self._base_index = base
        self._base_term = base_term
        current = (snapshot.last_index, snapshot.members)
        later = [pair for pair in self._members if pair[0] > snapshot.last_index]
        self._members = [current, *later]

    def _truncate(self, index: int) -> None:
        del self._entries[index - self._base_index - 1 :]
        self._members = [pair for pair in self._members if pair[0] < index]
        if index <= self._saved_index:
            self._saved_index = index - 1
            self._truncated_from = index

    def _record_members(self, entries: tuple[Entry, ...] | list[Entry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS and entry.index > self._members[-1][0]:
                self._members.append((entry.index, decode_members(entry.payload)))
