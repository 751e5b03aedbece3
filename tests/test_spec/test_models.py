"""Check that the models hold within their bounds and that seeded faults are found."""

from __future__ import annotations

import pytest

from spec.checking import counterexample, holds
from spec.claims import Mutation as ClaimsMutation
from spec.claims import claims
from spec.fencing import Mutation as FencingMutation
from spec.fencing import fencing
from spec.grants import Mutation as GrantsMutation
from spec.grants import grants


def seeded_faults(mutations):
    return [mutation for mutation in mutations if mutation.name != "NONE"]


def test_claimed_request_runs_at_most_once():
    assert holds(claims())


def test_charges_of_every_window_stay_within_burst_and_rate():
    assert holds(grants())


def test_finished_order_is_not_undone_by_former_leader():
    assert holds(fencing())


@pytest.mark.parametrize("mutation", seeded_faults(ClaimsMutation))
def test_seeded_fault_runs_a_request_twice(mutation):
    trace = counterexample(claims(mutation))
    print(mutation.value, *trace, sep="\n  ")
    assert sum("send" in step for step in trace) == 2


@pytest.mark.parametrize("mutation", seeded_faults(GrantsMutation))
def test_seeded_fault_charges_too_much(mutation):
    needs_crash = mutation is GrantsMutation.IDENTITY_KEPT
    trace = counterexample(grants(mutation, crashes=int(needs_crash)))
    print(mutation.value, *trace, sep="\n  ")
    assert trace[-1].endswith("charge")


@pytest.mark.parametrize("mutation", seeded_faults(FencingMutation))
def test_seeded_fault_undoes_a_finished_order(mutation):
    trace = counterexample(fencing(mutation))
    print(mutation.value, *trace, sep="\n  ")
    assert trace
