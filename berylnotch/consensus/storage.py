"""Durable log, term, vote and snapshot in a data folder."""

from __future__ import annotations

import os
import threading
from pathlib import Path
from typing import IO, TYPE_CHECKING, TypeVar

from berylnotch.consensus import folder as data_folder
from berylnotch.consensus import records
from berylnotch.consensus.errors import DamagedFileError
from berylnotch.consensus.records import RecordType
from berylnotch.consensus.snapshot_file import read_snapshot, write_snapshot
from berylnotch.consensus.state import HardState, Ready, Recovered, Snapshot
from berylnotch.errors import StorageError

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylnotch.consensus.messages import Entry

T = TypeVar("T")

#: Bytes after which a new log segment begins.
SEGMENT_BYTES = 8 * 1024 * 1024

_SEGMENT_NAME = "log-{:010d}"


class LogStorage:
    """Storage of one replica.

    The log is a row of numbered segments. A snapshot removes the segments that
    it makes needless, so the folder stays bounded.

    Parameters
    ----------
    folder : str or Path
        Data folder; it is made if it is missing.
    name : str, default="replica"
        First part of the id that a new folder gets.
    keep_entries : int, default=2000
        Entries to keep behind a snapshot.
    first_identity : str, default=""
        Replica id that a new folder gets instead of a random one. Only a member
        that founds a group may name it, since no earlier folder can have had it.
    checks_copy : bool, default=True
        Whether a folder whose files have other inode numbers than it was made with
        is refused as a copy. Platforms that bring a disk back under new numbers
        need it off; they must never bring back an older state of a disk.
    """

    def __init__(
        self,
        folder: str | Path,
        name: str = "replica",
        keep_entries: int = 2000,
        first_identity: str = "",
        checks_copy: bool = True,
    ) -> None:
        self._folder = Path(folder)
        self._name = name
        self._first_identity = first_identity
        self._checks_copy = checks_copy
        self._keep_entries = keep_entries
        self._lock_file: IO[bytes] | None = None
        self._file: IO[bytes] | None = None
        self._mutex = threading.Lock()
        #: Held while the snapshot's file is replaced.
        self._snapshot_mutex = threading.Lock()
        self._snapshot_index = 0
        self._hard_state = HardState()
        #: Highest entry index in each segment, by its number.
        self._segments: dict[int, int] = {}
        self._is_failed = False

    @property
    def folder(self) -> Path:
        """Data folder."""
        return self._folder

    def start(self) -> Recovered:
        """Lock the folder and read what it holds.

        Raises
        ------
        DamagedFileError
            If a file is damaged, other than a last save cut off by a crash.
        CopiedFolderError
            If the folder is a copy.
        StorageError
            If it cannot be read or is in use.
        """
        try:
            return self._start()
        except OSError as error:
            self.close()
            raise StorageError(f"{self._folder}: {error}") from error
        except StorageError:
            self.close()
            raise

    def save(self, ready: Ready) -> None:
        """Make everything in ``ready`` durable with one fsync.

        Raises
        ------
        StorageError
            If writing fails; the storage then refuses everything, since it is
            unknown what is durable.
        """
        if not ready.must_save:
            return
        with self._mutex:
            self._guarded(self._save, ready)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Make a snapshot of the own state durable, then drop what it holds.

        It may run on another thread than `save`. A snapshot that is older than
        one from the leader, installed meanwhile, is left out.
        """
        try:
            with self._snapshot_mutex:
                if snapshot.last_index <= self._snapshot_index:
                    return
                write_snapshot(self._folder, snapshot)
                self._snapshot_index = snapshot.last_index
        except OSError as error:
            raise StorageError(f"{self._folder}: {error}") from error
        with self._mutex:
            self._guarded(self._drop_segments, snapshot)

    def close(self) -> None:
        """Close the files and unlock the folder."""
        for file in (self._file, self._lock_file):
            if file is not None:
                file.close()
        self._file = None
        self._lock_file = None

    def _start(self) -> Recovered:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock_file = data_folder.lock(self._folder)
        data_folder.remove_temporary(self._folder)
        identity = data_folder.read_identity(self._folder, self._checks_copy)
        if identity is None:
            return self._start_empty()
        snapshot = read_snapshot(self._folder)
        self._snapshot_index = snapshot.last_index if snapshot else 0
        entries = self._read_log()
        fitting = _fit(self._folder, snapshot, entries)
        if fitting != entries:
            self._start_over()
        return Recovered(identity, self._hard_state, snapshot, tuple(fitting))

    def _start_empty(self) -> Recovered:
        # A crash of the very first start may have left an empty segment.
        has_log = bool(self._segment_numbers()) and bool(self._read_log())
        if has_log or self._hard_state.term or read_snapshot(self._folder):
            raise StorageError(
                f"{self._folder} holds a log but no {data_folder.IDENTITY_FILE} file"
            )
        self._open_segment(1)
        identity = data_folder.make_identity(
            self._folder, self._name, self._first_identity
        )
        return Recovered(identity)

    def _segment_numbers(self) -> list[int]:
        return sorted(int(p.name[4:]) for p in self._folder.glob("log-" + "[0-9]" * 10))

    def _segment_path(self, number: int) -> Path:
        return self._folder / _SEGMENT_NAME.format(number)

    def _read_log(self) -> list[Entry]:
        numbers = self._segment_numbers()
        if not numbers or numbers != list(range(numbers[0], numbers[-1] + 1)):
            raise StorageError(f"{self._folder}: log segments are missing: {numbers}")
        entries: list[Entry] = []
        for number in numbers:
            self._read_segment(number, number == numbers[-1], entries)
        return entries

    def _read_segment(self, number: int, is_last: bool, entries: list[Entry]) -> None:
        path = self._segment_path(number)
        data = path.read_bytes()
        segment = records.read_segment(str(path), data, is_last)
        self._segments[number] = 0
        for record in segment.records:
            if record.type is RecordType.HARD_STATE:
                self._hard_state = records.unpack_hard_state(record)
            elif record.type is RecordType.ENTRY:
                entry = records.unpack_entry(record)
                _place(path, record.offset, entries, entry)
                self._note(number, entry.index)
        if is_last:
            self._reopen(path, segment.size, len(data))

    def _reopen(self, path: Path, size: int, full_size: int) -> None:
        self._file = open(path, "r+b")
        self._file.seek(size)
        if size < full_size:
            self._file.truncate()
            os.fsync(self._file.fileno())

    def _note(self, number: int, index: int) -> None:
        self._segments[number] = max(self._segments[number], index)

    def _save(self, ready: Ready) -> None:
        if ready.hard_state is not None:
            self._hard_state = ready.hard_state
        if ready.snapshot is not None:
            with self._snapshot_mutex:
                write_snapshot(self._folder, ready.snapshot)
                self._snapshot_index = ready.snapshot.last_index
            self._start_over()
        elif self._file.tell() >= SEGMENT_BYTES:
            self._open_segment(max(self._segments) + 1)
        parts = [records.pack(RecordType.SAVE)]
        if ready.hard_state is not None:
            parts.append(records.pack_hard_state(ready.hard_state))
        parts.extend(records.pack_entry(entry) for entry in ready.entries)
        self._file.write(b"".join(parts))
        self._file.flush()
        os.fsync(self._file.fileno())
        if ready.entries:
            self._note(max(self._segments), ready.entries[-1].index)

    def _guarded(self, action: Callable[[T], None], argument: T) -> None:
        if self._is_failed or self._file is None:
            raise StorageError(f"{self._folder}: storage is closed or has failed")
        try:
            action(argument)
        except OSError as error:
            self._is_failed = True
            raise StorageError(f"{self._folder}: {error}") from error

    def _open_segment(self, number: int) -> None:
        # The segment appears under its name with the term and vote in it, so
        # the segments before it may be removed at any time after.
        path = self._segment_path(number)
        first = records.pack(RecordType.SAVE)
        state = records.pack_hard_state(self._hard_state)
        data_folder.write_durably(path, records.SEGMENT_HEADER, first, state)
        if self._file is not None:
            self._file.close()
        self._file = open(path, "r+b")
        self._file.seek(0, os.SEEK_END)
        self._segments[number] = 0

    def _drop_segments(self, snapshot: Snapshot) -> None:
        self._open_segment(max(self._segments) + 1)
        limit = snapshot.last_index - self._keep_entries
        for number in sorted(self._segments)[:-1]:
            if self._segments[number] > limit:
                break
            self._remove_segment(number)

    def _start_over(self) -> None:
        # Only for a log that a snapshot from the leader replaces.
        self._open_segment(max(self._segments) + 1)
        for number in sorted(self._segments)[:-1]:
            self._remove_segment(number)

    def _remove_segment(self, number: int) -> None:
        self._segment_path(number).unlink()
        data_folder.sync_folder(self._folder)
        del self._segments[number]


def _place(path: Path, offset: int, entries: list[Entry], entry: Entry) -> None:
    """Append an entry; it voids those from its index on."""
    if entries:
        keep = entry.index - entries[0].index
        if keep < 0 or keep > len(entries):
            reason = f"entry {entry.index} does not follow {entries[-1].index}"
            raise DamagedFileError(str(path), offset, reason)
        del entries[keep:]
    entries.append(entry)


def _fit(folder: Path, snapshot: Snapshot | None, entries: list[Entry]) -> list[Entry]:
    """Return the entries that go with the snapshot.

    After a crash between a snapshot from the leader and the removal of the old
    log, the log ends before the snapshot or differs from it, and is void.
    """
    if snapshot is None:
        if entries and entries[0].index != 1:
            raise StorageError(f"{folder}: snapshot is missing before the log")
        return entries
    if not entries:
        return entries
    if entries[0].index > snapshot.last_index + 1:
        raise StorageError(f"{folder}: entries are missing after the snapshot")
    if entries[0].index == snapshot.last_index + 1:
        return entries
    position = snapshot.last_index - entries[0].index
    if position >= len(entries) or entries[position].term != snapshot.last_term:
        return []
    return entries
