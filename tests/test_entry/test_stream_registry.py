"""Software versions of streams at one router, with a leader that can fail."""

import tracemalloc

import pytest

from berylnotch.entry import stream_registry
from berylnotch.entry.stream_registry import StreamRegistry
from berylnotch.group.messages import StreamRecords, VersionQuery, VersionReply

A, B, C = b"stream-a", b"stream-b", b"stream-c"


class Leader:
    """Link to a leader that records messages, with a registry at its other end."""

    def __init__(self):
        self.messages, self.found = [], []
        self.registry = StreamRegistry(self.messages.append, lambda: None, 0.5)

    def find(self, now, identity):
        self.registry.find(
            now, "llm", identity, lambda *found: self.found.append(found)
        )


@pytest.fixture
def leader():
    return Leader()


def test_one_id_for_streams_of_two_versions_gives_one_of_them(leader):
    leader.registry.record(0.0, "llm", A, "v1")
    leader.registry.record(1.0, "llm", A, "v2")
    leader.find(2.0, A)
    leader.registry.record(3.0, "llm", A, "v2")
    leader.find(4.0, A)
    leader.registry.flush()
    assert leader.found == [("", True), ("", True)]
    assert leader.messages == [StreamRecords("llm", "", A)]


def test_streams_before_the_second_version_are_not_reported(leader):
    registry = leader.registry
    registry.record(0.0, "llm", A, "v1")
    registry.record(0.0, "other", B, "v1")
    registry.flush()
    assert not leader.messages
    assert registry.set_mixed_services(1.0, ("llm",))
    assert leader.messages == [StreamRecords("llm", "v1", A)]
    assert registry.mixed_services == ("llm",)
    registry.record(1.0, "llm", C, "v2")
    registry.flush()
    assert leader.messages[1:] == [StreamRecords("llm", "v2", C)]
    assert not registry.set_mixed_services(1.0, ("llm",))


def test_new_leader_misses_records_and_queries(leader):
    leader.registry.set_mixed_services(0.0, ("llm",))
    leader.registry.record(0.0, "llm", A, "v1")
    leader.registry.flush()
    leader.find(0.1, B)
    del leader.messages[:]
    leader.registry.on_link_open(0.2)
    assert leader.messages == [
        StreamRecords("llm", "v1", A),
        VersionQuery(1, "llm", B),
    ]
    leader.registry.receive(VersionReply(1, "v2"))
    leader.registry.receive(VersionReply(1, "v1"))
    assert leader.found == [("v2", True)]


def test_take_up_is_held_while_no_leader_replies(leader):
    leader.find(0.0, A)
    leader.registry.serve(0.4)
    assert not leader.found
    leader.registry.serve(0.5)
    leader.registry.receive(VersionReply(1, "v1"))
    assert leader.found == [("", False)]


def test_stream_is_forgotten_while_it_may_be_taken_up(leader):
    leader.registry.set_longest_timeout(40.0)
    leader.registry.record(0.0, "llm", A, "v1")
    leader.find(79.0, A)
    leader.find(80.0, A)
    assert leader.found == [("v1", True)]
    assert leader.messages == [VersionQuery(1, "llm", A)]


def test_memory_grows_with_the_number_of_streams(leader, monkeypatch):
    monkeypatch.setattr(stream_registry, "MAX_KNOWN_STREAMS", 2_000)
    tracemalloc.start()
    for number in range(6_000):
        leader.registry.record(0.0, "llm", number.to_bytes(8, "big"), "v1")
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert used_bytes < 2_000 * 400
