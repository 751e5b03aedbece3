"""A router that is suspended takes nobody for failed.

The answers of targets have come by the time at which the router runs again. If it
checks its time limits before it reads them, it closes the connections of requests that
were served, sends these again and ejects the targets.
"""

import signal
import time
from datetime import datetime

from berylnotch.entry.settings import EntrySettings
from tests.fleet.stops import LateCallers, describe

#: Time that each target takes for an answer, in seconds; 1 s would be overdue.
ANSWER_S = 0.3

#: Requests per second.
RATE_PER_S = 40.0

#: Seconds for which the router is suspended, longer than answers may take.
SUSPENDED_S = 1.5

ROUNDS = 4

LEADER_EVENTS = ("leader_found", "leader_lost")

#: Time in seconds for which requests wait for tokens.
MAX_SEARCH_S = EntrySettings().quota_wait_s


def test_a_suspended_router_reads_answers_before_it_judges_targets(
    wide_fleet, platform
):
    for target in platform.targets.values():
        target.answer_s = ANSWER_S
    router, *_ = wide_fleet.routers
    callers = LateCallers([router], [], ("book", "read"), RATE_PER_S)
    started_at = time.monotonic()
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
    failed = [result for result in callers.results if result.outcome != "served"]
    assert not failed, describe(failed, started_at)
    judged = ("target_ejected", "sent_again", "attempt_failed")
    assert not [line for line in router.lines() if line.get("event") in judged]


def test_a_router_has_its_leader_again_just_after_a_suspension(wide_fleet):
    # Its leader closes the silent link, and leads on. A router that takes it for lost
    # and avoids it has no tokens for its callers meanwhile.
    router, *_ = wide_fleet.routers
    for _ in range(ROUNDS):
        router.signal(signal.SIGSTOP)
        time.sleep(SUSPENDED_S)
        router.signal(signal.SIGCONT)
        time.sleep(1.5)
    events = [line for line in router.lines() if line.get("event") in LEADER_EVENTS]
    names = [line["event"] for line in events]
    assert names == ["leader_found"] + ["leader_lost", "leader_found"] * ROUNDS
    lost, found = events[1::2], events[2::2]
    gaps_s = [
        (timestamp(after) - timestamp(before)).total_seconds()
        for before, after in zip(lost, found, strict=True)
    ]
    assert max(gaps_s) < MAX_SEARCH_S


def timestamp(line):
    return datetime.fromisoformat(line["time"])
