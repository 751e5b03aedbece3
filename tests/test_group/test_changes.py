"""Which change of the group's members is due."""

from attrs import evolve

from berylnotch.consensus.members import check_change, voters
from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.group.changes import GroupView, next_change
from berylnotch.group.messages import JoinRequest
from berylnotch.group.settings import GroupSettings

SETTINGS = GroupSettings()


def member(number, replica="first", role=Role.VOTER):
    address = f"10.0.0.{number}:1"
    return Member(address, f"{address}/{replica}", address, "north", role)


def ask(number, replica):
    address = f"10.0.0.{number}:1"
    return JoinRequest(address, f"{address}/{replica}", address, "north")


def view(*members, asked=(), silent=(), caught_up=()):
    """Return a view; ``silent`` are pairs of member and seconds."""
    silence = {m.replica: 0.0 for m in members}
    silence.update({m.replica: seconds for m, seconds in silent})
    return GroupView(
        members[0].replica,
        Members(tuple(members)),
        {request.replica: request for request in asked},
        silence,
        frozenset(m.replica for m in caught_up),
    )


def step(seen):
    """Return the next members, after checking that one change leads there."""
    members = next_change(seen, SETTINGS)
    if members is not None:
        check_change(seen.members, members)
    return members


def test_nothing_is_due_in_a_healthy_group():
    assert step(view(member(1), member(2), member(3))) is None


def test_a_new_controller_becomes_a_learner_and_then_a_voter():
    group = [member(1), member(2), member(3)]
    members = step(view(*group, asked=[ask(4, "new")]))
    learner = members.members[-1]
    assert learner.role is Role.LEARNER
    assert step(view(*group, learner)) is None
    members = step(view(*group, learner, caught_up=[learner]))
    assert voters(members) == {m.replica for m in (*group, learner)}


def test_a_wiped_member_leaves_before_it_joins_again():
    group = [member(1), member(2), member(3)]
    seen = view(*group, asked=[ask(3, "again")], silent=[(group[2], 1.0)])
    members = step(seen)
    assert group[2].replica not in voters(members)
    members = step(evolve(seen, members=members))
    assert members.members[-1].replica == ask(3, "again").replica


def test_a_wiped_member_stays_if_the_others_are_no_majority():
    group = [member(1), member(2), member(3)]
    silent = [(group[1], 5.0), (group[2], 5.0)]
    assert step(view(*group, asked=[ask(3, "again")], silent=silent)) is None


def test_a_silent_voter_leaves_after_a_while_but_never_below_three():
    group = [member(n) for n in range(1, 6)]
    late = SETTINGS.remove_after_s + 1
    assert step(view(*group, silent=[(group[4], 5.0)])) is None
    members = step(view(*group, silent=[(group[4], late)]))
    assert voters(members) == {m.replica for m in group[:4]}
    assert step(view(*group[:3], silent=[(group[2], late)])) is None


def test_a_replaced_voter_leaves_soon_once_its_successor_votes():
    group = [member(n) for n in range(1, 7)]
    silent = [(group[1], SETTINGS.replace_after_s + 0.5)]
    members = step(view(*group, silent=silent))
    assert group[1].replica not in voters(members) and len(voters(members)) == 5


def test_a_silent_learner_leaves():
    learner = member(4, "new", Role.LEARNER)
    group = [member(1), member(2), member(3), learner]
    silent = [(learner, SETTINGS.replace_after_s + 0.5)]
    assert learner not in step(view(*group, silent=silent)).members
