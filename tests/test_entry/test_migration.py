"""Tests the migration of runs and their KV caches between engines."""

import json

import pytest

from berylnotch.entry import migration
from berylnotch.entry.migration import LAST_EVENTS_WAIT_S, RunMigration
from berylnotch.entry.relocation import MAX_SLOT_FRACTION, choose_destination
from berylnotch.net.messages import Headers, HttpResponse
from berylnotch.platform.moves import move_request
from tests.test_entry.support import long_request, make_target

SOURCE, DESTINATION = make_target("a"), make_target("b")


class TestChooseRefuge:
    """Choice of the engine to which a run migrates."""

    def choose(self, *targets, source=SOURCE, **changes):
        return choose_destination([source, *targets], long_request(**changes), source)

    def test_the_least_loaded_engine_is_chosen(self):
        busy, idle = make_target("b"), make_target("c")
        busy.in_flight = 5
        assert self.choose(busy, idle) is idle

    def test_an_engine_with_other_weights_is_never_chosen(self):
        assert self.choose(make_target("b", version=2)) is None

    def test_a_draining_or_full_engine_is_not_chosen(self):
        emptying, full = make_target("b"), make_target("c", slots=8)
        emptying.is_emptying = True
        full.others_in_flight = int(MAX_SLOT_FRACTION * 8)
        assert self.choose(emptying, full) is None

    def test_an_unusable_engine_is_not_chosen(self):
        loading, leaving = make_target("b"), make_target("c")
        loading.is_loading, loading.loading_until = True, 200.0
        leaving.is_leaving = True
        assert self.choose(loading, leaving) is None

    def test_an_excluded_engine_is_not_chosen(self):
        full, other = make_target("b"), make_target("c")
        other.in_flight = 9
        inputs = long_request(excluded=("b",))
        assert choose_destination([SOURCE, full, other], inputs, SOURCE) is other

    def test_a_run_on_weights_that_are_too_old_does_not_migrate(self):
        outdated = {"outdated_s": lambda version: 9.5, "stale_s": 9.0}
        assert self.choose(make_target("b"), **outdated) is None
        outdated["stale_s"] = 10.0
        assert self.choose(make_target("b"), **outdated) is not None


class Engine:
    """Engine with prepared answers to migration requests, None for no answer.

    A callable among the answers is called before the next answer is sent.
    """

    def __init__(self, *answers):
        self.answers, self.calls = list(answers), []

    def fetch(self, _loop, _address, request, _timeout_s, on_response):
        self.calls.append((request.method, request.target, request.body))
        if request.method == "DELETE":
            return
        answer = self.answers.pop(0)
        if callable(answer):
            answer()
            answer = self.answers.pop(0)
        if answer is None:
            on_response(None, "no answer")
            return
        status, body = answer
        on_response(HttpResponse(status, Headers(), json.dumps(body).encode()), "")

    @property
    def freed(self):
        return [target for method, target, _ in self.calls if method == "DELETE"]


COPY, STOPPED = (200, {"handle": "h1", "made": 3}), (200, {"handle": "h2", "made": 4})


@pytest.fixture
def move(context, monkeypatch):
    """Return a function that migrates a run and returns the outcome."""
    timers = []
    monkeypatch.setattr(
        context.loop, "call_later", lambda delay_s, call: timers.append((delay_s, call))
    )

    def begin(engine, on_stream_end=None):
        monkeypatch.setattr(migration, "fetch", engine.fetch)
        ends = []

        def on_end(moved):
            ends.append((moved, moved is not None or not move.has_unanswered_stop))

        move = RunMigration(context, "id-1", SOURCE, DESTINATION, on_end)
        if on_stream_end is not None:
            move.defer_stream_end(on_stream_end)
        move.start()
        run_timers()
        return move, ends

    def run_timers():
        while timers:
            timers.pop(0)[1]()

    begin.run_timers = run_timers
    return begin


def test_a_run_stops_after_its_kv_cache_was_copied(move):
    engine = Engine(COPY, STOPPED)
    _, [(moved, is_sure)] = move(engine)
    address = SOURCE.listed.address
    assert [json.loads(body)["last"] for _, _, body in engine.calls] == [False, True]
    assert (
        moved.destination is DESTINATION and moved.origin == f"{address}/h2" and is_sure
    )
    assert engine.freed == []


