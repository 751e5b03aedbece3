"""A router without free file descriptors for some seconds.

A router that tries again without a pause, and logs each try, uses a whole core and
fills the disk of its log.
"""

import os
import resource
import time

from tests.fleet.stops import LateCallers, describe

#: Requests per second.
RATE_PER_S = 40.0

#: Seconds without a free descriptor.
EXHAUSTED_S = 2.0

#: Seconds after which all requests are served again.
RECOVERED_S = 0.3

#: Lines about errors that a router may write in each second of them.
MAX_LINES_PER_S = 20


def limit_leaving_one_free(pid):
    """Return a limit below which one descriptor of a process is free."""
    used = {int(number) for number in os.listdir(f"/proc/{pid}/fd")}
    limit = len(used)
    while limit - sum(number < limit for number in used) < 1:
        limit += 1
    return limit


def limit_descriptors(pid, count):
    _, hard_limit = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (count, hard_limit))


def test_a_router_without_descriptors_pauses_and_recovers(wide_fleet):
    router, *_ = wide_fleet.routers
    pid = router.process.pid
    previous_limit, _ = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    callers = LateCallers([router], [], ("book", "read"), RATE_PER_S)
    started_at = time.monotonic()
    callers.start()
    try:
        time.sleep(1.0)
        # A caller is still accepted, and needs a connection to a target.
        limit_descriptors(pid, limit_leaving_one_free(pid))
        time.sleep(EXHAUSTED_S)
        limit_descriptors(pid, previous_limit)
        recovered_at = time.monotonic() + RECOVERED_S
        time.sleep(RECOVERED_S + 2.0)
    finally:
        callers.close()
    lines = router.lines()
    errors = [line for line in lines if line.get("level") == "ERROR"]
    assert len(errors) <= MAX_LINES_PER_S * EXHAUSTED_S
    failed = [
        result
        for result in callers.results
        if result.outcome != "served" and result.sent_at > recovered_at
    ]
    assert not failed, describe(failed, started_at)
