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
def test_no_window_holds_more_retries_than_it_may(calls):
    budget, now, firsts, retries = WindowBudget(SETTINGS, WINDOW_S), 0.0, [], []
    for pause_s, kind in calls:
        now += pause_s
        if kind == "first":
            budget.earn(now)
            firsts.append(now)
        elif budget.spend(now):
            retries.append(now)
            start = now - WINDOW_S
            spent = sum(start <= at for at in retries)
            earned = sum(start <= at for at in firsts)
            assert spent <= SETTINGS.reserve + SETTINGS.ratio * earned + 1e-9


def test_a_burst_of_failures_uses_what_the_window_earned():
    # A token bucket that saves no more than its reserve would allow three.
    budget = WindowBudget(SETTINGS, WINDOW_S)
    for n in range(90):
        budget.earn(n / 10)
    assert sum(budget.spend(9.0) for _ in range(50)) == 21


def test_what_was_spent_counts_until_the_window_is_over():
    budget = WindowBudget(SETTINGS, WINDOW_S)
    assert [budget.spend(1.0) for _ in range(4)] == [True, True, True, False]
    assert not budget.has_room(10.9)
    assert budget.has_room(12.0)


def test_smaller_bounds_count_what_was_spent():
    budget = WindowBudget(SETTINGS, WINDOW_S)
    assert budget.spend(1.0) and budget.spend(1.0)
    budget.resize(RetrySettings(ratio=0.2, reserve=1.0))
    assert budget.balance(1.0) == -1.0
    assert not budget.spend(2.0)
