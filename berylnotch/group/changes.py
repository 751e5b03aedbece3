"""Choice of the next change to the group's members."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import evolve, frozen

from berylnotch.consensus.members import voters
from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.group.messages import JoinRequest
from berylnotch.group.settings import GroupSettings


@frozen
class GroupView:
    """What a leader knows of its group.

    Parameters
    ----------
    own : str
        Replica id of the leader.
    members : Members
        Membership in force.
    candidates : mapping of str to JoinRequest
        Fresh requests to join, by replica id.
    silence_s : mapping of str to float
        Seconds since each other member answered, by replica id.
    caught_up : frozenset of str
        Members that hold nearly the whole log.
    """

    own: str
    members: Members
    candidates: Mapping[str, JoinRequest]
    silence_s: Mapping[str, float]
    caught_up: frozenset[str]


def next_change(view: GroupView, settings: GroupSettings) -> Members | None:
    """Return the members after the change that is due, or None.

    A member whose disk was lost comes back under another replica id at the same
    address, and its earlier self leaves first. Learners are promoted before silent
    voters leave, so that the group never gets smaller than it has to.
    """
    for change in (_drop_wiped, _promote, _add, _drop_silent):
        members = change(view, settings)
        if members is not None:
            return members
    return None


def _drop_wiped(view: GroupView, settings: GroupSettings) -> Members | None:
    addresses = {request.address for request in view.candidates.values()}
    for member in view.members.members:
        is_back = member.address in addresses and member.replica not in view.candidates
        if is_back and member.replica != view.own and _may_drop(view, member):
            return _without(view.members, member)
    return None


def _promote(view: GroupView, settings: GroupSettings) -> Members | None:
    for member in view.members.members:
        if member.role is Role.LEARNER and member.replica in view.caught_up:
            promoted = evolve(member, role=Role.VOTER)
            rest = _without(view.members, member).members
            return Members((*rest, promoted))
    return None


def _add(view: GroupView, settings: GroupSettings) -> Members | None:
    known = {member.replica for member in view.members.members}
    taken = {member.address for member in view.members.members}
    for replica, request in sorted(view.candidates.items()):
        if replica not in known and request.address not in taken:
            learner = Member(
                request.name,
                replica,
                request.address,
                request.failure_domain,
                Role.LEARNER,
            )
            return Members((*view.members.members, learner))
    return None


def _drop_silent(view: GroupView, settings: GroupSettings) -> Members | None:
    count = len(voters(view.members))
    for member in view.members.members:
        if member.replica == view.own:
            continue
        silence_s = view.silence_s.get(member.replica, 0.0)
        if member.role is Role.LEARNER:
            if silence_s > settings.replace_after_s:
                return _without(view.members, member)
            continue
        # An even group survives no more failures than with one voter fewer.
        is_spare = count % 2 == 0 and count > settings.min_voters
        limit_s = settings.replace_after_s if is_spare else settings.remove_after_s
        if silence_s > limit_s and count > settings.min_voters:
            if _may_drop(view, member):
                return _without(view.members, member)
    return None


def _may_drop(view: GroupView, member: Member) -> bool:
    """Tell whether the voters that stay and answer are a majority of those left."""
    if member.role is Role.LEARNER:
        return True
    left = voters(view.members) - {member.replica}
    answering = {r for r in left if view.silence_s.get(r, 0.0) < _ANSWERING_S}
    return len(answering) * 2 > len(left)


def _without(members: Members, member: Member) -> Members:
    return Members(tuple(m for m in members.members if m.replica != member.replica))


#: Silence, in seconds, up to which a voter counts as answering: one lease.
_ANSWERING_S = 0.8
