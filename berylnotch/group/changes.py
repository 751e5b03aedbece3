"""Choice of the next membership change of the controller group."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import evolve, frozen

from berylnotch.consensus.members import voter_ids
from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.group.messages import JoinRequest
from berylnotch.group.settings import GroupSettings


@frozen
class GroupView:
    """The leader's knowledge of its group.

    Parameters
    ----------
    own_replica : str
        Replica id of the leader.
    members : Members
        Current membership.
    candidates : mapping of str to JoinRequest
        Unexpired requests to join, by replica id.
    silence_s : mapping of str to float
        Seconds since the last answer of each other member, by replica id.
    caught_up : frozenset of str
        Replica ids of the members that hold nearly the whole log.
    """

    own_replica: str
    members: Members
    candidates: Mapping[str, JoinRequest]
    silence_s: Mapping[str, float]
    caught_up: frozenset[str]


def next_change(view: GroupView, settings: GroupSettings) -> Members | None:
    """Return the members after the change that is due, or None.

    A member that lost its disk asks to join under another replica id from the same
    address, and its old replica id is removed first. Learners are promoted before
    silent voters are removed, so that the group never shrinks more than necessary.
    """
    for change in (
        _remove_wiped_member,
        _promote_learner,
        _add_learner,
        _remove_silent_member,
    ):
        members = change(view, settings)
        if members is not None:
            return members
    return None


def _remove_wiped_member(view: GroupView, settings: GroupSettings) -> Members | None:
    """Remove a member that asks to join under another replica id."""
    candidate_addresses = {request.address for request in view.candidates.values()}
    for member in view.members.members:
        is_wiped = (
            member.address in candidate_addresses
            and member.replica not in view.candidates
        )
        if (
            is_wiped
            and member.replica != view.own_replica
            and _can_remove(view, member)
        ):
            return _members_without(view.members, member)
    return None


def _promote_learner(view: GroupView, settings: GroupSettings) -> Members | None:
    """Promote a learner that has caught up."""
    for member in view.members.members:
        if member.role is Role.LEARNER and member.replica in view.caught_up:
            promoted = evolve(member, role=Role.VOTER)
            others = _members_without(view.members, member).members
            return Members((*others, promoted))
    return None


def _add_learner(view: GroupView, settings: GroupSettings) -> Members | None:
    """Add a candidate as a learner, unless a member has its replica id or address."""
    member_replicas = {member.replica for member in view.members.members}
    member_addresses = {member.address for member in view.members.members}
    for replica, request in sorted(view.candidates.items()):
        if replica not in member_replicas and request.address not in member_addresses:
            learner = Member(
                request.name,
                replica,
                request.address,
                request.failure_domain,
                Role.LEARNER,
            )
            return Members((*view.members.members, learner))
    return None


def _remove_silent_member(view: GroupView, settings: GroupSettings) -> Members | None:
    """Remove a learner or voter that has not answered for too long."""
    voter_count = len(voter_ids(view.members))
    for member in view.members.members:
        if member.replica == view.own_replica:
            continue
        silence_s = view.silence_s.get(member.replica, 0.0)
        if member.role is Role.LEARNER:
            if silence_s > settings.replace_after_s:
                return _members_without(view.members, member)
            continue
        # An even number of voters tolerates no more failures than one voter fewer.
        is_spare = voter_count % 2 == 0 and voter_count > settings.min_voters
        limit_s = settings.replace_after_s if is_spare else settings.remove_after_s
        if silence_s > limit_s and voter_count > settings.min_voters:
            if _can_remove(view, member):
                return _members_without(view.members, member)
    return None


def _can_remove(view: GroupView, member: Member) -> bool:
    """Tell whether most of the voters left after the member's removal are answering.

    A learner can always be removed.
    """
    if member.role is Role.LEARNER:
        return True
    remaining = voter_ids(view.members) - {member.replica}
    answering = {r for r in remaining if view.silence_s.get(r, 0.0) < _ANSWER_TIMEOUT_S}
    return len(answering) * 2 > len(remaining)


def _members_without(members: Members, member: Member) -> Members:
    return Members(tuple(m for m in members.members if m.replica != member.replica))


#: Time since a voter's last answer below which the voter counts as answering, in
#: seconds. The value is the duration of one lease.
_ANSWER_TIMEOUT_S = 0.8
