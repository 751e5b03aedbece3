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


def entries(first, last, term=1):
    return tuple(
        Entry(i, term, EntryKind.COMMAND, b"%d" % i) for i in range(first, last + 1)
    )


def write(folder, *saves, keep_entries=2):
    """Save each item in a fresh storage; a snapshot by `save_snapshot`."""
    storage = LogStorage(folder, "a", keep_entries)
    storage.start()
    for item in saves:
        if isinstance(item, Snapshot):
            storage.save_snapshot(item)
        else:
            storage.save(item)
    storage.close()


def read(folder):
    storage = LogStorage(folder, "a")
    recovered = storage.start()
    storage.close()
    return recovered


def last_segment(folder):
    return max(folder.glob("log-*"))


def snapshot(index, term=1):
    return Snapshot(index, term, MEMBERS, b"state")


def test_single_replica_over_real_files(folder):
    storage = LogStorage(folder, "a")
    recovered = storage.start()
    state = bootstrap(recovered, members_of(recovered.identity))
    storage.save(first_ready(state))
    replica = Replica(SETTINGS, state, random.Random(1), 0.0)
    replica.tick(2.0)
    replica_work = [replica.ready()]
    for _ in range(3):
        storage.save(replica_work[-1])
        replica.advance(replica_work[-1])
        replica_work.append(replica.ready())
    replica.advance(replica_work[-1])
    index = replica.propose(2.0, b"x")
    ready = replica.ready()
    storage.save(ready)
    replica.advance(ready)
    assert replica.commit == index
    storage.close()
    found = read(folder)
    assert found.identity == recovered.identity
    assert found.hard_state == HardState(2, recovered.identity)
    assert found.entries[-1].payload == b"x"


def test_save_syncs_once(folder, monkeypatch):
    storage = LogStorage(folder)
    storage.start()
    synced = []
    monkeypatch.setattr(os, "fsync", synced.append)
    storage.save(Ready(HardState(2, "a"), entries=entries(1, 100)))
    storage.save(Ready())
    storage.close()
    assert len(synced) == 1


def test_conflicting_suffix_is_replaced(folder):
    write(folder, Ready(entries=entries(1, 5)), Ready(entries=entries(3, 3, term=2)))
    assert read(folder).entries == (*entries(1, 2), *entries(3, 3, term=2))


@given(cut=st.integers(1, 80))
def test_torn_tail_is_cut(tmp_path_factory, cut):
    folder = tmp_path_factory.mktemp("torn") / "data"
    write(folder, Ready(entries=entries(1, 3)))
    kept = last_segment(folder).stat().st_size
    storage = LogStorage(folder, "a")
    storage.start()
    storage.save(Ready(HardState(5, "b"), entries=entries(4, 5)))
    storage.close()
    path = last_segment(folder)
    os.truncate(path, max(kept, path.stat().st_size - cut))
    found = read(folder)
    assert found.entries == entries(1, len(found.entries))
    assert len(found.entries) in (3, 4)
    write(folder, Ready(entries=entries(len(found.entries) + 1, 6)))
    assert read(folder).entries == entries(1, 6)


def test_bytes_that_never_reached_the_disk_are_cut(folder):
    write(folder, Ready(entries=entries(1, 3)))
    with open(last_segment(folder), "ab") as file:
        file.write(bytes(300))
    assert read(folder).entries == entries(1, 3)


