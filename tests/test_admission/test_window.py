"""Retry budget over a sliding window."""

from hypothesis import given
from hypothesis import strategies as st

from berylnotch.admission.retry import RetrySettings
from berylnotch.admission.window import WindowBudget

WINDOW_S = 10.0
SETTINGS = RetrySettings(ratio=0.2, reserve=3.0)


@given(
    st.lists(
        st.tuples(st.floats(0, 2.0), st.sampled_from(["first", "first", "retry"])),
        max_size=400,
    )
)
def test_no_window_exceeds_its_retry_budget(attempts):
    budget, now, first_attempts, retries = WindowBudget(SETTINGS, WINDOW_S), 0.0, [], []
    for pause_s, kind in attempts:
        now += pause_s
        if kind == "first":
            budget.earn(now)
            first_attempts.append(now)
        elif budget.spend(now):
            retries.append(now)
            start = now - WINDOW_S
            spent = sum(start <= at for at in retries)
            earned = sum(start <= at for at in first_attempts)
            assert spent <= SETTINGS.reserve + SETTINGS.ratio * earned + 1e-9


def test_burst_of_failures_can_use_the_whole_budget_of_the_window():
    # A token bucket capped at its reserve would allow only three retries.
    budget = WindowBudget(SETTINGS, WINDOW_S)
    for n in range(90):
        budget.earn(n / 10)
    assert sum(budget.spend(9.0) for _ in range(50)) == 21


def test_retries_count_until_they_leave_the_window():
    budget = WindowBudget(SETTINGS, WINDOW_S)
    assert [budget.spend(1.0) for _ in range(4)] == [True, True, True, False]
    assert not budget.has_room(10.9)
    assert budget.has_room(12.0)


def test_reduced_reserve_still_counts_earlier_retries():
    budget = WindowBudget(SETTINGS, WINDOW_S)
    assert budget.spend(1.0) and budget.spend(1.0)
    budget.resize(RetrySettings(ratio=0.2, reserve=1.0))
    assert budget.balance(1.0) == -1.0
    assert not budget.spend(2.0)
