"""Runs that leave an engine with their memory."""

import json

import pytest

from berylnotch.entry import moving
from berylnotch.entry.moving import LAST_EVENTS_S, RunMove
from berylnotch.entry.relocation import FULL_PART, choose_refuge
from berylnotch.net.messages import Headers, HttpResponse
from berylnotch.platform.moves import move_request
from tests.test_entry.support import long_request, make_target

SOURCE, REFUGE = make_target("a"), make_target("b")


class TestChooseRefuge:
    """Where a run goes on."""

    def choose(self, *targets, source=SOURCE, **changes):
        return choose_refuge([source, *targets], long_request(**changes), source)

    def test_the_least_loaded_engine_takes_it(self):
        busy, idle = make_target("b"), make_target("c")
        busy.in_flight = 5
        assert self.choose(busy, idle) is idle

    def test_it_never_goes_on_with_other_weights(self):
        assert self.choose(make_target("b", version=2)) is None

    def test_an_engine_that_is_emptied_or_full_takes_nothing(self):
        emptying, full = make_target("b"), make_target("c", slots=8)
        emptying.is_emptying = True
        full.others_in_flight = int(FULL_PART * 8)
        assert self.choose(emptying, full) is None

    def test_an_engine_that_may_get_no_request_takes_nothing(self):
        loading, leaving = make_target("b"), make_target("c")
        loading.is_loading, loading.loading_until = True, 200.0
        leaving.is_leaving = True
        assert self.choose(loading, leaving) is None

    def test_one_that_had_no_room_is_left_out(self):
        full, other = make_target("b"), make_target("c")
        other.in_flight = 9
        placing = long_request(excluded=("b",))
        assert choose_refuge([SOURCE, full, other], placing, SOURCE) is other

    def test_weights_that_are_too_old_are_not_prolonged(self):
        outdated = {"outdated_s": lambda version: 9.5, "stale_s": 9.0}
        assert self.choose(make_target("b"), **outdated) is None
        outdated["stale_s"] = 10.0
        assert self.choose(make_target("b"), **outdated) is not None


class Engine:
    """An engine's answers to calls for copies, in their order; None is none."""

    def __init__(self, *answers):
        self.answers, self.calls = list(answers), []

    def fetch(self, _loop, _address, request, _timeout_s, done):
        self.calls.append((request.method, request.target, request.body))
        if request.method == "DELETE":
            return
        answer = self.answers.pop(0)
        if callable(answer):
            answer()
            answer = self.answers.pop(0)
        if answer is None:
            done(None, "no answer")
            return
        status, body = answer
        done(HttpResponse(status, Headers(), json.dumps(body).encode()), "")

    @property
    def freed(self):
        return [target for method, target, _ in self.calls if method == "DELETE"]


COPY, STOPPED = (200, {"handle": "h1", "made": 3}), (200, {"handle": "h2", "made": 4})


@pytest.fixture
def move(context, monkeypatch):
    """Return a function that moves a run and returns how that ended."""
    later = []
    monkeypatch.setattr(
        context.loop, "call_later", lambda seconds, call: later.append((seconds, call))
    )

    def begin(engine, stream_ends=None):
        monkeypatch.setattr(moving, "fetch", engine.fetch)
        ends = []
        move = RunMove(
            context,
            "id-1",
            SOURCE,
            REFUGE,
            lambda moved, sure: ends.append((moved, sure)),
        )
        if stream_ends is not None:
            move.hold(stream_ends)
        move.start()
        while later:
            later.pop(0)[1]()
        return move, ends

    return begin


def test_a_run_stops_once_its_copy_is_there(move):
    engine = Engine(COPY, STOPPED)
    _, [(moved, is_sure)] = move(engine)
    address = SOURCE.listed.address
    assert [json.loads(body)["last"] for _, _, body in engine.calls] == [False, True]
    assert moved.refuge is REFUGE and moved.origin == f"{address}/h2" and is_sure
    assert engine.freed == []


def test_without_room_elsewhere_the_run_goes_on_where_it_is(move):
    engine = Engine((503, {}))
    _, ends = move(engine)
    assert ends == [(None, True)] and len(engine.calls) == 1


def test_a_run_that_has_just_ended_is_left_alone(move):
    engine = Engine(COPY, (404, {}))
    _, ends = move(engine)
    assert ends == [(None, True)] and engine.freed == ["/kv-handle/h1"]


def test_a_lost_answer_is_asked_for_again(move):
    engine = Engine(COPY, None, STOPPED)
    _, [(moved, is_sure)] = move(engine)
    assert moved.handle == "h2" and is_sure


def test_a_run_that_may_have_been_stopped_is_not_taken_for_a_whole_one(move):
    _, ends = move(Engine(COPY, None, None))
    assert ends == [(None, False)]


def test_a_run_that_stopped_without_a_copy_goes_on_at_its_engine(move):
    _, [(moved, _)] = move(Engine(COPY, (503, {"handle": "h9"})))
    assert moved.refuge is SOURCE and moved.handle == "h9"


def test_no_answer_to_the_copy_costs_the_run_nothing(move):
    _, ends = move(Engine(None))
    assert ends == [(None, True)]


def test_an_answer_that_names_no_copy_is_no_answer(move):
    _, ends = move(Engine((200, {"made": 3})))
    assert ends == [(None, True)]


def test_the_end_of_the_stream_is_kept_until_it_is_known(move):
    judged = []
    run, ends = move(Engine(COPY, STOPPED), stream_ends=lambda: judged.append(1))
    assert len(ends) == 1 and judged == [] and run.stream_end is not None


def test_a_request_that_has_ended_leaves_no_copy(move):
    engine = Engine(COPY, lambda: run_of[0].cancel(), STOPPED)
    run_of = []
    original = RunMove.start

    def start(self):
        run_of.append(self)
        original(self)

    RunMove.start = start
    try:
        _, ends = move(engine)
    finally:
        RunMove.start = original
    assert ends == []
    assert sorted(engine.freed) == ["/kv-handle/h1", "/kv-handle/h2"]


def test_the_last_events_have_time_to_arrive():
    assert LAST_EVENTS_S > 0
    request = move_request("10.0.0.1:1", "id-1", "10.0.0.2:1", stops_run=True)
    assert json.loads(request.body) == {"id": "id-1", "to": "10.0.0.2:1", "last": True}
