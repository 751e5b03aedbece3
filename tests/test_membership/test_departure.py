"""Schedule of a planned stop.

The tests guard against answers or connections that outlast the process.
"""

import math

import pytest

from berylnotch.membership.departure import plan_stop


@pytest.mark.parametrize("stop_s", [0.2, 1.0, 8.0, 60.0])
def test_answers_end_before_connections_and_these_before_the_kill(stop_s):
    stop = plan_stop(100.0, stop_s, address_lifetime_s=3.75)
    assert 100.0 <= stop.accept_until <= stop.answer_by < stop.close_by < stop.exit_by
    assert stop.exit_by == 100.0 + stop_s


def test_process_stays_while_callers_have_its_address():
    stop = plan_stop(100.0, 8.0, address_lifetime_s=3.75)
    assert stop.accept_until == 103.75
    assert stop.answer_by - stop.accept_until > 3.0


@pytest.mark.parametrize(
    ("stop_s", "max_estimate_s", "estimate_s"),
    [(8.0, 2.8, 2.8), (60.0, 2.8, 2.8), (60.0, math.inf, 21.0), (4.0, math.inf, 1.4)],
)
def test_late_requests_leave_most_of_the_stop_to_wrong_estimates(
    stop_s, max_estimate_s, estimate_s
):
    stop = plan_stop(100.0, stop_s, 3.75, max_estimate_s)
    assert stop.estimate_until - stop.began_at == pytest.approx(estimate_s)
