"""Storage on a disk that is full for some time.

After an error the file may hold half a record, and what a failed sync should have
written is lost although it can be read. A storage that is opened again must take
neither for durable, and an error must not keep the folder locked or the file open.
"""

import pytest

from berylnotch.consensus import storage as storage_module
from berylnotch.consensus.messages import Entry, EntryKind
from berylnotch.consensus.state import HardState, Ready, Snapshot
from berylnotch.consensus.storage import LogStorage
from berylnotch.errors import StorageError
from tests.test_consensus.disks import FOLDER_FSYNC, FSYNC, RENAME, WRITE, Disks
from tests.test_consensus.group import members_of

MEMBERS = members_of("a/1")

#: Payload sizes in bytes below and above the buffer of a file object.
SIZES = (10, 20_000)


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "data"


@pytest.fixture
def disk(folder, monkeypatch):
    return Disks(monkeypatch).add(folder)


def make_entry(index, size=10, term=1):
    payload = (b"%d." % index) * size
    return Entry(index, term, EntryKind.COMMAND, payload[:size])


def open_storage(folder):
    storage = LogStorage(folder, "a", keep_entries=2)
    return storage, storage.start()


def reopen(storage, folder):
    storage.close()
    return open_storage(folder)


@pytest.mark.parametrize("part_bytes", [0, 7, 40])
@pytest.mark.parametrize("size", SIZES)
def test_failed_write_does_not_keep_the_folder_from_being_opened_again(
    folder, disk, size, part_bytes
):
    storage, _ = open_storage(folder)
    storage.save(Ready(HardState(1), entries=(make_entry(1),)))
    disk.failing, disk.part_bytes = {WRITE}, part_bytes
    with pytest.raises(StorageError):
        storage.save(Ready(entries=(make_entry(2, size),)))
    storage.close()
    disk.failing = set()
    storage, recovered = open_storage(folder)
    assert recovered.entries == (make_entry(1),)
    storage.save(Ready(entries=(make_entry(2, term=2),)))
    _, recovered = reopen(storage, folder)
    assert recovered.entries == (make_entry(1), make_entry(2, term=2))


def test_entries_of_a_failed_sync_are_written_again_before_they_count(folder, disk):
    storage, _ = open_storage(folder)
    storage.save(Ready(HardState(1), entries=(make_entry(1),)))
    disk.failing = {FSYNC}
    with pytest.raises(StorageError):
        storage.save(Ready(HardState(2), entries=(make_entry(2),)))
    disk.failing = set()
    storage, recovered = reopen(storage, folder)
    storage.save(Ready(entries=(make_entry(len(recovered.entries) + 1),)))
    storage.close()
    disk.lose_power()
    _, after = open_storage(folder)
    assert after.hard_state == recovered.hard_state
    assert after.entries[:-1] == recovered.entries
    assert len(after.entries) == len(recovered.entries) + 1


def test_entries_that_a_killed_process_did_not_sync_are_synced_at_the_start(
    folder, disk
):
    storage, _ = open_storage(folder)
    storage.save(Ready(HardState(1), entries=(make_entry(1),)))
    path = max(folder.glob("log-*"))
    with open(path, "ab") as file:
        file.write(storage_module.records.pack_record(1))
        file.write(storage_module.records.pack_entry(make_entry(2)))
    storage, recovered = reopen(storage, folder)
    storage.close()
    disk.lose_power()
    _, after = open_storage(folder)
    assert after.entries == recovered.entries


def test_storage_does_not_open_while_nothing_can_be_written(folder, disk):
    """A replica that cannot write must neither vote nor stand for election."""
    storage, _ = open_storage(folder)
    storage.save(Ready(HardState(1), entries=(make_entry(1),)))
    storage.close()
    disk.failing = {WRITE}
    for _ in range(3):
        with pytest.raises(StorageError):
            open_storage(folder)
    disk.failing = set()
    _, recovered = open_storage(folder)
    assert recovered.entries == (make_entry(1),)


def test_failed_snapshot_leaves_no_part_of_it_on_the_disk(folder, disk):
    """A part of a large file would take the room that the log needs."""
    storage, _ = open_storage(folder)
    storage.save(Ready(HardState(1), entries=(make_entry(1),)))
    disk.failing, disk.part_bytes = {WRITE}, 100
    with pytest.raises(StorageError):
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, bytes(5000)))
    assert not list(folder.glob("*.tmp"))


class _Run:
    """Saves in a fixed order, and what they promised to keep."""

    def __init__(self, folder):
        self.folder = folder
        self.storage = None
        self.term, self.entries, self.snapshot = 0, {}, None

    def run(self):
        """Make all saves; stop at the first that fails."""
        self.storage, _ = open_storage(self.folder)
        for index in range(1, 9):
            ready = Ready(HardState(index), entries=(make_entry(index, 90),))
            self.storage.save(ready)
            self.term, self.entries[index] = index, ready.entries[0]
            if index == 5:
                snapshot = Snapshot(4, 1, MEMBERS, b"own")
                self.storage.save_snapshot(snapshot)
                self.snapshot = snapshot
        snapshot = Snapshot(20, 3, MEMBERS, b"installed")
        self.storage.save(Ready(snapshot=snapshot, entries=(make_entry(21, term=3),)))
        self.snapshot, self.entries = snapshot, {21: make_entry(21, term=3)}

    def check(self, recovered):
        """Check that all that was promised is there."""
        assert recovered.hard_state.term >= self.term
        last_index = recovered.snapshot.last_index if recovered.snapshot else 0
        if self.snapshot:
            assert last_index >= self.snapshot.last_index
        held = {entry.index: entry for entry in recovered.entries}
        for index, entry in self.entries.items():
            assert index <= last_index or held[index] == entry


@pytest.mark.parametrize("has_lost_power", [False, True])
@pytest.mark.parametrize("failures", [1, 3])
def test_error_at_any_call_loses_nothing_and_ends_with_the_errors(
    tmp_path, monkeypatch, failures, has_lost_power
):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    disks = Disks(monkeypatch)
    for call in range(1000):
        folder = tmp_path / f"{call}-data"
        disk = disks.add(folder)
        disk.calls_left = call
        run = _Run(folder)
        try:
            run.run()
            break
        except StorageError:
            pass
        for _ in range(failures - 1):
            if run.storage is not None:
                run.storage.close()
            disk.calls_left, disk.failing = None, {WRITE, FSYNC, RENAME, FOLDER_FSYNC}
            with pytest.raises(StorageError):
                run.storage, _ = open_storage(folder)
        disk.calls_left, disk.failing = None, set()
        if run.storage is not None:
            run.storage.close()
        run.storage, recovered = open_storage(folder)
        run.check(recovered)
        last_index = recovered.snapshot.last_index if recovered.snapshot else 0
        if recovered.entries:
            last_index = recovered.entries[-1].index
        run.storage.save(Ready(entries=(make_entry(last_index + 1, term=9),)))
        run.storage.close()
        if has_lost_power:
            disk.lose_power()
        _, after = open_storage(folder)
        assert after.entries[:-1] == recovered.entries
        assert after.entries[-1] == make_entry(last_index + 1, term=9)
        run.check(after)
    assert call > 40
