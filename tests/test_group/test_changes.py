"""Choice of the next membership change of the controller group."""

from attrs import evolve

from berylnotch.consensus.members import check_change, voter_ids
from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.group.changes import GroupView, next_change
from berylnotch.group.messages import JoinRequest
from berylnotch.group.settings import GroupSettings

SETTINGS = GroupSettings()


def member(number, replica="first", role=Role.VOTER):
    address = f"10.0.0.{number}:1"
    return Member(address, f"{address}/{replica}", address, "north", role)


def join_request(number, replica):
    address = f"10.0.0.{number}:1"
    return JoinRequest(address, f"{address}/{replica}", address, "north")


def view(*members, join_requests=(), silent=(), caught_up=()):
    """Return a view of the first member; ``silent`` are pairs of member and seconds."""
    silence = {m.replica: 0.0 for m in members}
    silence.update({m.replica: seconds for m, seconds in silent})
    return GroupView(
        members[0].replica,
        Members(tuple(members)),
        {request.replica: request for request in join_requests},
        silence,
        frozenset(m.replica for m in caught_up),
    )


def checked_next_change(group_view):
    """Return the next members, after a check that they are a single change away."""
    members = next_change(group_view, SETTINGS)
    if members is not None:
        check_change(group_view.members, members)
    return members


def test_no_change_is_due_in_a_healthy_group():
    assert checked_next_change(view(member(1), member(2), member(3))) is None


def test_a_new_controller_becomes_a_learner_and_then_a_voter():
    group = [member(1), member(2), member(3)]
    members = checked_next_change(view(*group, join_requests=[join_request(4, "new")]))
    learner = members.members[-1]
    assert learner.role is Role.LEARNER
    assert checked_next_change(view(*group, learner)) is None
    members = checked_next_change(view(*group, learner, caught_up=[learner]))
    assert voter_ids(members) == {m.replica for m in (*group, learner)}


def test_a_wiped_member_is_removed_before_it_joins_again():
    group = [member(1), member(2), member(3)]
    group_view = view(
        *group, join_requests=[join_request(3, "again")], silent=[(group[2], 1.0)]
    )
    members = checked_next_change(group_view)
    assert group[2].replica not in voter_ids(members)
    members = checked_next_change(evolve(group_view, members=members))
    assert members.members[-1].replica == join_request(3, "again").replica


def test_a_wiped_member_stays_if_no_majority_of_the_others_answers():
    group = [member(1), member(2), member(3)]
    silent = [(group[1], 5.0), (group[2], 5.0)]
    assert (
        checked_next_change(
            view(*group, join_requests=[join_request(3, "again")], silent=silent)
        )
        is None
    )


def test_a_silent_voter_is_removed_after_the_limit_but_never_below_three_voters():
    group = [member(n) for n in range(1, 6)]
    over_limit_s = SETTINGS.remove_after_s + 1
    assert checked_next_change(view(*group, silent=[(group[4], 5.0)])) is None
    members = checked_next_change(view(*group, silent=[(group[4], over_limit_s)]))
    assert voter_ids(members) == {m.replica for m in group[:4]}
    assert (
        checked_next_change(view(*group[:3], silent=[(group[2], over_limit_s)])) is None
    )


def test_a_silent_voter_is_removed_sooner_once_its_replacement_votes():
    group = [member(n) for n in range(1, 7)]
    silent = [(group[1], SETTINGS.replace_after_s + 0.5)]
    members = checked_next_change(view(*group, silent=silent))
    assert group[1].replica not in voter_ids(members) and len(voter_ids(members)) == 5


def test_a_silent_learner_is_removed():
    learner = member(4, "new", Role.LEARNER)
    group = [member(1), member(2), member(3), learner]
    silent = [(learner, SETTINGS.replace_after_s + 0.5)]
    assert learner not in checked_next_change(view(*group, silent=silent)).members
