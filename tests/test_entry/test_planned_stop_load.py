"""Load on a stopping router in virtual time.

Requests come at random times until the router exits, and their answers take random
times with a long tail, which grow while the router stops, or suddenly. The decision
code chooses which requests are sent. Counted is what becomes of the callers' requests,
beside those of a router that sends each request that has any time left.
"""

import random
from collections import Counter

import pytest

from berylnotch.entry.answer_times import LONGEST_FACTOR, MARGIN_S, AnswerTimes
from berylnotch.membership.departure import plan_stop

STOP_S, ADDRESS_LIFETIME_S = 8.0, 3.75

#: Requests per second, and number of requests served before the stop.
REQUESTS_PER_S, N_BEFORE = 40, 400

#: Standard deviation of the logarithm of an answer's time, and the multiple of the
#: median that one answer in 1,000 exceeds.
LOG_SIGMA, LONG_ANSWER = 0.5, 4.7

#: Largest fraction of the early requests that may be cut: a random time has no upper
#: bound.
MAX_CUT_FRACTION = 1e-4

#: Seconds after the signal up to which a request is early; none of the later ones may
#: be cut.
EARLY_S = 3.0


def grow(now):
    """Return the factor of answers' times at a time: 1.5 at the end of the stop."""
    return 1 + 0.5 * now / STOP_S


def jump(now):
    """Return the factor of answers' times if all targets get slow late in the stop."""
    return 1 if now < 4.5 else 20


def play(seed, median_s, deadline_s, slowdown, is_bounded):
    """Return the number of requests that are served, refused, cut or expired."""
    rng, times, counts = random.Random(seed), AnswerTimes(), Counter()
    stop = plan_stop(0.0, STOP_S, ADDRESS_LIFETIME_S)

    def draw_s():
        return median_s * rng.lognormvariate(0.0, LOG_SIGMA)

    def is_taken(now):
        if not is_bounded or now + deadline_s <= stop.answer_by:
            return True
        longest_s = times.longest_s("route", 0)
        return now <= stop.estimate_until and now + longest_s <= stop.answer_by

    for _ in range(N_BEFORE):
        times.record("route", draw_s(), 0)
    now, ends = 0.0, []
    while now < stop.answer_by:
        now += rng.expovariate(REQUESTS_PER_S)
        for end in [end for end in ends if end[0] <= now]:
            ends.remove(end)
            times.record("route", end[1], 0)
        if not is_taken(now):
            counts["refused"] += 1
            continue
        answer_s = draw_s() * slowdown(now)
        if answer_s > deadline_s and now + deadline_s <= stop.answer_by:
            counts["expired"] += 1
        elif now + answer_s > stop.answer_by:
            counts["cut early" if now <= EARLY_S else "cut"] += 1
        else:
            counts["served"] += 1
            ends.append((now + answer_s, answer_s))
    return counts


@pytest.mark.parametrize("slowdown", [grow, jump])
@pytest.mark.parametrize("deadline_s", [1.0, 3.0, 10.0])
@pytest.mark.parametrize("median_s", [0.03, 0.2, 0.8])
def test_late_requests_are_served_or_refused_but_not_cut(
    median_s, deadline_s, slowdown
):
    bounded, unbounded = Counter(), Counter()
    for seed in range(50):
        bounded += play(seed, median_s, deadline_s, slowdown, is_bounded=True)
        unbounded += play(seed, median_s, deadline_s, slowdown, is_bounded=False)
    assert unbounded["cut"] > 20
    assert bounded["cut"] == 0
    assert bounded["cut early"] <= MAX_CUT_FRACTION * bounded.total()
    # Only requests that come later than this may be refused.
    stop = plan_stop(0.0, STOP_S, ADDRESS_LIFETIME_S)
    longest_s = LONGEST_FACTOR * LONG_ANSWER * median_s + MARGIN_S
    estimated_until = min(stop.estimate_until, stop.answer_by - longest_s)
    refused_from_s = max(estimated_until, stop.answer_by - deadline_s)
    late_count = REQUESTS_PER_S * 50 * (stop.answer_by - refused_from_s)
    assert bounded["refused"] <= 1.1 * late_count
