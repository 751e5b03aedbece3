"""First membership of a new group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from berylnotch.consensus.errors import BootstrapError
from berylnotch.consensus.members import encode_members, voters
from berylnotch.consensus.messages import Entry, EntryKind, Members
from berylnotch.consensus.state import HardState, Ready

if TYPE_CHECKING:
    from berylnotch.consensus.state import Recovered

#: Index and term of the entry that begins every group.
FIRST_INDEX = 1
FIRST_TERM = 1


def bootstrap(recovered: Recovered, members: Members) -> Recovered:
    """Return the state of a member of a new group.

    Every member gets the same ``members`` and so the same first entry; a
    repeated request gives the same result. It is made durable by
    ``storage.save(first_ready(result))``.

    Raises
    ------
    BootstrapError
        If the replica holds another log or is not a voter among the members.
    """
    if recovered.identity not in voters(members):
        raise BootstrapError(f"{recovered.identity} is not a voter of the new group")
    ordered = Members(tuple(sorted(members.members, key=lambda m: m.replica)))
    payload = encode_members(ordered)
    entry = Entry(FIRST_INDEX, FIRST_TERM, EntryKind.MEMBERS, payload)
    if recovered.entries[:1] == (entry,):
        return recovered
    if recovered.entries or recovered.snapshot:
        raise BootstrapError(f"{recovered.identity} already holds a log")
    # A member that began earlier may have got this replica's vote already.
    term = max(FIRST_TERM, recovered.hard_state.term)
    hard_state = HardState(term, recovered.hard_state.voted_for)
    return attrs.evolve(recovered, hard_state=hard_state, entries=(entry,))


def first_ready(recovered: Recovered) -> Ready:
    """Return the work that makes a bootstrapped state durable."""
    return Ready(hard_state=recovered.hard_state, entries=recovered.entries)
