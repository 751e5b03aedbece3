"""A router that is suspended while targets answer takes nobody for failed.

The answers have come by the time at which the router runs again. If it checks its time
limits before it reads them, it closes the connections of requests that were served,
sends these again and ejects the targets.
"""

import signal
import time

from tests.fleet.stops import LateCallers

#: Time that each target takes for an answer, in seconds; 1 s would be overdue.
ANSWER_S = 0.3

#: Requests per second.
RATE_PER_S = 40.0

#: Seconds for which the router is suspended, longer than answers may take.
SUSPENDED_S = 1.5

ROUNDS = 4


def test_a_suspended_router_reads_answers_before_it_judges_targets(
    wide_fleet, platform
):
    for target in platform.targets.values():
        target.answer_s = ANSWER_S
    router, *_ = wide_fleet.routers
    callers = LateCallers([router], [], ("book", "read"), RATE_PER_S)
    callers.start()
    try:
        for _ in range(ROUNDS):
            time.sleep(1.0)
            router.signal(signal.SIGSTOP)
            time.sleep(SUSPENDED_S)
            router.signal(signal.SIGCONT)
        time.sleep(1.0)
    finally:
        callers.close()
    judged = ("target_ejected", "sent_again", "attempt_failed")
    assert not [line for line in router.lines() if line.get("event") in judged]
