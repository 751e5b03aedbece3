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


@given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_within_the_ratio_to_first_attempts(attempts):
    budget = RetryBudget(SETTINGS)
    earned = spent = 0
    for is_first in attempts:
        if is_first:
            budget.earn()
            earned += 1
        else:
            spent += budget.spend()
        assert spent <= SETTINGS.reserve + SETTINGS.ratio * earned + 1e-9
