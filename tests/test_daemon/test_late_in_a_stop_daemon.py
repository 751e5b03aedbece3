"""Requests late in a planned stop of ``berylnotchd`` whose targets change meanwhile.

A stopping router that takes late requests by the length of earlier answers cuts them if
targets get slower, break their runs or fall silent before its end.
"""

from __future__ import annotations

import signal
import time

import pytest

from tests.fleet.stops import LateCallers, describe
from tests.test_daemon.conftest import DOMAINS, callers_at, start_small
from tests.test_daemon.late_requests import (
    KINDS,
    LateRouter,
    runs_by_request,
    send_late,
)
from tests.test_daemon.support import inject_faults

#: Seconds for which callers keep an address, and seconds for requests after that.
KEEP_S, STOP_LIMIT_S = 6, 2
#: Seconds that a target takes for an answer before it changes.
ANSWER_S = 0.5
#: Tokens of an answer that an engine generates in that time.
ANSWER_TOKENS = 12
#: Seconds from the signal to the change, and age from which requests are late.
CHANGE_S, LATE_S = 3.5, 3.0

#: Faults of engines and of order desks from the change on.
CHANGES = {
    "slow_down": ({"late_ms": 5000}, {"late_ms": 5000}),
    "break_runs": ({"late_ms": 1500, "die_after_events": 1}, {"late_ms": 5000}),
    "fall_silent": ({"hang": True}, {"hang": True}),
}


@pytest.fixture
def start_fleet(fleet):
    fleet.router_settings = f"stop-limit = {STOP_LIMIT_S} s\n"
    fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
    started = start_small(
        fleet, rate=1_000_000, burst=1_000_000, address_keep=f"{KEEP_S} s"
    )
    for _, address in started.plain:
        inject_faults(address, late_ms=int(ANSWER_S * 1000))
    return started


def is_ended_by_the_stop(result):
    """Return whether a request was cut or got no more than the end of the stop."""
    return result.outcome == "cut" or (
        result.outcome == "failed" and result.status != 502
    )


@pytest.mark.parametrize("change", CHANGES)
def test_answers_that_take_longer_late_in_a_stop_are_not_cut(
    fleet, start_fleet, change
):
    key = fleet.give_key("importer-desk")
    callers_at(start_fleet, key)
    stopping, *others = (
        LateRouter(name, address, key.key, ANSWER_TOKENS)
        for name, address in start_fleet.routers
    )
    callers = LateCallers([stopping], others, KINDS, 15.0, send=send_late)
    callers.start()
    try:
        time.sleep(4 * ANSWER_S)
        signal_at = time.monotonic()
        child = fleet.children[stopping.name]
        child.signal(signal.SIGTERM)
        time.sleep(CHANGE_S)
        engine_faults, desk_faults = CHANGES[change]
        for _, address in start_fleet.engines:
            inject_faults(address, **engine_faults)
        for _, address in start_fleet.plain:
            inject_faults(address, **desk_faults)
        assert child.wait() == 0
        assert time.monotonic() - signal_at < KEEP_S + STOP_LIMIT_S
    finally:
        callers.close()
    late = [r for r in callers.results if r.sent_at > signal_at + LATE_S]
    runs = runs_by_request(start_fleet)
    ended = [r for r in late if is_ended_by_the_stop(r) and runs.get(r.request_id)]
    assert len(late) > 30
    assert not ended, describe(late, signal_at)
