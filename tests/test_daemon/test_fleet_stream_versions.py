"""What the leader lists, records and answers about the versions of streams."""

import pytest

from berylnotch.daemon.fleet import stream_recorder, stream_versions
from berylnotch.daemon.fleet.stream_recorder import RECORD_BATCH_S
from berylnotch.daemon.fleet.stream_versions import RECORDING_WAIT_S, StreamVersions
from berylnotch.group import stream_records
from berylnotch.group.messages import StreamRecords, VersionQuery
from berylnotch.group.state import FleetState
from tests.test_daemon.test_crash_load import Clock
from tests.test_daemon.test_fleet_registry import Link, Log
from tests.test_group.test_stream_records import identity, list_versions, record
from tests.test_membership.test_version_tracker import target


class Group:
    """Leader and replicated state; proposals wait for `commit` or `lose`."""

    def __init__(self, clock):
        self.clock, self.state = clock, FleetState()
        self.recording, self.is_active, self.leader = False, True, None
        self.lead()

    def lead(self, is_first=True):
        """Make a new leader, with which the proposals of the one before are lost."""
        if self.leader is not None:
            self.leader.close()
        self.proposals, self.pushes, self.link = [], 0, Link()
        self.leader = StreamVersions(
            self.clock,
            self.state,
            lambda command, done: self.proposals.append((command, done)),
            lambda: self.is_active,
            lambda service: self.recording,
            is_first,
            self.push,
            Log(),
        )
        self.leader.on_applied()

    def push(self):
        self.pushes += 1

    def commit(self):
        proposals, self.proposals = self.proposals, []
        for command, done in proposals:
            self.state.apply(command)
            done(True)
        self.leader.on_applied()

    def lose(self):
        proposals, self.proposals = self.proposals, []
        for _, done in proposals:
            done(False)

    def list(self, *versions):
        """Read a list with targets of some versions, and commit what follows."""
        self.leader.on_list([target(v) for v in versions])
        self.commit()

    def usable(self, *versions):
        return [v for v in versions if self.leader.is_usable(target(v))]

    def send(self, version, *numbers):
        identities = b"".join(map(identity, numbers))
        self.leader.on_message(self.link, StreamRecords("s", version, identities))

    def query(self, number):
        """Return the answer to a query, None without one so far."""
        asked = identity(number) if number else b""
        self.leader.on_message(self.link, VersionQuery(number, "s", asked))
        return self.answer(number)

    def answer(self, number):
        answers = [r.version for r in self.link.sent if r.number == number]
        return answers[-1] if answers else None

    def mix(self):
        """Serve two versions, while routers record their streams."""
        self.recording = True
        self.list("v1")
        self.list("v1", "v2")


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    for module in (stream_versions, stream_recorder):
        monkeypatch.setattr(module, "boot_time", lambda: clock.now)
    return clock


@pytest.fixture
def group(clock):
    return Group(clock)


def test_no_target_is_used_before_its_version_is_committed(clock, group):
    group.leader.on_page([target("v1")])
    assert group.usable("v1") == [] and group.leader.is_listing
    group.lose()
    clock.advance(0.1)
    group.commit()
    assert group.usable("v1") == ["v1"] and group.pushes == 1
    assert not group.leader.is_listing and group.leader.mixed_services == ()


def test_second_version_waits_for_the_records_of_streams_under_way(clock, group):
    group.list("v1")
    group.list("v1", "v2")
    # Streams without a record are unknown from here on.
    assert group.leader.mixed_services == ("s",) and group.usable("v1", "v2") == ["v1"]
    group.send("v1", 1)
    group.recording = True
    clock.advance(RECORD_BATCH_S + 0.01)
    assert group.usable("v1", "v2") == ["v1"]
    group.commit()
    clock.advance(0.05)
    assert group.usable("v1", "v2") == ["v1", "v2"] and group.query(1) == "v1"


def test_router_that_does_not_record_delays_a_version_for_a_bounded_time(clock, group):
    group.list("v1")
    group.list("v1", "v2")
    clock.advance(RECORDING_WAIT_S - 0.1)
    assert group.usable("v2") == []
    clock.advance(0.2)
    assert group.usable("v2") == ["v2"] and group.query(1) == ""


def test_query_waits_for_the_records_that_came_before_it(clock, group):
    group.mix()
    group.send("v1", 1)
    group.send("", 2)
    assert group.query(1) is None and group.query(2) is None
    clock.advance(0.1)
    group.lose()
    clock.advance(0.1)
    assert group.answer(1) is None
    group.commit()
    assert (group.answer(1), group.answer(2)) == ("v1", "")
    assert group.query(3) == "" and group.query(0) == ""


def test_record_of_an_unknown_version_holds_while_one_version_serves(clock, group):
    group.list("v1")
    group.send("v1", 1)
    group.send("", 2)
    clock.advance(0.1)
    assert len(group.proposals) == 1
    group.commit()
    assert len(group.state.stream_batches) == 1
    assert [group.query(n) for n in (1, 2, 0)] == ["v1", "", "v1"]