def test_a_run_continues_at_its_engine_if_the_destination_is_full(move):
    engine = Engine((503, {}))
    _, ends = move(engine)
    assert ends == [(None, True)] and len(engine.calls) == 1


def test_a_run_that_ended_during_the_copy_does_not_migrate(move):
    engine = Engine(COPY, (404, {}))
    _, ends = move(engine)
    assert ends == [(None, True)] and engine.freed == ["/kv-handle/h1"]


def test_a_stop_request_without_an_answer_is_repeated(move):
    engine = Engine(COPY, None, STOPPED)
    _, [(moved, is_sure)] = move(engine)
    assert moved.handle == "h2" and is_sure


def test_a_run_that_may_have_been_stopped_has_an_uncertain_outcome(move):
    _, ends = move(Engine(COPY, None, None))
    assert ends == [(None, False)]


@pytest.mark.parametrize("answer", [(404, {}), (409, {}), (503, {}), (500, {})])
def test_an_answer_does_not_show_that_an_unanswered_stop_was_not_carried_out(
    move, answer
):
    # The engine stops the run, the answer is lost, and the repeated call is refused.
    _, ends = move(Engine(COPY, None, answer))
    assert ends == [(None, False)]


def test_a_run_whose_stop_failed_without_a_handle_may_have_stopped(move):
    _, ends = move(Engine(COPY, (503, {}), (404, {})))
    assert ends == [(None, False)]


class SlowStop(Engine):
    """Engine whose answer to the first stop arrives after that to the second."""

    def fetch(self, _loop, _address, request, timeout_s, on_response):
        if len(self.calls) == 1:
            self.calls.append((request.method, request.target, request.body))
            self.answer_first_stop = on_response
            return
        super().fetch(_loop, _address, request, timeout_s, on_response)


def test_a_run_whose_stop_is_in_progress_migrates_once_the_copy_is_complete(move):
    engine = SlowStop(COPY, (409, {}))
    _, ends = move(engine)
    assert ends == [] and len(engine.calls) == 3
    status, body = STOPPED
    response = HttpResponse(status, Headers(), json.dumps(body).encode())
    engine.answer_first_stop(response, "")
    move.run_timers()
    [(moved, _)] = ends
    assert moved.destination is DESTINATION and moved.handle == "h2"


def test_the_run_is_not_awaited_after_the_engine_no_longer_has_it(move):
    engine = SlowStop(COPY, (404, {}))
    run_move, ends = move(engine)
    assert ends == [(None, False)] and run_move.has_unanswered_stop


def test_a_run_that_stopped_without_a_copy_resumes_at_its_engine(move):
    _, [(moved, _)] = move(Engine(COPY, (503, {"handle": "h9"})))
    assert moved.destination is SOURCE and moved.handle == "h9"


def test_a_copy_request_without_an_answer_does_not_disturb_the_run(move):
    _, ends = move(Engine(None))
    assert ends == [(None, True)]


def test_an_answer_without_a_handle_counts_as_no_answer(move):
    _, ends = move(Engine((200, {"made": 3})))
    assert ends == [(None, True)]


def test_the_end_of_the_stream_is_deferred_until_the_outcome_is_known(move):
    handled = []
    run_move, ends = move(
        Engine(COPY, STOPPED), on_stream_end=lambda: handled.append(1)
    )
    assert len(ends) == 1 and handled == [] and run_move.on_stream_end is not None


def test_copies_are_freed_after_the_request_has_ended(move):
    engine = Engine(COPY, lambda: moves[0].cancel(), STOPPED)
    moves = []
    original = RunMigration.start

    def start(self):
        moves.append(self)
        original(self)

    RunMigration.start = start
    try:
        _, ends = move(engine)
    finally:
        RunMigration.start = original
    assert ends == []
    assert sorted(engine.freed) == ["/kv-handle/h1", "/kv-handle/h2"]


def test_a_stopped_run_waits_for_its_last_events():
    assert LAST_EVENTS_WAIT_S > 0
    request = move_request("10.0.0.1:1", "id-1", "10.0.0.2:1", stops_run=True)
    assert json.loads(request.body) == {"id": "id-1", "to": "10.0.0.2:1", "last": True}
