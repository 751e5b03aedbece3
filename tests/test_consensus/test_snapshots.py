from __future__ import annotations

import attrs
import pytest

from berylnotch.consensus.messages import SnapshotRequest
from berylnotch.consensus.settings import ConsensusSettings
from tests.test_consensus.group import Group

IDS = ("a/1", "b/1", "c/1")


@pytest.fixture
def lagging_group():
    """Return a group, its leader and a follower that needs a snapshot."""
    group = Group(*IDS)
    leader = group.elect()
    follower = next(i for i in IDS if i != leader)
    group.isolated.add(follower)
    group.propose(leader, *[b"%d" % i for i in range(60)])
    group.advance(0.2)
    group.nodes[leader].compact()
    return group, leader, follower


def test_snapshot_is_due_after_enough_entries_or_bytes():
    settings = ConsensusSettings(snapshot_every_entries=50, snapshot_every_bytes=1000)
    group = Group("a/1", settings=settings)
    leader = group.elect()
    for payloads in ([b"x" * 1000], [b""] * 50):
        assert not group[leader].is_snapshot_due
        group.propose(leader, *payloads)
        assert group[leader].is_snapshot_due
        group.nodes[leader].compact()


def test_installed_snapshot_is_not_due_again():
    group = Group(*IDS, settings=ConsensusSettings(snapshot_every_bytes=1000))
    leader = group.elect()
    follower = next(i for i in IDS if i != leader)
    group.propose(leader, b"x" * 900)
    group.advance(0.2)
    group.isolated.add(follower)
    group.propose(leader, *[b"y" * 90] * 3000)
    group.nodes[leader].compact()
    group.isolated.clear()
    group.advance(2)
    assert group[follower].applied == group[leader].applied
    assert not group[follower].is_snapshot_due


def test_follower_catches_up_from_snapshot_parts(lagging_group):
    group, leader, follower = lagging_group
    group.isolated.clear()
    group.advance(2)
    assert group.nodes[follower].applied == group.nodes[leader].applied
    group.nodes[follower].start(group.now)
    group.advance(2)
    assert group.nodes[follower].applied == group.nodes[leader].applied


def test_transfer_continues_at_a_lost_part(lagging_group):
    group, leader, follower = lagging_group
    group.isolated.clear()
    offsets = []
    deliver_message = group.deliver_message

    def drop_third_part(item):
        message = item[1].message
        if isinstance(message, SnapshotRequest):
            offsets.append(message.offset)
            if len(offsets) == 3:
                return
        deliver_message(item)

    group.deliver_message = drop_third_part
    group.advance(3)
    assert group.nodes[follower].applied == group.nodes[leader].applied
    assert offsets == [0, 64, 128, *range(128, offsets[-1] + 1, 64)]


def test_duplicate_parts_leave_the_snapshot_intact(lagging_group):
    group, leader, follower = lagging_group
    group.isolated.clear()
    offsets = []
    deliver_message = group.deliver_message

    def deliver_twice(item):
        deliver_message(item)
        if isinstance(item[1].message, SnapshotRequest):
            offsets.append(item[1].message.offset)
            deliver_message(item)

    group.deliver_message = deliver_twice
    group.advance(3)
    assert group.nodes[follower].applied == group.nodes[leader].applied
    assert offsets == sorted(offsets)


def test_unreachable_replica_does_not_keep_an_old_snapshot(lagging_group):
    """An old snapshot for a replica that never answers would stay in memory."""
    group, leader, follower = lagging_group
    group.advance(0.2)
    old = group[leader].progress[follower].snapshot
    group.propose(leader, b"x")
    group.nodes[leader].compact()
    group.advance(10)
    newest = group[leader].progress[follower].snapshot
    assert old.last_index < newest.last_index


def test_kept_entries_make_a_snapshot_unnecessary(lagging_group):
    group, leader, follower = lagging_group
    group.isolated.clear()
    group.advance(2)
    group.isolated.add(follower)
    group.propose(leader, b"x", b"y")
    group.nodes[leader].compact()
    group.isolated.clear()
    deliver_message = group.deliver_message
    sent = []
    group.deliver_message = lambda item: (
        sent.append(item[1].message),
        deliver_message(item),
    )
    group.advance(1)
    assert group.nodes[follower].applied[-2:] == [b"x", b"y"]
    assert not [m for m in sent if isinstance(m, SnapshotRequest)]


def test_leader_detects_a_replica_that_lost_acknowledged_entries():
    group = Group(*IDS)
    leader = group.elect()
    follower = next(i for i in IDS if i != leader)
    older_state = group.nodes[follower].disk.recovered
    group.propose(leader, *[b"%d" % i for i in range(20)])
    group.advance(0.5)
    assert not group[leader].progress[follower].has_lost_entries
    group.nodes[follower].disk.recovered = attrs.evolve(older_state)
    group.nodes[follower].start(group.now)
    group.advance(0.5)
    assert group[leader].progress[follower].has_lost_entries
