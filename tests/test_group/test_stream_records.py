"""Replicated software versions of services and streams."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.group import stream_records
from berylnotch.group.commands import (
    ListSoftwareVersions,
    PutConfiguration,
    RecordStreams,
    ServiceVersions,
)
from berylnotch.group.state import FleetState
from berylnotch.group.stream_records import VersionGroup
from berylnotch.transport.packing import pack


def identity(number):
    return number.to_bytes(8, "big")


def list_versions(state, *versions, service="s"):
    state.apply(pack(ListSoftwareVersions((ServiceVersions(service, versions),))))


def record(state, version, *numbers, service="s", keep_from=0):
    group = VersionGroup(service, version, b"".join(map(identity, numbers)))
    state.apply(pack(RecordStreams((group,), keep_from)))


@pytest.fixture
def state():
    return FleetState()


def test_stream_without_a_record_is_known_while_one_version_serves(state):
    assert state.stream_version("s", identity(1)) == ""
    list_versions(state, "v1")
    assert state.stream_version("s", identity(1)) == "v1"
    assert state.stream_version("other", identity(1)) == ""
    list_versions(state, "v1", "v2")
    assert state.stream_version("s", identity(1)) == ""
    list_versions(state)
    assert dict(state.software_versions) == {}


def test_id_recorded_with_two_versions_gives_nothing_away(state):
    list_versions(state, "v1", "v2")
    record(state, "v1", 1, 2)
    record(state, "v1", 1)
    record(state, "v2", 2)
    record(state, "v1", 2)
    record(state, "", 3)
    list_versions(state, "v1")
    assert [state.stream_version("s", identity(n)) for n in (1, 2, 3)] == ["v1", "", ""]


def test_records_dropped_for_lack_of_room_make_streams_unknown(state, monkeypatch):
    monkeypatch.setattr(stream_records, "MAX_STREAM_RECORDS", 3)
    list_versions(state, "v1")
    record(state, "", 1, 2)
    assert state.stream_version("s", identity(1)) == ""
    record(state, "", 3, 4)
    # Else the dropped streams of an unknown version would count as begun at v1.
    assert state.stream_version("s", identity(1)) == ""
    assert state.software_versions["s"] == {"v1", ""} and state.streams_dropped == 2


def test_snapshot_of_an_older_version_is_readable(state):
    state.apply(pack(PutConfiguration(5, b"c")))
    name, values = msgpack.unpackb(state.snapshot())
    state.restore(msgpack.packb((name, values[:4])))
    assert state.version == 5 and not state.software_versions


COMMANDS = st.one_of(
    st.builds(
        lambda versions: ListSoftwareVersions((ServiceVersions("s", tuple(versions)),)),
        st.sets(st.sampled_from(["v1", "v2", ""])),
    ),
    st.builds(
        lambda version, numbers, keep_from: RecordStreams(
            (VersionGroup("s", version, b"".join(map(identity, numbers))),), keep_from
        ),
        st.sampled_from(["v1", "v2", ""]),
        st.sets(st.integers(0, 9), max_size=4),
        st.integers(0, 12),
    ),
)


@given(st.lists(COMMANDS, max_size=12), st.integers(0, 12))
def test_restored_controller_answers_like_one_that_applied_all(commands, saved_after):
    # Else the next leader would answer otherwise than the one before.
    applied, restored, began = FleetState(), FleetState(), {}
    for count, command in enumerate(commands):
        applied.apply(pack(command))
        restored.apply(pack(command))
        if count == saved_after:
            snapshot, restored = restored.snapshot(), FleetState()
            restored.restore(snapshot)
        if isinstance(command, RecordStreams):
            (group,) = command.groups
            for start in range(0, len(group.identities), 8):
                stream = group.identities[start : start + 8]
                began.setdefault(stream, set()).add(group.version)
        for stream, versions in began.items():
            answer = applied.recorded_version(stream)
            assert answer == restored.recorded_version(stream)
            assert answer is None or answer == "" or answer in versions
    assert applied.stream_batches == restored.stream_batches
    assert applied.software_versions == restored.software_versions
