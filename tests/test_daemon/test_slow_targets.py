"""A service whose answers all take longer than a router waits before it tries another.

A router that takes each of the targets for failed refuses requests which they would
serve. Each caller's result is counted.
"""

import time

from tests.fleet.stops import LateCallers, describe

#: Time that each target takes for an answer, in seconds. Routers send a repeatable
#: request to another target after 1 s.
ANSWER_S = 2.0

#: Requests per second, few enough that a target often has two late answers in a row.
RATE_PER_S = 6.0

LOAD_S = 8.0


def test_requests_are_served_while_all_answers_of_a_service_are_late(
    wide_fleet, platform
):
    for target in platform.targets.values():
        target.answer_s = ANSWER_S
    router, *_ = wide_fleet.routers
    callers = LateCallers([router], [], ("book", "read"), RATE_PER_S)
    started_at = time.monotonic()
    callers.start()
    try:
        time.sleep(LOAD_S)
    finally:
        callers.close()
    failed = [result for result in callers.results if result.outcome != "served"]
    assert not failed, describe(failed, started_at)
