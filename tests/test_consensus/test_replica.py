from __future__ import annotations

import pytest

from berylnotch.consensus.errors import MembershipError, NotLeaderError
from berylnotch.consensus.messages import Members, Role
from tests.test_consensus.group import Group, member

IDS = ("a/1", "b/1", "c/1")


@pytest.fixture
def group():
    return Group(*IDS)


def test_group_elects_replicates_and_restarts(group):
    leader = group.elect()
    group.propose(leader, b"x", b"y")
    group.advance(0.2)
    assert [group.nodes[i].applied for i in IDS] == [[b"x", b"y"]] * 3
    for identity in IDS:
        group.nodes[identity].start(group.now)
    leader = group.elect()
    group.advance(0.2)
    assert [group.nodes[i].applied for i in IDS] == [[b"x", b"y"]] * 3


def test_follower_names_the_leader(group):
    leader = group.elect()
    follower = next(i for i in IDS if i != leader)
    with pytest.raises(NotLeaderError) as caught:
        group[follower].propose(group.now, b"x")
    assert caught.value.leader_address == f"{leader}:1"


def test_failover_keeps_committed_entries(group):
    old = group.elect()
    group.propose(old, b"x")
    group.isolated.add(old)
    new = group.elect()
    assert new != old
    group.propose(new, b"y")
    group.isolated.clear()
    group.advance(2)
    assert group.leaders == [new]
    assert group.nodes[old].applied == [b"x", b"y"]


def test_learner_that_never_answered_is_not_promoted(group):
    leader = group[group.elect()]
    members = leader.members.members
    learner = member("d/1", Role.LEARNER)
    leader.propose_members(group.now, Members((*members, learner)))
    group.advance(0.3)
    assert leader.members_index <= leader.commit
    with pytest.raises(MembershipError):
        leader.propose_members(group.now, Members((*members, member("d/1"))))