@given(data=st.data())
def test_damage_before_the_last_save_names_file_and_offset(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("damaged") / "data"
    write(folder, Ready(entries=entries(1, 3)))
    durable = last_segment(folder).stat().st_size
    write(folder, Ready(entries=entries(4, 5)))
    path = last_segment(folder)
    content = bytearray(path.read_bytes())
    position = data.draw(st.integers(0, durable - 1))
    content[position] ^= data.draw(st.integers(1, 255))
    path.write_bytes(content)
    with pytest.raises(DamagedFileError) as caught:
        read(folder)
    assert caught.value.path == str(path)
    assert caught.value.offset <= position
    assert str(path) in str(caught.value)


def test_damage_in_an_older_segment_is_an_error(folder, monkeypatch):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    write(folder, *[Ready(entries=entries(i, i)) for i in range(1, 20)])
    first = min(folder.glob("log-*"))
    os.truncate(first, first.stat().st_size - 1)
    with pytest.raises(DamagedFileError, match="damaged at byte"):
        read(folder)


def test_missing_segment_is_an_error(folder, monkeypatch):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    write(folder, *[Ready(entries=entries(i, i)) for i in range(1, 20)])
    sorted(folder.glob("log-*"))[1].unlink()
    with pytest.raises(StorageError, match="missing"):
        read(folder)


def test_snapshot_drops_what_it_holds(folder, monkeypatch):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    saves = [Ready(HardState(7, "b"))]
    saves += [Ready(entries=entries(i, i)) for i in range(1, 40)]
    write(folder, *saves, snapshot(38))
    assert len(list(folder.glob("log-*"))) <= 3
    found = read(folder)
    assert found.hard_state == HardState(7, "b")
    assert found.snapshot == snapshot(38)
    assert found.entries[0].index <= 37
    assert found.entries[-1].index == 39


@pytest.mark.parametrize("step", ["_open_segment", "_remove_segment"])
def test_crash_between_snapshot_and_truncation(folder, monkeypatch, step):
    monkeypatch.setattr(storage_module, "SEGMENT_BYTES", 200)
    storage = LogStorage(folder, "a", keep_entries=2)
    storage.start()
    for i in range(1, 40):
        storage.save(Ready(entries=entries(i, i)))

    def crash(*args):
        raise OSError("crash")

    monkeypatch.setattr(storage, step, crash)
    with pytest.raises(StorageError):
        storage.save_snapshot(snapshot(38))
    storage.close()
    found = read(folder)
    assert found.snapshot == snapshot(38)
    assert found.entries[-1].index == 39


@pytest.mark.parametrize("old", [entries(1, 5), entries(1, 20, term=2)])
def test_crash_after_installed_snapshot_voids_the_old_log(folder, monkeypatch, old):
    write(folder, Ready(HardState(3, "b"), entries=old))
    storage = LogStorage(folder, "a")
    storage.start()

    def crash(*args):
        raise OSError("crash")

    monkeypatch.setattr(storage, "_open_segment", crash)
    with pytest.raises(StorageError):
        storage.save(Ready(snapshot=snapshot(10, term=3)))
    storage.close()
    found = read(folder)
    assert (found.snapshot, found.entries) == (snapshot(10, term=3), ())
    assert found.hard_state == HardState(3, "b")
    write(folder, Ready(entries=entries(11, 12, term=3)))
    assert read(folder).entries == entries(11, 12, term=3)


def test_installed_snapshot_replaces_the_log(folder):
    write(
        folder,
        Ready(HardState(3, "b"), entries=entries(1, 5)),
        Ready(snapshot=snapshot(10), entries=entries(11, 11)),
    )
    found = read(folder)
    assert (found.snapshot, found.entries) == (snapshot(10), entries(11, 11))
    assert found.hard_state == HardState(3, "b")


def test_entries_missing_after_the_snapshot_are_an_error(folder):
    write(folder, Ready(entries=entries(1, 1)))
    write(folder, Ready(snapshot=snapshot(10), entries=entries(11, 12)))
    storage_module.write_snapshot(folder, snapshot(5))
    with pytest.raises(StorageError, match="missing after the snapshot"):
        read(folder)


@given(data=st.data())
def test_damaged_snapshot_is_an_error(tmp_path_factory, data):
    folder = tmp_path_factory.mktemp("snapshot") / "data"
    write(folder, Ready(entries=entries(1, 3)), snapshot(3))
    path = folder / "snapshot"
    content = bytearray(path.read_bytes())
    position = data.draw(st.integers(0, len(content) - 1))
    content[position] ^= data.draw(st.integers(1, 255))
    path.write_bytes(content)
    with pytest.raises(DamagedFileError):
        read(folder)


def test_unfinished_files_are_removed(folder):
    write(folder, Ready(entries=entries(1, 3)))
    (folder / "snapshot.tmp").write_bytes(b"half")
    assert read(folder).entries == entries(1, 3)
    assert not (folder / "snapshot.tmp").exists()


def test_copied_folder_is_refused(folder, tmp_path):
    write(folder, Ready(HardState(4, "b")))
    shutil.copytree(folder, tmp_path / "copy")
    with pytest.raises(CopiedFolderError, match="copied or restored"):
        read(tmp_path / "copy")


def test_emptied_folder_gets_a_new_identity(folder):
    write(folder, Ready(HardState(4, "b")))
    before = read(folder)
    shutil.rmtree(folder)
    after = read(folder)
    assert after.identity != before.identity
    assert after.hard_state == HardState()


def test_log_without_identity_is_refused(folder):
    write(folder, Ready(HardState(4, "b"), entries=entries(1, 2)))
    (folder / "identity").unlink()
    with pytest.raises(StorageError, match="no identity"):
        read(folder)


def test_crash_of_the_first_start_is_harmless(folder):
    read(folder)
    (folder / "identity").unlink()
    assert read(folder).entries == ()


def test_folder_serves_one_process(folder):
    storage = LogStorage(folder)
    storage.start()
    with pytest.raises(StorageError, match="in use"):
        LogStorage(folder).start()
    storage.close()


def test_failed_write_is_final(folder, monkeypatch):
    storage = LogStorage(folder)
    storage.start()

    def fail(descriptor):
        raise OSError("no space")

    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", fail)
        with pytest.raises(StorageError):
            storage.save(Ready(entries=entries(1, 1)))
    with pytest.raises(StorageError, match="failed"):
        storage.save(Ready(entries=entries(2, 2)))
    storage.close()


def test_checksum_covers_the_record_type():
    record = storage_module.records.pack_entry(entries(1, 1)[0])
    changed = bytearray(record)
    changed[12] = storage_module.RecordType.SAVE
    data = storage_module.records.SEGMENT_HEADER + bytes(changed)
    segment = storage_module.records.read_segment("log", data, is_last=True)
    assert segment.records == ()


def test_members_survive_in_a_snapshot(folder):
    write(folder, Ready(entries=entries(1, 3)), snapshot(3))
    assert read(folder).snapshot.members == MEMBERS != Members()


def test_older_own_snapshot_does_not_replace_an_installed_one(folder):
    storage = LogStorage(folder)
    storage.start()
    storage.save(Ready(snapshot=snapshot(20, 3)))
    storage.save_snapshot(snapshot(10, 2))
    storage.close()
    assert LogStorage(folder).start().snapshot.last_index == 20


def test_hard_states_of_earlier_versions_are_read():
    known = HardState(7, "b", "a")
    (record,) = records.read_segment(
        "x", records.SEGMENT_HEADER + records.pack_hard_state(known), True
    ).records
    assert records.unpack_hard_state(record) == known
    old = attrs.evolve(record, payload=(7).to_bytes(8, "little") + b"b")
    assert records.unpack_hard_state(old) == HardState(7, "b")
