"""Tests of requests while the VM of a controller or router is paused.

A VM that does not answer for a while may not have failed. Its requests must neither be
lost nor run a second time.
"""

import signal
import threading
import time

import pytest

from tests.fleet.processes import wait_until


@pytest.fixture
def fleet(platform_fleet):
    return platform_fleet


def _stream_in_background(fleet, router, request_id):
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(fleet.ask(router, "/chat/x", request_id))
    )
    thread.start()
    return thread, answers


@pytest.mark.parametrize("pause_s", [1.0, 3.0])
def test_streams_continue_while_all_controllers_are_paused(fleet, platform, pause_s):
    fleet.make_ready()
    engines = [platform.targets[name] for name in ("llm-1", "llm-2")]
    for engine in engines:
        engine.events, engine.event_pause_s = int(pause_s / 0.2) + 4, 0.2
    thread, answers = _stream_in_background(fleet, fleet.routers[0], "running")
    wait_until(lambda: any("running" in e.runs for e in engines), "the stream to start")
    for controller in fleet.controllers:
        controller.signal(signal.SIGSTOP)
    time.sleep(pause_s)
    for controller in fleet.controllers:
        controller.signal(signal.SIGCONT)
    thread.join()
    assert answers[0].status == 200 and answers[0].is_whole
    assert answers[0].body.count(b"data: piece") == engines[0].events
    assert sum(engine.runs.count("running") for engine in engines) == 1


def test_request_of_a_paused_router_runs_at_most_once(fleet, platform):
    fleet.make_ready()
    desks = [platform.targets[name] for name in ("desk-1", "desk-2")]
    router = fleet.routers[0]
    router.signal(signal.SIGSTOP)
    thread = threading.Thread(target=lambda: fleet.ask(router, "/book/x", "frozen"))
    thread.start()
    time.sleep(2.0)
    # No other process takes over the request.
    assert sum(desk.runs.count("frozen") for desk in desks) == 0
    router.signal(signal.SIGCONT)
    thread.join()
    assert sum(desk.runs.count("frozen") for desk in desks) <= 1
    answer = wait_until(
        lambda: (lambda a: a if a and a.status == 200 else None)(
            fleet.ask(router, "/book/x", f"after-{time.monotonic()}")
        ),
        "the router to serve again",
    )
    assert answer.is_whole