def test_controller_without_the_lease_answers_nothing(group):
    group.list("v1")
    group.is_active = False
    assert group.query(1) is None


def test_streams_are_known_after_the_leader_and_all_power_were_lost(clock, group):
    group.mix()
    group.send("v1", 1)
    clock.advance(0.1)
    group.commit()
    group.send("v2", 2)
    clock.advance(0.1)
    restarted = FleetState()
    restarted.restore(group.state.snapshot())
    group.state = restarted
    group.lead(is_first=False)
    # The record that was not committed may not become a guess.
    assert (group.query(1), group.query(2)) == ("v1", "")
    # The last targets of v1 have just left.
    group.list("v2")
    assert (group.query(3), group.usable("v1", "v2")) == ("", ["v1", "v2"])


def test_new_leader_counts_the_absence_of_a_version_anew(clock, group):
    group.mix()

    def read_for(seconds):
        for _ in range(seconds):
            group.list("v2")
            clock.advance(1.0)

    read_for(25)
    group.lead(is_first=False)
    read_for(30)
    assert group.query(1) == ""
    read_for(2)
    assert group.query(1) == "v2" and group.leader.mixed_services == ()


def test_version_that_comes_back_is_the_one_it_was(clock, group):
    group.mix()
    group.send("v1", 1)
    clock.advance(0.1)
    group.commit()
    group.list("v2")
    group.list("v1", "v2")
    assert group.usable("v1") == ["v1"] and group.query(1) == "v1"


def test_old_records_are_dropped_while_no_new_ones_come(clock, group):
    group.mix()
    group.send("v1", 1)
    clock.advance(0.1)
    group.commit()
    for _ in range(40):
        group.list("v1", "v2")
        clock.advance(1.0)
    assert len(group.state.stream_batches) == 0 and group.query(1) == ""


def test_further_records_than_can_wait_make_streams_unknown(clock, group, monkeypatch):
    monkeypatch.setattr(stream_recorder, "MAX_PENDING_RECORDS", 2)
    group.list("v1")
    group.send("", 1, 2, 3)
    group.commit()
    assert group.query(1) == "" and group.leader.mixed_services == ("s",)


def test_malformed_records_are_not_proposed(clock, group):
    group.mix()
    group.leader.on_message(group.link, StreamRecords("s", "v1", b"seven.."))
    group.leader.on_message(group.link, StreamRecords("s", "v" * 65, identity(1)))
    clock.advance(0.1)
    group.commit()
    assert group.query(1) == "" and group.state.recorded_version(identity(1)) == ""


def test_record_that_the_state_has_is_not_logged_again(clock, group):
    group.mix()
    record(group.state, "v1", 1)
    group.send("v1", 1)
    clock.advance(0.1)
    assert group.proposals == []


def test_record_sent_while_a_second_version_is_being_committed_is_kept(clock, group):
    group.list("v1")
    group.leader.on_list([target("v1"), target("v2")])
    group.send("v1", 1)
    group.commit()
    clock.advance(0.1)
    group.commit()
    assert group.query(1) == "v1"


def test_stream_reported_with_two_versions_is_unknown(clock, group):
    group.mix()
    for version in ("v1", "v2"):
        group.send(version, 1)
        clock.advance(0.1)
        group.commit()
    assert group.query(1) == ""


def test_dropped_records_make_streams_unknown_for_a_whole_lifetime(
    clock, group, monkeypatch
):
    monkeypatch.setattr(stream_records, "MAX_STREAM_RECORDS", 2)
    group.list("v1")
    list_versions(group.state, "v1", "")
    group.commit()
    for _ in range(25):
        group.list("v1")
        clock.advance(1.0)
    group.send("", 1, 2, 3)
    clock.advance(0.1)
    group.commit()
    for _ in range(29):
        group.list("v1")
        clock.advance(1.0)
    assert group.query(4) == ""


def test_version_that_comes_back_while_it_leaves_is_listed_before_it_is_used(
    clock, group
):
    group.mix()
    group.leader.on_list([target("v2")])
    for _ in range(31):
        group.lose()
        clock.advance(1.0)
        group.leader.on_list([target("v2")])
    assert group.proposals
    group.leader.on_list([target("v1"), target("v2")])
    # A stream that began now would count as one of v2 after the commit.
    assert group.usable("v1") == []
    group.commit()
    clock.advance(0.1)
    assert group.usable("v1") == []
    group.commit()
    clock.advance(0.1)
    assert group.usable("v1") == ["v1"]


def test_query_that_waited_too_long_gets_no_answer(clock, group):
    group.mix()
    group.send("v1", 1)
    group.query(1)
    clock.advance(3.0)
    group.commit()
    assert group.answer(1) is None
