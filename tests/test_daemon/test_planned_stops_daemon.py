"""Planned stops of routers of ``berylnotchd`` while callers go on sending to them.

The tests run real processes. Callers use the address of a stopping router until it can
no longer be reached; the stand-ins record which requests targets ran.
"""

from __future__ import annotations

import signal
import time

import pytest
from attrs import frozen

from tests.fleet.stops import UNREAD_S, CallResult, LateCallers, describe
from tests.test_daemon.conftest import DOMAINS, callers_at, start_small
from tests.test_daemon.late_requests import (
    KINDS,
    LateRouter,
    runs_by_order,
    runs_by_request,
    send_late,
)
from tests.test_daemon.support import inject_faults

#: Seconds that a target takes for an answer.
ANSWER_S = 2.0
#: Tokens of an answer that an engine generates in that time.
ANSWER_TOKENS = 54
#: Seconds for which callers keep the address of a router.
KEEP_S = 3


@pytest.fixture
def start_slow_fleet(fleet):
    """Start a fleet whose targets take some time, given the routers' stop limit."""

    def start(stop_limit_s):
        fleet.router_settings = f"stop-limit = {stop_limit_s} s\n"
        fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
        started = start_small(
            fleet, rate=1_000_000, burst=1_000_000, address_keep=f"{KEEP_S} s"
        )
        for _, address in started.plain:
            inject_faults(address, late_ms=int(ANSWER_S * 1000))
        return started

    return start


def late_routers(small_fleet, key):
    callers_at(small_fleet, key)
    return [
        LateRouter(name, address, key.key, ANSWER_TOKENS)
        for name, address in small_fleet.routers
    ]


@frozen
class Stop:
    """A planned stop under load: requests, time of the signal, duration in seconds."""

    results: list[CallResult]
    signal_at: float
    took_s: float


def stop_under_load(fleet, stopping, others, rate_per_s=10.0):
    """Stop routers while callers send to them."""
    callers = LateCallers(stopping, others, KINDS, rate_per_s, send=send_late)
    callers.start()
    try:
        # The routers have served whole answers of each kind by then.
        time.sleep(1.5 * ANSWER_S + 1.0)
        signal_at = time.monotonic()
        for router in stopping:
            fleet.children[router.name].signal(signal.SIGTERM)
        for router in stopping:
            assert fleet.children[router.name].wait() == 0
        took_s = time.monotonic() - signal_at
        time.sleep(0.5)
    finally:
        callers.close()
    return Stop(callers.results, signal_at, took_s)


def check_results(stop, small_fleet):
    """Check that each request got a whole answer that says what became of it."""
    results, signal_at = stop.results, stop.signal_at
    runs = runs_by_request(small_fleet)
    outcomes = describe(results, signal_at)
    cut = [r for r in results if r.outcome == "cut"]
    assert not [r for r in cut if runs.get(r.request_id)], outcomes
    assert not [r for r in cut if r.took_s > UNREAD_S], outcomes
    assert not [r for r in results if r.outcome == "failed"], outcomes
    repeats = [later for r in results for later in r.later]
    refused = [r for r in results + repeats if r.run == "not-run"]
    assert not [r for r in refused if runs.get(r.request_id)], outcomes
    assert not [o for o, n in runs_by_order(small_fleet).items() if n > 1]
    turned_away = [r for r in results if r.outcome in ("refused", "unread")]
    assert all(r.is_served_in_the_end for r in turned_away), outcomes


@pytest.mark.parametrize("stop_limit_s", [1, 6])
def test_requests_taken_late_in_a_planned_stop_are_not_cut(
    fleet, start_slow_fleet, stop_limit_s
):
    small_fleet = start_slow_fleet(stop_limit_s)
    stopping, *others = late_routers(small_fleet, fleet.give_key("importer-desk"))
    stop = stop_under_load(fleet, [stopping], others)
    check_results(stop, small_fleet)
    assert stop.took_s <= KEEP_S + stop_limit_s
