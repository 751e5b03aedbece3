"""Durable storage of log, term, vote and snapshot in a data folder."""

from __future__ import annotations

import io
import threading
from contextlib import suppress
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

#: Size in bytes of the newest log segment from which the next segment is started.
SEGMENT_BYTES = 8 * 1024 * 1024

_SEGMENT_NAME = "log-{:010d}"


class LogStorage:
    """Durable storage of one replica.

    The log is a sequence of numbered segments. Each snapshot removes the segments that
    are no longer needed, so the size of the folder stays bounded.

    Parameters
    ----------
    folder : str or Path
        Data folder; it is created if it does not exist.
    name : str, default="replica"
        First part of the random replica id of a new folder.
    keep_entries : int, default=2000
        Number of entries to keep before the end of a snapshot.
    first_identity : str, default=""
        Replica id of a new folder, instead of a random one. Only a founding member of
        a group may set it, because no earlier folder of such a member can have had
        that id.
    checks_copy : bool, default=True
        Whether to refuse a folder as a copy if its inode numbers differ from those at
        its creation. The check must be off on platforms that reattach a disk with new
        inode numbers; such platforms must never restore an older state of a disk.
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
        self._file: io.FileIO | None = None
        self._mutex = threading.Lock()
        #: Held while the snapshot file is replaced.
        self._snapshot_mutex = threading.Lock()
        self._snapshot_index = 0
        self._hard_state = HardState()
        #: Highest entry index in each segment, by segment number.
        self._highest_index_by_segment: dict[int, int] = {}
        self._has_failed = False

    @property
    def folder(self) -> Path:
        """Data folder."""
        return self._folder

    def start(self) -> Recovered:
        """Lock the folder, read its contents and make them durable.

        The newest segment is written anew, because a process that was killed, or whose
        fsync failed, may have left bytes in it that can be read but are not durable.
        A folder on a disk without room for this cannot be opened.

        Raises
        ------
        DamagedFileError
            If a file is damaged. A last save that a crash cut off is not damage.
        CopiedFolderError
            If the folder was copied or restored.
        StorageError
            If the folder cannot be read or written, or is in use by another process.
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
            If writing fails. The storage then refuses all further saves, because it
            is unknown what is durable.
        """
        if not ready.must_save:
            return
        with self._mutex:
            self._run_unless_failed(self._save, ready)

    def save_snapshot(self, snapshot: Snapshot) -> None:
        """Save a snapshot of this replica's state, then remove the segments covered.

        This method may run in another thread than `save`. The snapshot is ignored if a
        newer one from the leader was installed in the meantime.

        Raises
        ------
        StorageError
            If writing fails.
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
            self._run_unless_failed(self._remove_compacted_segments, snapshot)

    def close(self) -> None:
        """Close the open files and unlock the folder; errors are ignored.

        Everything that was saved is durable, and a file is closed also if its last
        close reports an error.
        """
        for file in (self._file, self._lock_file):
            if file is not None:
                with suppress(OSError):
                    file.close()
        self._file = None
        self._lock_file = None

    def _start(self) -> Recovered:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock_file = data_folder.lock_folder(self._folder)
        data_folder.remove_temporary_files(self._folder)
        identity = data_folder.read_identity(self._folder, self._checks_copy)
        if identity is None:
            return self._start_empty()
        snapshot = read_snapshot(self._folder)
        self._snapshot_index = snapshot.last_index if snapshot else 0
        entries = self._read_log()
        valid_entries = _drop_stale_log(self._folder, snapshot, entries)
        if valid_entries != entries:
            self._replace_log()
        return Recovered(identity, self._hard_state, snapshot, tuple(valid_entries))

    def _start_empty(self) -> Recovered:
        # A crash during the first start, before the identity was written, may have left
        # an empty segment.
        has_log = bool(self._segment_numbers()) and bool(self._read_log())
        if has_log or self._hard_state.term or read_snapshot(self._folder):
            raise StorageError(
                f"{self._folder} holds a log but no {data_folder.IDENTITY_FILE} file"
            )
        self._open_segment(1)
        identity = data_folder.create_identity(
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
        self._highest_index_by_segment[number] = 0
        for record in segment.records:
            if record.type is RecordType.HARD_STATE:
                self._hard_state = records.unpack_hard_state(record)
            elif record.type is RecordType.ENTRY:
                entry = records.unpack_entry(record)
                _append_recovered(path, record.offset, entries, entry)
                self._record_index(number, entry.index)
        if is_last:
            data_folder.replace_file_atomically(path, data[: segment.size])
            self._file = data_folder.open_for_append(path)

    def _record_index(self, number: int, index: int) -> None:
        self._highest_index_by_segment[number] = max(
            self._highest_index_by_segment[number], index
        )

    def _save(self, ready: Ready) -> None:
        if ready.hard_state is not None:
            self._hard_state = ready.hard_state
        if ready.snapshot is not None:
            with self._snapshot_mutex:
                write_snapshot(self._folder, ready.snapshot)
                self._snapshot_index = ready.snapshot.last_index
            self._replace_log()
        elif self._file.tell() >= SEGMENT_BYTES:
            self._open_segment(max(self._highest_index_by_segment) + 1)
        packed_records = [records.pack_record(RecordType.SAVE)]
        if ready.hard_state is not None:
            packed_records.append(records.pack_hard_state(ready.hard_state))
        packed_records.extend(records.pack_entry(entry) for entry in ready.entries)
        data_folder.write_durably(self._file, b"".join(packed_records))
        if ready.entries:
            self._record_index(
                max(self._highest_index_by_segment), ready.entries[-1].index
            )

    def _run_unless_failed(self, action: Callable[[T], None], argument: T) -> None:
        if self._has_failed or self._file is None:
            raise StorageError(f"{self._folder}: storage is closed or has failed")
        try:
            action(argument)
        except OSError as error:
            self._has_failed = True
            raise StorageError(f"{self._folder}: {error}") from error

    def _open_segment(self, number: int) -> None:
        # The file is renamed into place with the term and the vote already in it, so
        # the earlier segments can be removed at any later time.
        path = self._segment_path(number)
        save_record = records.pack_record(RecordType.SAVE)
        state_record = records.pack_hard_state(self._hard_state)
        data_folder.replace_file_atomically(
            path, records.SEGMENT_HEADER, save_record, state_record
        )
        if self._file is not None:
            self._file.close()
        self._file = data_folder.open_for_append(path)
        self._highest_index_by_segment[number] = 0

    def _remove_compacted_segments(self, snapshot: Snapshot) -> None:
        self._open_segment(max(self._highest_index_by_segment) + 1)
        last_removable = snapshot.last_index - self._keep_entries
        for number in sorted(self._highest_index_by_segment)[:-1]:
            if self._highest_index_by_segment[number] > last_removable:
                break
            self._remove_segment(number)

    def _replace_log(self) -> None:
        # This is only valid if a snapshot from the leader replaces the log: all earlier
        # segments are removed, including entries that the snapshot does not cover.
        self._open_segment(max(self._highest_index_by_segment) + 1)
        for number in sorted(self._highest_index_by_segment)[:-1]:
            self._remove_segment(number)

    def _remove_segment(self, number: int) -> None:
        self._segment_path(number).unlink()
        data_folder.sync_folder(self._folder)
        del self._highest_index_by_segment[number]


def _append_recovered(
    path: Path, offset: int, entries: list[Entry], entry: Entry
) -> None:
    """Append an entry read from a segment; drop entries from the same index on."""
    if entries:
        kept_count = entry.index - entries[0].index
        if kept_count < 0 or kept_count > len(entries):
            reason = f"entry {entry.index} does not follow {entries[-1].index}"
            raise DamagedFileError(str(path), offset, reason)
        del entries[kept_count:]
    entries.append(entry)


def _drop_stale_log(
    folder: Path, snapshot: Snapshot | None, entries: list[Entry]
) -> list[Entry]:
    """Return the entries, or none if the log is older than the snapshot.

    After a crash between saving a snapshot from the leader and removing the old log,
    the log ends before the snapshot or has another term at its last index. Such a log
    is not used.

    Raises
    ------
    StorageError
        If the snapshot or entries between the snapshot and the log are missing.
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
