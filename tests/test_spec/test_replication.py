"""Exhaustive check of the replication specification, and of its mutations."""

from __future__ import annotations

import pytest
from minicheck import check_safety

from spec.replication import Bounds, Mutation, Replication

#: Counterexamples are looked for among this many states.
MAX_MUTANT_STATES = 12_000

ONE_LEADER = "one leader in a term"
COMMITTED = "committed entries stay"


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
    result = check_safety(Replication(bounds).protocol())
    assert result["exhaustive"]
    assert {p["holds"] for p in result["properties"].values()} == {True}


@pytest.mark.parametrize(
    ("mutation", "bounds", "broken"),
    [
        (Mutation.VOTE_NOT_DURABLE, Bounds(terms=2, entries=1), ONE_LEADER),
        (Mutation.SHORT_LOG_ELECTED, Bounds(terms=2, entries=1), COMMITTED),
        (
            Mutation.OLD_TERM_COMMIT,
            Bounds(terms=4, entries=1, candidates="ab"),
            COMMITTED,
        ),
        (
            Mutation.DISK_KEEPS_ID,
            Bounds(terms=2, entries=1, lost_disks=1),
            COMMITTED,
        ),
        (Mutation.TWO_AT_ONCE, Bounds(terms=2, entries=2, changes=1), COMMITTED),
    ],
    ids=lambda value: value.name.lower() if isinstance(value, Mutation) else "",
)
def test_each_rule_is_needed(mutation, bounds, broken):
    model = Replication(bounds, mutation).protocol()
    result = check_safety(model, max_states=MAX_MUTANT_STATES)
    found = result["properties"][broken]
    assert found["holds"] is False
    assert found["counterexample"][-1]["label"]


def test_model_is_not_vacuous():
    """Each kind of step happens, and two entries get committed."""
    model = Replication(Bounds(terms=2, entries=2, changes=1, lost_disks=1)).protocol()
    model.invariants = {"nothing is committed": lambda s: len(s["committed"]) < 2}
    result = check_safety(model, max_states=MAX_MUTANT_STATES)
    assert result["properties"]["nothing is committed"]["holds"] is False
