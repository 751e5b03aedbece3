"""Answers that change their length while a router stops, on processes.

Callers send streams and plain requests to a stopping router until it is gone. Each
caller's result is counted; the stand-ins stop their work at the time that they are
given, as engines do.
"""

from __future__ import annotations

import signal
import time
from functools import partial

import pytest

from tests.fleet.stops import (
    STOP_S,
    LateCallers,
    describe,
    lost_requests,
    send_request,
)

#: Seconds of an answer before and after the targets change, and from SIGTERM to that.
ANSWER_S, LONG_ANSWER_S, CHANGE_S = 0.5, 4.0, 4.5

#: Seconds from SIGTERM to an early change, after which answers outlast the router.
EARLY_CHANGE_S, ENDLESS_S = 1.0, 12.0

#: Events of a stream, requests per second, and seconds of requests before SIGTERM.
EVENTS, REQUESTS_PER_S, BEFORE_S = 10, 22.0, 1.5

#: Seconds after SIGTERM for which targets that fall silent stay so.
SILENT_UNTIL_S = 9.0

#: Seconds after SIGTERM at which one engine falls silent and all others are full, and
#: for which that lasts; time-out of the routes in seconds.
FULL_S, FULL_FOR_S, TIMEOUT_S = 2.0, 3.0, 5.0

#: Time budget in milliseconds of requests that end before the router does, and seconds
#: after SIGTERM until which they are served.
SHORT_DEADLINE_MS, SERVED_UNTIL_S = 1500, 5.5


def engines(platform):
    return [t for t in platform.targets.values() if t.version is not None]


def slow_down(platform, answer_s=LONG_ANSWER_S):
    """Let each answer take longer, those that have begun included."""
    for target in platform.targets.values():
        target.answer_s = answer_s
        target.event_pause_s = answer_s / EVENTS


def lengthen(platform):
    """Let each stream have more events, at the usual pauses."""
    for engine in engines(platform):
        engine.events = int(EVENTS * LONG_ANSWER_S / ANSWER_S)


def break_runs(platform):
    """Reset all runs of one engine, and let the answers of the others take longer."""
    slow_down(platform)
    platform.break_streams(engines(platform)[0])


def fall_silent(platform):
    """Let all targets send nothing until the router is gone."""
    until = time.monotonic() + SILENT_UNTIL_S - CHANGE_S
    for target in platform.targets.values():
        target.silent_until = until


def fall_silent_and_full(platform):
    """Slow down, and soon let one engine be silent while the others refuse all."""
    slow_down(platform)

    def begin():
        silent, *full = engines(platform)
        silent.silent_until = time.monotonic() + FULL_FOR_S
        for engine in full:
            engine.fault = "refuse"

    platform.loop.call_later(1.0, begin)


def stop_while(fleet, platform, change, change_s=CHANGE_S, **options):
    """Stop a router under load, change the targets, and return results and signal."""
    for target in platform.targets.values():
        target.answer_s = ANSWER_S
        target.events, target.event_pause_s = EVENTS, ANSWER_S / EVENTS
    stopping, *others = fleet.routers
    callers = LateCallers([stopping], others, rate_per_s=REQUESTS_PER_S, **options)
    callers.start()
    try:
        time.sleep(BEFORE_S)
        signal_at = time.monotonic()
        stopping.signal(signal.SIGTERM)
        platform.loop.call_soon(
            lambda: platform.loop.call_later(change_s, partial(change, platform))
        )
        assert stopping.process.wait(timeout=STOP_S) == 0
        time.sleep(0.5)
    finally:
        callers.close()
    return callers.results, signal_at


def run_ids(platform):
    return frozenset(i for target in platform.targets.values() for i in target.runs)


@pytest.mark.parametrize("change", [slow_down, lengthen, break_runs, fall_silent])
def test_answers_that_get_longer_in_a_stop_are_not_cut(wide_fleet, platform, change):
    results, signal_at = stop_while(wide_fleet, platform, change)
    lost = lost_requests(results, lambda _: signal_at, run_ids(platform))
    failed = [result for result in results if result.outcome == "failed"]
    assert not lost and not failed, describe(results, signal_at)
    refused_ids = {r.request_id for r in results if r.outcome == "refused"}
    assert refused_ids and not refused_ids & run_ids(platform)


def test_silence_of_a_target_while_others_are_full_ends_no_stream_early(
    wide_fleet, platform
):
    """Its run is left for a target that refuses the rest of the stream."""
    results, signal_at = stop_while(
        wide_fleet, platform, fall_silent_and_full, FULL_S, kinds=("chat",)
    )
    lost = lost_requests(results, lambda _: signal_at, run_ids(platform))
    early = [r for r in lost if r.took_s < TIMEOUT_S - 0.1]
    assert not early, [(r.sent_at - signal_at, r.took_s) for r in early]


def test_stop_charges_no_failure_to_engines_that_it_cuts(wide_fleet, platform):
    """Otherwise other routers avoid sound engines, and refuse sound requests."""
    change = partial(slow_down, answer_s=ENDLESS_S)
    results, signal_at = stop_while(
        wide_fleet, platform, change, EARLY_CHANGE_S, kinds=("chat",)
    )
    assert any(r.outcome == "cut" for r in results), describe(results, signal_at)
    events = {line["event"] for line in wide_fleet.routers[0].lines()}
    assert not events & {"attempt_failed", "target_ejected"}
    assert "target-lost" not in wide_fleet.routers[0].log.read_text()


def test_requests_that_end_before_the_router_are_served_late_in_a_stop(
    wide_fleet, platform
):
    send = partial(send_request, deadline_ms=SHORT_DEADLINE_MS)
    results, signal_at = stop_while(wide_fleet, platform, lambda _: None, send=send)
    served = [r for r in results if r.sent_at < signal_at + SERVED_UNTIL_S]
    assert served and all(r.outcome == "served" for r in served), describe(
        results, signal_at
    )
