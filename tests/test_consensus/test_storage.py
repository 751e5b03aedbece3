from __future__ import annotations

import os
import random
import shutil

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.consensus import records
from berylnotch.consensus import storage as storage_module
from berylnotch.consensus.bootstrap import bootstrap, first_ready
from berylnotch.consensus.errors import CopiedFolderError, DamagedFileError
from berylnotch.consensus.messages import Entry, EntryKind, Members
from berylnotch.consensus.replica import Replica
from berylnotch.consensus.state import HardState, Ready, Snapshot
from berylnotch.consensus.storage import LogStorage
from berylnotch.errors import StorageError
from tests.test_consensus.group import SETTINGS, members_of

MEMBERS = members_of("a/1")


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "data"


def make_entries(first, last, term=1):
    return tuple(
        Entry(i, term, EntryKind.COMMAND, b"%d" % i) for i in range(first, last + 1)
    )


def save_all(folder, *saves, keep_entries=2):
    """Save each item with a new storage object; snapshots with `save_snapshot`."""
    storage = LogStorage(folder, "a", keep_entries)
    storage.start()
    for item in saves:
        if isinstance(item, Snapshot):
            storage.save_snapshot(item)
        else:
            storage.save(item)
    storage.close()


def recover(folder):
    storage = LogStorage(folder, "a")
    recovered = storage.start()
    storage.close()
    return recovered


def last_segment(folder):
    return max(folder.glob("log-*"))


def make_snapshot(index, term=1):
    return Snapshot(index, term, MEMBERS, b"state")


def test_single_replica_with_file_storage(folder):
    storage = LogStorage(folder, "a")
    recovered = storage.start()
    state = bootstrap(recovered, members_of(recovered.identity))
    storage.save(first_ready(state))
    replica = Replica(SETTINGS, state, random.Random(1), 0.0)
    replica.tick(2.0)
    readies = [replica.ready()]
    for _ in range(3):
        storage.save(readies[-1])
        replica.advance(readies[-1])
        readies.append(replica.ready())
    replica.advance(readies[-1])
    index = replica.propose(2.0, b"x")
    ready = replica.ready()
    storage.save(ready)
    replica.advance(ready)
    assert replica.commit == index
    storage.close()
    reopened = recover(folder)
    assert reopened.identity == recovered.identity
    assert reopened.hard_state == HardState(2, recovered.identity)
    assert reopened.entries[-1].payload == b"x"


def test_save_calls_fsync_once(folder, monkeypatch):
    storage = LogStorage(folder)
    storage.start()
    synced = []
    monkeypatch.setattr(os, "fsync", synced.append)
    storage.save(Ready(HardState(2, "a"), entries=make_entries(1, 100)))
    storage.save(Ready())
    storage.close()
    assert len(synced) == 1


def test_conflicting_suffix_is_replaced(folder):
    save_all(
        folder,
        Ready(entries=make_entries(1, 5)),
        Ready(entries=make_entries(3, 3, term=2)),
    )
    assert recover(folder).entries == (*make_entries(1, 2), *make_entries(3, 3, term=2))


@given(truncated_bytes=st.integers(1, 80))
def test_torn_last_save_is_truncated(tmp_path_factory, truncated_bytes):
    folder = tmp_path_factory.mktemp("torn") / "data"
    save_all(folder, Ready(entries=make_entries(1, 3)))
    durable_size = last_segment(folder).stat().st_size
    storage = LogStorage(folder, "a")
    storage.start()
    storage.save(Ready(HardState(5, "b"), entries=make_entries(4, 5)))
    storage.close()
    path = last_segment(folder)
    os.truncate(path, max(durable_size, path.stat().st_size - truncated_bytes))
    reopened = recover(folder)
    assert reopened.entries == make_entries(1, len(reopened.entries))
    assert len(reopened.entries) in (3, 4)
    save_all(folder, Ready(entries=make_entries(len(reopened.entries) + 1, 6)))
    assert recover(folder).entries == make_entries(1, 6)


def test_zero_bytes_after_the_last_save_are_truncated(folder):
    """A crash can leave a file extended by bytes that were never written."""
    save_all(folder, Ready(entries=make_entries(1, 3)))
    with open(last_segment(folder), "ab") as file:
        file.write(bytes(300))
    assert recover(folder).entries == make_entries(1, 3)


