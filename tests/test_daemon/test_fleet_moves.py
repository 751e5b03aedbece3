"""Streams of real processes while engines are emptied to load weights."""

import threading
import time

import pytest

from tests.fleet.processes import FleetOfProcesses, configuration, until

EVENTS = 60
PAUSE_S = 0.04
STREAMS = 6


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    for number in range(3):
        engine = platform.add(f"llm-{number}", "llm", version=1)
        engine.events, engine.event_pause_s = EVENTS, PAUSE_S
    platform.add("desk-1", "desk")
    yield processes
    processes.close()


def serve(fleet, **changes):
    fleet.start()
    assert fleet.put(configuration(3, moves=True, **changes)).status == 200
    fleet.wait_ready()


def stream_while_weights_change(fleet, platform):
    """Return the answers of streams that are under way as engines load."""
    answers = {}

    def ask(number):
        router = fleet.routers[number % len(fleet.routers)]
        request_id = f"s-{number}"
        # Different prompts, so that they spread over the engines.
        parts = {"Berylnotch_Prefix_Hash": f"aa{number:02}:2000,bb02:1000"}
        answers[request_id] = fleet.ask(router, "/chat/x", request_id, **parts)

    threads = [threading.Thread(target=ask, args=(n,)) for n in range(STREAMS)]
    for thread in threads:
        thread.start()
    engines = [t for t in platform.targets.values() if t.service == "llm"]
    until(lambda: sum(len(e.streams) for e in engines) == STREAMS, "streams under way")
    time.sleep(4 * PAUSE_S)
    assert fleet.name_weights(2).status == 200
    for thread in threads:
        thread.join()
    until(lambda: all(e.version == 2 for e in engines), "new weights everywhere")
    return answers, engines


def assert_whole(answers):
    expected = b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1)
    )
    for request_id, answer in answers.items():
        assert answer.status == 200 and answer.is_whole, request_id
        assert answer.body == expected, request_id


@pytest.mark.parametrize("resumable", [True, False], ids=["resumable", "runs-once"])
def test_runs_move_and_their_streams_stay_whole(fleet, platform, resumable):
    serve(fleet, resumable=resumable)
    answers, engines = stream_while_weights_change(fleet, platform)
    assert_whole(answers)
    runs = [request_id for engine in engines for request_id in engine.runs]
    assert sorted(runs) == sorted(answers)
    assert sum(len(engine.resumed) for engine in engines) > 0


@pytest.mark.parametrize("mood", ["no_room", "gone"])
def test_runs_that_cannot_move_end_where_they_are(fleet, platform, mood):
    for target in platform.targets.values():
        target.move_mood = mood
    serve(fleet, resumable=False)
    answers, engines = stream_while_weights_change(fleet, platform)
    assert_whole(answers)
    assert not any(engine.resumed for engine in engines)


def test_a_run_whose_move_was_not_answered_is_never_taken_for_whole(fleet, platform):
    for target in platform.targets.values():
        target.move_mood = "lost"
    serve(fleet, resumable=False)
    answers, engines = stream_while_weights_change(fleet, platform)
    assert_whole(answers)
    runs = [request_id for engine in engines for request_id in engine.runs]
    assert sorted(runs) == sorted(answers)
