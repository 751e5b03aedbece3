"""Tests of streams during a rollout of weights, with a fleet of processes."""

import threading
import time

import pytest

from tests.fleet.processes import FleetOfProcesses, configuration, wait_until

EVENTS = 60
EVENT_INTERVAL_S = 0.04
STREAMS = 6


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    for number in range(3):
        engine = platform.add(f"llm-{number}", "llm", version=1)
        engine.events, engine.event_pause_s = EVENTS, EVENT_INTERVAL_S
    platform.add("desk-1", "desk")
    yield processes
    processes.close()


def start_serving(fleet, **changes):
    fleet.start()
    assert fleet.put(configuration(3, moves=True, **changes)).status == 200
    fleet.wait_ready()


def stream_during_rollout(fleet, platform):
    """Return the answers of streams in progress during a rollout, and the engines."""
    answers = {}

    def ask(number):
        router = fleet.routers[number % len(fleet.routers)]
        request_id = f"s-{number}"
        # Different prompts, so that the streams spread over the engines.
        headers = {"Berylnotch_Prefix_Hash": f"aa{number:02}:2000,bb02:1000"}
        answers[request_id] = fleet.ask(router, "/chat/x", request_id, **headers)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(STREAMS)]
    for thread in threads:
        thread.start()
    engines = [t for t in platform.targets.values() if t.service == "llm"]
    wait_until(
        lambda: sum(len(e.streams) for e in engines) == STREAMS,
        "all streams in progress",
    )
    time.sleep(4 * EVENT_INTERVAL_S)
    assert fleet.name_weights(2).status == 200
    for thread in threads:
        thread.join()
    wait_until(lambda: all(e.version == 2 for e in engines), "new weights everywhere")
    return answers, engines


def assert_complete(answers):
    expected = b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
    )
    for request_id, answer in answers.items():
        assert answer.status == 200 and answer.is_whole, request_id
        assert answer.body == expected, request_id


@pytest.mark.parametrize("resumable", [True, False], ids=["resumable", "runs-once"])
def test_runs_move_and_their_streams_are_complete(fleet, platform, resumable):
    start_serving(fleet, resumable=resumable)
    answers, engines = stream_during_rollout(fleet, platform)
    assert_complete(answers)
    run_ids = [request_id for engine in engines for request_id in engine.runs]
    assert sorted(run_ids) == sorted(answers)
    assert sum(len(engine.resumed) for engine in engines) > 0


@pytest.mark.parametrize("fault", ["no_room", "gone"])
def test_runs_that_cannot_move_finish_on_their_engine(fleet, platform, fault):
    for target in platform.targets.values():
        target.move_fault = fault
    start_serving(fleet, resumable=False)
    answers, engines = stream_during_rollout(fleet, platform)
    assert_complete(answers)
    assert not any(engine.resumed for engine in engines)


def test_unanswered_move_neither_truncates_nor_repeats_a_run(fleet, platform):
    for target in platform.targets.values():
        target.move_fault = "lost"
    start_serving(fleet, resumable=False)
    answers, engines = stream_during_rollout(fleet, platform)
    assert_complete(answers)
    run_ids = [request_id for engine in engines for request_id in engine.runs]
    assert sorted(run_ids) == sorted(answers)
