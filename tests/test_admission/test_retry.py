"""Retries are made only where they are safe and within the budget."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from berylnotch.admission.retry import (
    FailedAttempt,
    RetryBudget,
    RetryDecision,
    RetrySettings,
    decide_retry,
)
from berylnotch.streams.actions import RunStatus

SETTINGS = RetrySettings()


@given(
    number=st.integers(1, 5),
    is_idempotent=st.booleans(),
    run_status=st.sampled_from(RunStatus),
    remaining_s=st.floats(-1, 3),
    has_budget=st.booleans(),
)
def test_a_retry_is_always_safe_and_in_time(
    number, is_idempotent, run_status, remaining_s, has_budget
):
    attempt = FailedAttempt(
        number, is_idempotent, run_status, deadline=remaining_s, expected_s=1.0
    )
    decision = decide_retry(SETTINGS, 0.0, attempt, has_budget)
    if decision is RetryDecision.RETRY:
        assert is_idempotent or run_status is RunStatus.NOT_RUN
        assert run_status is not RunStatus.RAN
        assert number < SETTINGS.max_attempts and remaining_s > 1.0 and has_budget


def test_idempotent_request_of_unknown_outcome_is_repeated():
    attempt = FailedAttempt(1, True, RunStatus.UNKNOWN, deadline=5.0)
    assert decide_retry(SETTINGS, 0.0, attempt, True) is RetryDecision.RETRY


@given(st.lists(st.sampled_from(["first", "retry", "restart"]), max_size=120))
def test_retries_of_processes_in_one_place_stay_within_the_ratio(steps):
    """A process that starts with a reserve adds it to that of its predecessor."""
    settings = RetrySettings(ratio=0.2, reserve=2.0)
    budget, spent, earned = RetryBudget(settings), [0], [0]
    for step in steps:
        if step == "restart":
            budget = RetryBudget(settings)
        elif step == "first":
            budget.earn()
        is_spent = step == "retry" and budget.spend()
        spent.append(spent[-1] + is_spent)
        earned.append(earned[-1] + (step == "first"))
        for begin in range(len(spent)):
            allowed = settings.reserve + settings.ratio * (earned[-1] - earned[begin])
            assert spent[-1] - spent[begin] <= allowed + 1e-9


def test_budget_saves_no_more_than_its_reserve():
    budget = RetryBudget(SETTINGS)
    for _ in range(1000):
        budget.earn()
    assert sum(budget.spend() for _ in range(50)) == SETTINGS.reserve


def test_reduced_reserve_applies_to_saved_retries():
    budget = RetryBudget(SETTINGS)
    for _ in range(1000):
        budget.earn()
    budget.resize(RetrySettings(reserve=2.0))
    assert sum(budget.spend() for _ in range(50)) == 2
