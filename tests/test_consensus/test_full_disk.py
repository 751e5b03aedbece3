"""Storage on a disk that is full for some time.

After an error the file may hold half a record. An error must not keep the folder locked
or the file open.
"""

import pytest

from berylnotch.consensus.messages import Entry, EntryKind
from berylnotch.consensus.state import HardState, Ready, Snapshot
from berylnotch.consensus.storage import LogStorage
from berylnotch.errors import StorageError
from tests.test_consensus.disks import WRITE, Disks
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


def test_failed_snapshot_leaves_no_part_of_it_on_the_disk(folder, disk):
    """A part of a large file would take the room that the log needs."""
    storage, _ = open_storage(folder)
    storage.save(Ready(HardState(1), entries=(make_entry(1),)))
    disk.failing, disk.part_bytes = {WRITE}, 100
    with pytest.raises(StorageError):
        storage.save_snapshot(Snapshot(1, 1, MEMBERS, bytes(5000)))
    assert not list(folder.glob("*.tmp"))
