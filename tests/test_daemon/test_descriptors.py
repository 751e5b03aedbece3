"""A router without free file descriptors for some seconds.

A router that takes its own lack of descriptors for failures of its targets ejects all
of them and goes on refusing requests; one that tries again without a pause, and logs
each try, uses a whole core and fills the disk of its log.
"""

import os
import resource
import time

from tests.fleet.stops import LateCallers, describe

#: Requests per second.
RATE_PER_S = 40.0

#: Seconds without a free descriptor.
EXHAUSTED_S = 2.0

#: Number of descriptors that are left for callers and their targets; each request in
#: progress needs two, and 20 are in progress.
FREE_COUNT = 16

#: Time that each target takes for an answer, in seconds.
ANSWER_S = 0.5

#: Seconds after which all requests are served again.
RECOVERED_S = 0.3

#: Lines about errors that a router may write in each second of them.
MAX_LINES_PER_S = 20


def limit_leaving_free(pid, count):
    """Return a limit below which some descriptors of a process are free."""
    used = {int(number) for number in os.listdir(f"/proc/{pid}/fd")}
    limit = len(used)
    while limit - sum(number < limit for number in used) < count:
        limit += 1
    return limit


def limit_descriptors(pid, count):
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard_limit))


def test_a_router_without_descriptors_recovers_and_judges_no_target(
    wide_fleet, platform
):
    for target in platform.targets.values():
        target.answer_s = ANSWER_S
    router, *_ = wide_fleet.routers
    pid = router.process.pid
    previous_limit, _ = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    limit = limit_leaving_free(pid, FREE_COUNT)
    callers = LateCallers([router], [], ("book", "read"), RATE_PER_S)
    started_at = time.monotonic()
    callers.start()
    try:
        time.sleep(1.0)
        limit_descriptors(pid, limit)
        time.sleep(EXHAUSTED_S)
        limit_descriptors(pid, previous_limit)
        recovered_at = time.monotonic() + RECOVERED_S
        time.sleep(RECOVERED_S + 2.0)
    finally:
        callers.close()
    lines = router.lines()
    assert not [line for line in lines if line.get("event") == "target_ejected"]
    errors = [line for line in lines if line.get("level") == "ERROR"]
    assert len(errors) <= MAX_LINES_PER_S * EXHAUSTED_S
    failed = [
        result
        for result in callers.results
        if result.outcome != "served" and result.sent_at > recovered_at
    ]
    assert not failed, describe(failed, started_at)
