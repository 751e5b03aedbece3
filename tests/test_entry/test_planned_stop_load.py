"""Load on a stopping router in virtual time.

Requests come at random times until the router exits, and their answers take random
times with a long tail, which grow while the router stops. The decision code chooses
which requests are sent. Counted is what becomes of the callers' requests, beside those
of a router that sends each request that has any time left, as routers did before.
"""

import random
from collections import Counter

import pytest

from berylnotch.entry.answer_times import LONGEST_FACTOR, MARGIN_S, AnswerTimes
from berylnotch.membership.departure import ANSWER_RESERVE_S, plan_stop

STOP_S, ADDRESS_LIFETIME_S = 8.0, 3.75

#: Requests per second, and number of requests served before the stop.
REQUESTS_PER_S, N_BEFORE = 40, 400

#: Standard deviation of the logarithm of an answer's time, and the multiple of the
#: median that one answer in 1,000 exceeds.
LOG_SIGMA, LONG_ANSWER = 0.5, 4.7

#: Largest fraction of the requests that may be cut: the rule allows none, but a random
#: time has no upper bound.
MAX_CUT_FRACTION = 1e-4

#: Factor by which answers take longer at the end of the stop than before it, since the
#: requests of other stopping routers arrive at the same targets.
SLOWDOWN = 1.5


def play(seed, median_s, is_bounded):
    """Return the number of late requests that are served, refused or cut."""
    rng, times, counts = random.Random(seed), AnswerTimes(), Counter()
    stop = plan_stop(0.0, STOP_S, ADDRESS_LIFETIME_S)

    def draw_s():
        return median_s * rng.lognormvariate(0.0, LOG_SIGMA)

    for _ in range(N_BEFORE):
        times.record("route", draw_s(), 0)
    now, ends = 0.0, []
    while now < stop.answer_by:
        now += rng.expovariate(REQUESTS_PER_S)
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            times.record("route", end[1], 0)
        longest_s = times.longest_s("route", 0) if is_bounded else 0.0
        if now + longest_s > stop.answer_by:
            counts["refused"] += 1
            continue
        answer_s = draw_s() * (1 + (SLOWDOWN - 1) * now / STOP_S)
        if now + answer_s > stop.answer_by:
            counts["cut"] += 1
        else:
            counts["served"] += 1
            ends.append((now + answer_s, answer_s))
    return counts


@pytest.mark.parametrize("median_s", [0.03, 0.2, 0.8])
def test_late_requests_are_served_or_refused_but_not_cut(median_s):
    bounded, unbounded = Counter(), Counter()
    for seed in range(50):
        bounded += play(seed, median_s, is_bounded=True)
        unbounded += play(seed, median_s, is_bounded=False)
    assert unbounded["cut"] > 20
    assert bounded["cut"] <= MAX_CUT_FRACTION * bounded.total()
    # Only requests that come later than this before the end may be refused.
    longest_s = LONGEST_FACTOR * LONG_ANSWER * SLOWDOWN * median_s + MARGIN_S
    max_refused = (longest_s + ANSWER_RESERVE_S) / STOP_S * bounded.total()
    assert bounded["refused"] <= max_refused
