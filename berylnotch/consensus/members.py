"""Rules of the group's membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.consensus.errors import MembershipError
from berylnotch.consensus.messages import Member, Members, Role
from berylnotch.transport.packing import pack, unpack

if TYPE_CHECKING:
    from collections.abc import Iterable

#: First byte of Cap'n Proto bytes; a packed message never begins with it.
_OLD_FIRST_BYTE = b"\x00"


def voters(members: Members) -> frozenset[str]:
    """Return the ids of the replicas that vote."""
    return frozenset(m.replica for m in members.members if m.role is Role.VOTER)


def quorum(members: Members) -> int:
    """Return how many voters are a majority."""
    return len(voters(members)) // 2 + 1


def find(members: Members, replica: str) -> Member | None:
    """Return the member with this replica id."""
    return next((m for m in members.members if m.replica == replica), None)


def has_quorum(members: Members, replicas: Iterable[str]) -> bool:
    """Return whether these replicas hold a majority of the voters."""
    return len(voters(members).intersection(replicas)) >= quorum(members)


def check_change(old: Members, new: Members) -> None:
    """Check that one change leads from ``old`` to ``new``.

    One change adds a learner, promotes a learner, removes a member or gives a
    member another address. So any majority before and after share a voter.

    Raises
    ------
    MembershipError
        If it is none of these.
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
    if not voters(new):
        raise MembershipError("a group needs a voter")


def encode_members(members: Members) -> bytes:
    """Return the payload of a MEMBERS entry."""
    return pack(members)


def decode_members(payload: bytes) -> Members:
    """Return the members of a MEMBERS entry's payload."""
    if payload.startswith(_OLD_FIRST_BYTE):
        # Logs written before version 0.2 hold Cap'n Proto bytes.
        from berylnotch.transport.codec import decode

        return decode(payload)
    return unpack(payload, (Members,))
