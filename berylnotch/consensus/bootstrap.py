"""Initial log and membership of a new group."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from berylnotch.consensus.errors import BootstrapError
from berylnotch.consensus.members import encode_members, voter_ids
from berylnotch.consensus.messages import Entry, EntryKind, Members
from berylnotch.consensus.state import HardState, Ready

if TYPE_CHECKING:
    from berylnotch.consensus.state import Recovered

#: Index and term of the first entry of every group's log.
FIRST_INDEX = 1
FIRST_TERM = 1


def bootstrap(recovered: Recovered, members: Members) -> Recovered:
    """Return the initial state of a member of a new group.

    Every member must be given the same ``members``, so that all logs begin with the
    same entry. Repeated calls return the same result. The result becomes durable with
    ``storage.save(first_ready(result))``.

    Raises
    ------
    BootstrapError
        If the replica already holds another log, or is not a voter in ``members``.
    """
    if recovered.identity not in voter_ids(members):
        raise BootstrapError(f"{recovered.identity} is not a voter of the new group")
    sorted_members = Members(tuple(sorted(members.members, key=lambda m: m.replica)))
    payload = encode_members(sorted_members)
    entry = Entry(FIRST_INDEX, FIRST_TERM, EntryKind.MEMBERS, payload)
    if recovered.entries[:1] == (entry,):
        return recovered
    if recovered.entries or recovered.snapshot:
        raise BootstrapError(f"{recovered.identity} already holds a log")
    # A member that was bootstrapped earlier may already have this replica's vote, so
    # the term and the vote must not go back.
    term = max(FIRST_TERM, recovered.hard_state.term)
    hard_state = HardState(term, recovered.hard_state.voted_for)
    return attrs.evolve(recovered, hard_state=hard_state, entries=(entry,))


def first_ready(recovered: Recovered) -> Ready:
    """Return the `Ready` that makes a bootstrapped state durable when saved."""
    return Ready(hard_state=recovered.hard_state, entries=recovered.entries)
