"""Exhaustive check of leases across restarts, and of the mutations of the model."""

from __future__ import annotations

import pytest

from spec.checking import counterexample, holds, replay
from spec.resumption import Bounds, Mutation, Resumption, lease_holders


@pytest.mark.parametrize(
    "bounds",
    [
        pytest.param(Bounds(terms=2, restarts=2), id="restarts"),
        pytest.param(Bounds(terms=3, restarts=0), id="terms"),
        pytest.param(Bounds(terms=2, restarts=1, removals=1), id="members"),
    ],
)
def test_at_most_one_lease_is_valid_in_every_state(bounds):
    assert holds(Resumption(bounds).protocol())


@pytest.mark.parametrize(
    ("mutation", "bounds", "last_step"),
    [
        (Mutation.NO_WAIT, Bounds(terms=2), "b answers c in term 2"),
        (Mutation.NO_WAIT_AFTER_RESTART, Bounds(terms=2), "c answers b in term 2"),
        (
            Mutation.OWN_SUPPORT_ONLY,
            Bounds(terms=3, restarts=0),
            "b answers c in term 3",
        ),
    ],
    ids=lambda value: value.name.lower() if isinstance(value, Mutation) else "",
)
def test_each_rule_is_needed(mutation, bounds, last_step):
    assert counterexample(Resumption(bounds, mutation).protocol())[-1] == last_step


#: Replica b loses the election of term 2 to c. After c has removed two of its own
#: voters, the two voters of b, a and b itself, are a majority of the remaining three.
STALE_CANDIDATE_TRACE = (
    "a restarts",
    "a may vote",
    "b asks as candidate in term 2",
    "c asks as candidate in term 2",
    "a votes for b in term 2",
    "d votes for c in term 2",
    "e votes for c in term 2",
    "c leads term 2",
    "d answers c in term 2",
    "e answers c in term 2",
    "c removes d in term 2",
    "a answers c in term 2",
    "b answers c in term 2",
    "c removes e in term 2",
    "a answers c in term 2",
    "b answers c in term 2",
    "a restarts",
    "b restarts",
    "a supports b in term 2",
    "b asks as resuming in term 3",
    "a votes for b in term 3",
    "b leads term 3",
    "a answers b in term 3",
)


def replay_stale_candidate(mutation):
    """Return the states of the attempt of the losing candidate to resume."""
    bounds = Bounds(tuple("abcde"), terms=3, removals=2, restarts=3)
    return replay(Resumption(bounds, mutation).protocol(), STALE_CANDIDATE_TRACE)


def test_followed_leader_must_be_durable():
    states = replay_stale_candidate(Mutation.FOLLOWED_NOT_SAVED)
    assert len(states) == len(STALE_CANDIDATE_TRACE) + 1
    assert [len(lease_holders(state)) for state in states[-3:]] == [1, 1, 2]
    states_without_fault = replay_stale_candidate(Mutation.NONE)
    assert (
        STALE_CANDIDATE_TRACE[len(states_without_fault) - 1] == "a supports b in term 2"
    )


def test_former_leader_resumes_while_voters_withhold_votes():
    labels = (
        "b answers a in term 1",
        "a restarts",
        "b restarts",
        "b supports a in term 1",
        "a asks as resuming in term 2",
        "b votes for a in term 2",
        "a leads term 2",
        "b answers a in term 2",
    )
    states = replay(Resumption(Bounds()).protocol(), labels)
    assert len(states) == len(labels) + 1
    assert lease_holders(states[-1]) == ["a"]
