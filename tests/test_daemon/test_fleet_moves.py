"""Tests of streams during a rollout of weights, with a fleet of processes."""

import threading
import time
from collections import Counter

import pytest

from tests.fleet.processes import FleetOfProcesses, configuration, wait_until

EVENTS = 60
LONG_EVENTS = 130
EVENT_INTERVAL_S = 0.04
STREAMS = 6


def whole_body(events=EVENTS):
    """Return the body of a whole stream."""
    pieces = (b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, events + 1))
    return b"".join(pieces)


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
        headers["deadline_ms"] = "8000"
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


def assert_complete(answers, events=EVENTS):
    expected = whole_body(events)
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


def run_counts(engines):
    """Return how often each request ran; resumptions from a copy do not count."""
    return Counter(request_id for engine in engines for request_id in engine.runs)


@pytest.mark.parametrize("resumable", [True, False], ids=["resumable", "runs-once"])
def test_a_stream_whose_stop_is_unanswered_does_not_end_as_complete(
    fleet, platform, resumable
):
    # The engine stops the run and closes a stream that has no length. The answer is
    # lost, and the repeated call gets 404.
    for target in platform.targets.values():
        target.move_fault, target.has_delimited_streams = "stop_lost", False
    start_serving(fleet, resumable=resumable)
    answers, engines = stream_during_rollout(fleet, platform)
    assert sum(engine.stop_calls for engine in engines) > 0
    if resumable:
        assert_complete(answers)
        return
    assert not [a for a in answers.values() if a.is_whole and a.body != whole_body()]
    assert max(run_counts(engines).values()) == 1


@pytest.mark.parametrize("resumable", [True, False], ids=["resumable", "runs-once"])
def test_a_stream_whose_last_copy_is_slow_moves(fleet, platform, resumable):
    # The repeated call gets 409 while the first one copies the KV cache.
    for target in platform.targets.values():
        target.move_fault, target.has_delimited_streams = "stop_slow", False
    start_serving(fleet, resumable=resumable)
    answers, engines = stream_during_rollout(fleet, platform)
    assert_complete(answers)
    assert sum(engine.stop_calls for engine in engines) > 0
    assert max(run_counts(engines).values()) == 1


def test_a_stop_that_is_carried_out_after_another_migration_truncates_no_stream(
    fleet, platform
):
    # Two calls to stop the run have no answer, and a later migration finds no room.
    # Then the engine carries out the first call.
    llm_engines = [t for t in platform.targets.values() if t.service == "llm"]
    for target in llm_engines:
        target.move_fault, target.has_delimited_streams = "stop_late", False
        target.events = LONG_EVENTS
    start_serving(fleet, resumable=True, timeoutMs=8000)

    def stop_migrations():
        wait_until(lambda: sum(t.stop_calls for t in llm_engines), "a call to stop")
        time.sleep(1.5)
        for target in llm_engines:
            target.move_fault = "no_room"

    thread = threading.Thread(target=stop_migrations)
    thread.start()
    answers, engines = stream_during_rollout(fleet, platform)
    thread.join()
    assert_complete(answers, LONG_EVENTS)
    assert max(run_counts(engines).values()) == 2
