"""Quorum, rules of membership changes and encoding of the membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.errors import MembershipError
from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.transport.packing import pack, unpack

if TYPE_CHECKING:
    from collections.abc import Iterable

#: First byte of every Cap'n Proto message; a packed message never begins with it.
_CAPNP_FIRST_BYTE = b"\x00"


def voter_ids(members: Members) -> frozenset[str]:
    """Return the replica ids of the voters."""
    return frozenset(m.replica for m in members.members if m.role is Role.VOTER)


def quorum_size(members: Members) -> int:
    """Return the number of voters that form a majority."""
    return len(voter_ids(members)) // 2 + 1


def find_member(members: Members, replica: str) -> Member | None:
    """Return the member with this replica id, or None."""
    return next((m for m in members.members if m.replica == replica), None)


def has_quorum(members: Members, replicas: Iterable[str]) -> bool:
    """Return whether ``replicas`` include a majority of the voters."""
    return len(voter_ids(members).intersection(replicas)) >= quorum_size(members)


def check_change(old: Members, new: Members) -> None:
    """Check that ``new`` differs from ``old`` by one allowed change.

    One change adds a learner, promotes a learner, removes a member or changes a
    member's address. Any majority of the old voters and any majority of the new ones
    then share a voter, so two leaders cannot be elected in one term.

    Raises
    ------
    MembershipError
        If the difference is not one of these changes.
    """
    before = {member.replica: member for member in old.members}
    after = {member.replica: member for member in new.members}
    if len(after) != len(new.members):
        raise MembershipError("a replica is listed twice")
    changed = [
        replica
        for replica in before.keys() | after.keys()
        if before.get(replica) != after.get(replica)
    ]
    if len(changed) != 1:
        raise MembershipError(f"one member at a time may change, not {len(changed)}")
    member = after.get(changed[0])
    if member is not None and member.replica not in before:
        if member.role is not Role.LEARNER:
            raise MembershipError(f"{member.replica} must be a learner first")
    if not voter_ids(new):
        raise MembershipError("a group needs a voter")


def encode_members(members: Members) -> bytes:
    """Return the payload of a MEMBERS entry."""
    return pack(members)


def decode_members(payload: bytes) -> Members:
    """Return the members of a MEMBERS entry's payload."""
    if payload.startswith(_CAPNP_FIRST_BYTE):
        # Logs written before version 0.2 hold Cap'n Proto messages.
        from berylnotch.transport.codec import decode

        return decode(payload)
    return unpack(payload, (Members,))