@given(data=st.data())
def test_damage_before_the_last_save_reports_file_and_offset(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("damaged") / "data"
    save_all(folder, Ready(entries=make_entries(1, 3)))
    durable_size = last_segment(folder).stat().st_size
    save_all(folder, Ready(entries=make_entries(4, 5)))
    path = last_segment(folder)
    content = bytearray(path.read_bytes())
    position = data.draw(st.integers(0, durable_size - 1))
    content[position] ^= data.draw(st.integers(1, 255))
    path.write_bytes(content)
    with pytest.raises(DamagedFileError) as caught:
        recover(folder)
    assert caught.value.path == str(path)
    assert caught.value.offset <= position
    assert str(path) in str(caught.value)


def test_damage_in_an_older_segment_is_an_error(folder, monkeypatch):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    save_all(folder, *[Ready(entries=make_entries(i, i)) for i in range(1, 20)])
    first = min(folder.glob("log-*"))
    os.truncate(first, first.stat().st_size - 1)
    with pytest.raises(DamagedFileError, match="damaged at byte"):
        recover(folder)


def test_missing_segment_is_an_error(folder, monkeypatch):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    save_all(folder, *[Ready(entries=make_entries(i, i)) for i in range(1, 20)])
    sorted(folder.glob("log-*"))[1].unlink()
    with pytest.raises(StorageError, match="missing"):
        recover(folder)


def test_snapshot_removes_covered_segments(folder, monkeypatch):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    saves = [Ready(HardState(7, "b"))]
    saves += [Ready(entries=make_entries(i, i)) for i in range(1, 40)]
    save_all(folder, *saves, make_snapshot(38))
    assert len(list(folder.glob("log-*"))) <= 3
    reopened = recover(folder)
    assert reopened.hard_state == HardState(7, "b")
    assert reopened.snapshot == make_snapshot(38)
    assert reopened.entries[0].index <= 37
    assert reopened.entries[-1].index == 39


@pytest.mark.parametrize("step", ["_open_segment", "_remove_segment"])
def test_crash_between_snapshot_and_truncation(folder, monkeypatch, step):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    storage = LogStorage(folder, "a", keep_entries=2)
    storage.start()
    for i in range(1, 40):
        storage.save(Ready(entries=make_entries(i, i)))

    def crash(*args):
        raise OSError("crash")

    monkeypatch.setattr(storage, step, crash)
    with pytest.raises(StorageError):
        storage.save_snapshot(make_snapshot(38))
    storage.close()
    reopened = recover(folder)
    assert reopened.snapshot == make_snapshot(38)
    assert reopened.entries[-1].index == 39


@pytest.mark.parametrize("old", [make_entries(1, 5), make_entries(1, 20, term=2)])
def test_crash_after_installed_snapshot_discards_the_old_log(folder, monkeypatch, old):
    save_all(folder, Ready(HardState(3, "b"), entries=old))
    storage = LogStorage(folder, "a")
    storage.start()

    def crash(*args):
        raise OSError("crash")

    monkeypatch.setattr(storage, "_open_segment", crash)
    with pytest.raises(StorageError):
        storage.save(Ready(snapshot=make_snapshot(10, term=3)))
    storage.close()
    reopened = recover(folder)
    assert (reopened.snapshot, reopened.entries) == (make_snapshot(10, term=3), ())
    assert reopened.hard_state == HardState(3, "b")
    save_all(folder, Ready(entries=make_entries(11, 12, term=3)))
    assert recover(folder).entries == make_entries(11, 12, term=3)


def test_installed_snapshot_replaces_the_log(folder):
    save_all(
        folder,
        Ready(HardState(3, "b"), entries=make_entries(1, 5)),
        Ready(snapshot=make_snapshot(10), entries=make_entries(11, 11)),
    )
    reopened = recover(folder)
    assert (reopened.snapshot, reopened.entries) == (
        make_snapshot(10),
        make_entries(11, 11),
    )
    assert reopened.hard_state == HardState(3, "b")


def test_entries_missing_after_the_snapshot_are_an_error(folder):
    save_all(folder, Ready(entries=make_entries(1, 1)))
    save_all(folder, Ready(snapshot=make_snapshot(10), entries=make_entries(11, 12)))
    storage_module.write_snapshot(folder, make_snapshot(5))
    with pytest.raises(StorageError, match="missing after the snapshot"):
        recover(folder)


@given(data=st.data())
def test_damaged_snapshot_is_an_error(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("snapshot") / "data"
    save_all(folder, Ready(entries=make_entries(1, 3)), make_snapshot(3))
    path = folder / "snapshot"
    content = bytearray(path.read_bytes())
    position = data.draw(st.integers(0, len(content) - 1))
    content[position] ^= data.draw(st.integers(1, 255))
    path.write_bytes(content)
    with pytest.raises(DamagedFileError):
        recover(folder)


def test_unfinished_files_are_removed(folder):
    save_all(folder, Ready(entries=make_entries(1, 3)))
    (folder / "snapshot.tmp").write_bytes(b"half")
    assert recover(folder).entries == make_entries(1, 3)
    assert not (folder / "snapshot.tmp").exists()


def test_copied_folder_is_refused(folder, tmp_path):
    save_all(folder, Ready(HardState(4, "b")))
    shutil.copytree(folder, tmp_path / "copy")
    with pytest.raises(CopiedFolderError, match="copied or restored"):
        recover(tmp_path / "copy")


def test_deleted_folder_gets_a_new_identity(folder):
    save_all(folder, Ready(HardState(4, "b")))
    before = recover(folder)
    shutil.rmtree(folder)
    after = recover(folder)
    assert after.identity != before.identity
    assert after.hard_state == HardState()


def test_log_without_identity_is_refused(folder):
    save_all(folder, Ready(HardState(4, "b"), entries=make_entries(1, 2)))
    (folder / "identity").unlink()
    with pytest.raises(StorageError, match="no identity"):
        recover(folder)


def test_folder_is_usable_after_a_crash_during_the_first_start(folder):
    recover(folder)
    (folder / "identity").unlink()
    assert recover(folder).entries == ()


def test_folder_is_locked_while_in_use(folder):
    storage = LogStorage(folder)
    storage.start()
    with pytest.raises(StorageError, match="in use"):
        LogStorage(folder).start()
    storage.close()


def test_storage_refuses_saves_after_a_failed_write(folder, monkeypatch):
    storage = LogStorage(folder)
    storage.start()

    def fail(descriptor):
        raise OSError("no space")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail)
        with pytest.raises(StorageError):
            storage.save(Ready(entries=make_entries(1, 1)))
    with pytest.raises(StorageError, match="failed"):
        storage.save(Ready(entries=make_entries(2, 2)))
    storage.close()


def test_checksum_covers_the_record_type():
    record = storage_module.records.pack_entry(make_entries(1, 1)[0])
    changed = bytearray(record)
    changed[12] = storage_module.RecordType.SAVE
    data = storage_module.records.SEGMENT_HEADER + bytes(changed)
    segment = storage_module.records.read_segment("log", data, is_last=True)
    assert segment.records == ()


def test_snapshot_file_preserves_members(folder):
    save_all(folder, Ready(entries=make_entries(1, 3)), make_snapshot(3))
    assert recover(folder).snapshot.members == MEMBERS != Members()


def test_older_own_snapshot_does_not_replace_an_installed_one(folder):
    storage = LogStorage(folder)
    storage.start()
    storage.save(Ready(snapshot=make_snapshot(20, 3)))
    storage.save_snapshot(make_snapshot(10, 2))
    storage.close()
    assert LogStorage(folder).start().snapshot.last_index == 20


def test_hard_state_records_of_earlier_versions_are_read():
    hard_state = HardState(7, "b", "a")
    (record,) = records.read_segment(
        "x", records.SEGMENT_HEADER + records.pack_hard_state(hard_state), True
    ).records
    assert records.unpack_hard_state(record) == hard_state
    old = attrs.evolve(record, payload=(7).to_bytes(8, "little") + b"b")
    assert records.unpack_hard_state(old) == HardState(7, "b")
