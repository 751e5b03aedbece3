"""Exhaustive check of the replication model and its mutations."""

from __future__ import annotations

import pytest

from spec.checking import counterexample, holds, replay
from spec.replication import Bounds, Mutation, Replication


@pytest.mark.parametrize(
    "bounds",
    [
        pytest.param(Bounds(terms=3, entries=2), id="log"),
        pytest.param(Bounds(terms=3, entries=1, lost_disks=1), id="lost-disk"),
        pytest.param(
            Bounds(("a", "b"), ("c",), terms=3, entries=2, changes=1), id="members"
        ),
        pytest.param(
            Bounds(terms=2, entries=2, changes=1, lost_disks=1),
            id="members-and-lost-disk",
        ),
    ],
)
def test_holds_in_every_state(bounds):
    assert holds(Replication(bounds).protocol())


@pytest.mark.parametrize(
    ("mutation", "bounds", "last_step"),
    [
        (
            Mutation.VOTE_NOT_DURABLE,
            Bounds(terms=2, entries=1),
            "leads term 2 too",
        ),
        (
            Mutation.SHORT_LOG_ELECTED,
            Bounds(terms=2, entries=1),
            "commits 1 entries in term 2",
        ),
        (
            Mutation.OLD_TERM_COMMIT,
            Bounds(terms=4, entries=1, candidates="ab"),
            "commits 1 entries in term 4",
        ),
        (
            Mutation.DISK_KEEPS_ID,
            Bounds(terms=2, entries=1, lost_disks=1),
            "leads term 2 too",
        ),
        (
            Mutation.TWO_AT_ONCE,
            Bounds(terms=2, entries=2, changes=1),
            "leads term 2 too",
        ),
    ],
    ids=lambda value: value.name.lower() if isinstance(value, Mutation) else "",
)
def test_each_rule_is_needed(mutation, bounds, last_step):
    trace = counterexample(Replication(bounds, mutation).protocol())
    assert trace[-1].endswith(last_step)


def test_model_is_not_vacuous():
    """Two entries can be committed after a disk loss."""
    model = Replication(Bounds(terms=2, entries=2, lost_disks=1)).protocol()
    model.invariants = {
        "nothing": lambda state: len(state["committed"]) < 2 or not state["lost_disks"]
    }
    assert "loses its disk" in " ".join(counterexample(model))


EARLY_CHANGE_TRACE = (
    "a changes the voters to ['a', 'c', 'd']",
    "b asks for votes in term 2",
    "c votes for b in term 2",
    "d votes for b in term 2",
    "b leads term 2",
    "b changes the voters to ['b', 'c', 'd']",
    "c acknowledges 1 entries in term 2",
    "b commits 1 entries in term 2",
    "a asks for votes in term 2",
    "a asks for votes in term 3",
    "d votes for a in term 3",
    "a leads term 3",
    "a appends a command",
    "d acknowledges 2 entries in term 3",
    "a commits 2 entries in term 3",
)


def replay_early_change(mutation):
    """Return the states of a membership change before an entry of the own term."""
    bounds = Bounds(tuple("abcd"), terms=3, entries=2, changes=1)
    return replay(Replication(bounds, mutation).protocol(), EARLY_CHANGE_TRACE)


def test_membership_change_before_commit_in_own_term_is_unsafe():
    states = replay_early_change(Mutation.CHANGE_TOO_EARLY)
    assert len(states) == len(EARLY_CHANGE_TRACE) + 1
    assert states[-1].overwritten
    assert not any(state.overwritten for state in states[:-1])
    assert len(replay_early_change(Mutation.NONE)) == 1
