from __future__ import annotations

import attrs
import pytest

from berylnotch.consensus.errors import MembershipError
from berylnotch.consensus.members import check_change, voter_ids
from berylnotch.consensus.messages import Members, Role
from tests.test_consensus.group import Group, member, members_of

IDS = ("a/1", "b/1", "c/1")


@pytest.fixture
def group():
    return Group(*IDS)


def other_ids(identity):
    return [i for i in IDS if i != identity]


def with_learner(members, identity):
    return Members((*members.members, member(identity, Role.LEARNER)))


def with_promoted(members, identity):
    return Members(
        tuple(
            attrs.evolve(m, role=Role.VOTER) if m.replica == identity else m
            for m in members.members
        )
    )


def without(members, identity):
    return Members(tuple(m for m in members.members if m.replica != identity))


def commit_change(group, leader, new):
    group[leader].propose_members(group.now, new)
    group.deliver()
    assert group[leader].members_index <= group[leader].commit


@pytest.mark.parametrize(
    ("new", "reason"),
    [
        (members_of("a/1"), "one member at a time"),
        (members_of(*IDS), "one member at a time"),
        (members_of(*IDS, "d/1"), "learner first"),
        (members_of(*IDS, "a/1"), "twice"),
    ],
)
def test_unsafe_changes_are_refused(new, reason):
    with pytest.raises(MembershipError, match=reason):
        check_change(members_of(*IDS), new)


def test_removal_of_the_last_voter_is_refused():
    with pytest.raises(MembershipError, match="needs a voter"):
        check_change(members_of("a/1"), Members())


def test_second_uncommitted_change_is_refused(group):
    leader = group.elect()
    members = group[leader].members
    group.add_node("d/1")
    group[leader].propose_members(group.now, with_learner(members, "d/1"))
    with pytest.raises(MembershipError, match="not yet committed"):
        group[leader].propose_members(group.now, group[leader].members)


def test_no_change_before_the_leader_has_committed_an_entry(group):
    group.advance(0.9)
    while not any(group[i].is_leader for i in IDS):
        group.now += 0.05
        for identity in IDS:
            group[identity].tick(group.now)
        while not any(group[i].is_leader for i in IDS):
            group.collect_messages()
            if not group.undelivered:
                break
            group.deliver_message(group.undelivered.pop(0))
    (leader,) = [i for i in IDS if group[i].is_leader]
    new = without(group[leader].members, other_ids(leader)[0])
    with pytest.raises(MembershipError, match="not yet committed an entry"):
        group[leader].propose_members(group.now, new)


def test_replacing_a_failed_member_survives_a_second_failure(group):
    leader = group.elect()
    failed, remaining = other_ids(leader)
    group.propose(leader, *[b"%d" % i for i in range(40)])
    group.isolated.add(failed)
    group.add_node("d/1")
    members = group[leader].members
    group[leader].propose_members(group.now, with_learner(members, "d/1"))
    group.isolated.add("d/1")
    group.deliver()
    with pytest.raises(MembershipError, match="not caught up"):
        group[leader].propose_members(
            group.now, with_promoted(group[leader].members, "d/1")
        )
    group.isolated.remove("d/1")
    group.advance(0.5)
    assert group[leader].is_caught_up(group.now, "d/1")
    commit_change(group, leader, with_promoted(group[leader].members, "d/1"))
    commit_change(group, leader, without(group[leader].members, failed))
    group.isolated.add(leader)
    new = group.elect()
    group.propose(new, b"after")
    group.advance(0.5)
    expected = [b"%d" % i for i in range(40)] + [b"after"]
    assert group.nodes["d/1"].applied == expected
    assert group.nodes[remaining].applied == expected


def test_learner_does_not_count_towards_the_quorum(group):
    leader = group.elect()
    group.add_node("d/1")
    commit_change(group, leader, with_learner(group[leader].members, "d/1"))
    group.isolated.update(other_ids(leader))
    group[leader].propose(group.now, b"x")
    group.deliver()
    assert group[leader].commit < group[leader].last_index
    group.advance(1.0)
    assert not group[leader].is_leader


def test_removed_replica_does_not_disrupt_the_leader(group):
    """A replica that missed its own removal keeps standing for election."""
    leader = group.elect()
    removed = other_ids(leader)[0]
    group.isolated.add(removed)
    commit_change(group, leader, without(group[leader].members, removed))
    term = group[leader].term
    group.isolated.clear()
    group.advance(10)
    assert group.leaders == [leader]
    assert group[leader].term == term


def test_leader_that_removed_itself_steps_down(group):
    leader = group.elect()
    group[leader].propose_members(group.now, without(group[leader].members, leader))
    group.deliver()
    assert not group[leader].is_leader
    new = group.elect()
    assert new != leader
    assert leader not in voter_ids(group[new].members)


def test_leader_with_uncommitted_removal_can_be_elected_again():
    """The other replicas may be unable to elect a leader without its vote.

    Of four replicas, one has failed, and only the log of the former leader holds the
    removal of that leader.
    """
    ids = (*IDS, "d/1")
    group = Group(*ids)
    leader = group.elect()
    failed = next(i for i in ids if i != leader)
    group.isolated.update(ids)
    group.isolated.remove(leader)
    group[leader].propose_members(group.now, without(group[leader].members, leader))
    group.advance(2.0)
    group.isolated = {failed}
    new = group.elect()
    assert new != leader
    assert leader not in voter_ids(group[new].members)
