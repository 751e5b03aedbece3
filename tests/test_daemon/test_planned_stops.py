"""Planned stops of a fleet's processes while callers go on sending to them.

Callers use a router's address until its process is gone. Each caller's result is
counted, and the stand-ins record which requests targets ran.
"""

import signal
import time

import pytest

from tests.fleet.processes import wait_until
from tests.fleet.stops import STOP_S, LateCallers, describe, lost_requests

#: Time that each target takes for an answer, in seconds.
ANSWER_S = 2.0


@pytest.fixture
def fleet(wide_fleet, platform):
    """Three controllers and three routers; each answer takes some time."""
    for target in platform.targets.values():
        target.answer_s = ANSWER_S
        target.events, target.event_pause_s = 10, ANSWER_S / 10
    return wide_fleet


def stop_under_load(fleet, stopping, others, processes=(), **options):
    """Stop routers while callers send to them; return the results and the signal."""
    callers = LateCallers(stopping, others, **options)
    callers.start()
    try:
        time.sleep(1.0)
        signal_at = time.monotonic()
        for process in (*stopping, *processes):
            process.signal(signal.SIGTERM)
        for process in (*stopping, *processes):
            assert process.process.wait(timeout=STOP_S) == 0
        time.sleep(0.5)
    finally:
        callers.close()
    return callers.results, signal_at


def run_ids(platform):
    return frozenset(i for target in platform.targets.values() for i in target.runs)


def check_results(results, signal_at, platform):
    """Check that each request got a whole answer that says what became of it."""
    lost = lost_requests(results, lambda _: signal_at, run_ids(platform))
    failed = [result for result in results if result.outcome == "failed"]
    assert not lost and not failed, describe(results, signal_at)
    refused_ids = {r.request_id for r in results if r.outcome == "refused"}
    assert not refused_ids & run_ids(platform)


def test_requests_taken_late_in_a_planned_stop_are_not_cut(fleet, platform):
    stopping, *others = fleet.routers
    results, signal_at = stop_under_load(fleet, [stopping], others)
    check_results(results, signal_at, platform)
    unserved = [result for result in results if not result.is_served_in_the_end]
    assert not unserved, describe(unserved, signal_at)


def test_stops_of_two_routers_and_the_leader_together_cut_no_request(fleet, platform):
    *stopping, other = fleet.routers
    leader = wait_until(fleet.leader, "a leader")
    results, signal_at = stop_under_load(fleet, stopping, [other], [leader])
    check_results(results, signal_at, platform)
