"""Answers whose exchange is over end with their key or their caller.

An answer that waited for tokens was not reached any more by the withdrawal of its key:
it was held for 60 s. An answer that waited for the record of its outcome was sent all
the same, also by a router that was suspended meanwhile.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from berylnotch.entry.answer_times import AnswerTimes
from berylnotch.net.response_memory import ResponseMemory, response_limits
from berylnotch.server.delivery import Delivery
from berylnotch.server.runner import Runner
from berylnotch.streams.actions import (
    Finish,
    FinishReason,
    RunStatus,
    SendBytes,
    SendHead,
    StartAttempt,
)
from berylnotch.util.metrics import Metrics

BODY = b'{"usage": {"completion_tokens": 5}}'


class FakeCaller:
    def __init__(self) -> None:
        self.sent = b""
        self.is_finished = False

    def write(self, data: bytes) -> None:
        self.sent += data

    def finish(self) -> None:
        self.is_finished = True

    def close(self) -> None:
        self.is_finished = True


class FinishedExchange:
    """Exchange that is over: it returns no actions."""

    is_finished = True
    is_paused = False

    def on_key_withdrawn(self, now):
        return ()

    def on_caller_disconnected(self, now):
        return ()


@pytest.fixture
def state():
    """State of the view, the tokens, the timers and the ended jobs, by name."""
    return SimpleNamespace(
        lease_s=60.0,
        is_fresh=True,
        is_recent=True,
        has_key=True,
        tokens=100,
        timers=[],
        ends=[],
        calls=[],
    )


@pytest.fixture
def runner(state):
    context = state.context = SimpleNamespace(
        freshness=SimpleNamespace(
            is_fresh=lambda now: state.is_fresh,
            can_deliver_late=lambda now: state.is_recent,
        ),
        view=SimpleNamespace(
            find_key=lambda key_hash: "key" if state.has_key else None, revision=1
        ),
        quota=SimpleNamespace(
            balance=lambda now, name: state.tokens, charge=lambda now, name, n: True
        ),
        loop=SimpleNamespace(
            call_later=lambda delay_s, call: state.timers.append(call)
        ),
        settings=SimpleNamespace(freshness_lease_s=state.lease_s),
        crash_guard=SimpleNamespace(
            on_request_ended=lambda *_: None, on_request_completed=lambda *_: None
        ),
        health=SimpleNamespace(
            record_end=lambda *_: None, record_abandoned=lambda *_: None
        ),
        decisions=SimpleNamespace(record_outcome=lambda *_: None),
        answer_times=AnswerTimes(),
        answer_by=time.monotonic() + 100.0,
        metrics=Metrics(),
    )
    claims = SimpleNamespace(close=lambda job, action, on_closed: on_closed())
    demand = SimpleNamespace(update=lambda *_: None, remove=lambda *_: None)
    runner = Runner(
        context, None, claims, state.ends.append, lambda: state.calls.append("check")
    )
    runner.set_delivery(
        Delivery(context, demand, lambda job: None, lambda job: None),
    )
    return runner


def make_job(claim_attempt=""):
    return SimpleNamespace(
        request=SimpleNamespace(request_id="r1"),
        key_hash=b"h",
        organisation=SimpleNamespace(name="label-clerks"),
        organisation_name="label-clerks",
        service=SimpleNamespace(name="sake-llm"),
        route=SimpleNamespace(prefix="/v1"),
        language=SimpleNamespace(stream=False, max_tokens=5),
        is_stream=False,
        idempotent=not claim_attempt,
        caller=FakeCaller(),
        exchange=FinishedExchange(),
        attempt=SimpleNamespace(
            target="sake-1",
            dispatch=SimpleNamespace(sent_at=time.monotonic()),
            held=None,
        ),
        fingerprint=b"f",
        timer=None,
        arrived_at=0.0,
        chunked=False,
        held_head=b"",
        held_actions=[],
        claim_attempt=claim_attempt,
        uncharged=[],
        charged_tokens=0,
        last_event_at=0.0,
        first_byte_at=0.0,
        pending_finish=None,
        lost_targets=set(),
        is_poison=False,
        has_ended=False,
    )


def complete(runner, job):
    runner.perform(
        job,
        (
            SendHead(200, (), RunStatus.RAN, len(BODY)),
            SendBytes(BODY, 0),
            Finish(RunStatus.RAN, FinishReason.COMPLETE),
        ),
    )


def test_answer_that_waits_for_tokens_ends_when_its_key_is_withdrawn(runner, state):
    state.tokens = 0
    job = make_job()
    complete(runner, job)
    assert state.ends == []
    runner.on_key_withdrawn(job)
    assert job.caller.sent.startswith(b"HTTP/1.1 401 ")
    assert b"X-Berylnotch-Run: ran" in job.caller.sent
    assert state.ends == [job]


def test_answer_that_waits_for_tokens_ends_when_its_caller_is_gone(runner, state):
    state.tokens = 0
    job = make_job()
    complete(runner, job)
    runner.on_caller_disconnected(job)
    assert state.ends == [job]


def test_recorded_answer_is_not_sent_under_a_withdrawn_key(runner, state):
    state.has_key = False
    job = make_job("claim-1")
    complete(runner, job)
    assert job.caller.sent.startswith(b"HTTP/1.1 401 ")
    assert b"X-Berylnotch-Run: ran" in job.caller.sent
    assert BODY not in job.caller.sent and state.ends == [job]


@pytest.mark.parametrize(("has_key", "status"), [(True, b"200"), (False, b"401")])
def test_recorded_answer_waits_for_its_key_after_a_suspension(
    runner, state, has_key, status
):
    state.is_fresh = False
    job = make_job("claim-1")
    complete(runner, job)
    assert (job.caller.sent, state.ends) == (b"", [])
    state.is_fresh, state.has_key = True, has_key
    state.timers.pop()()
    assert job.caller.sent.startswith(b"HTTP/1.1 " + status)
    assert state.ends == [job]


@pytest.mark.parametrize(("is_recent", "status"), [(True, b"200"), (False, b"504")])
def test_recorded_answer_does_not_wait_for_its_key_when_the_router_stops(
    runner, state, is_recent, status
):
    state.is_fresh, state.is_recent = False, is_recent
    state.context.answer_by = time.monotonic()
    job = make_job("claim-1")
    complete(runner, job)
    assert job.caller.sent.startswith(b"HTTP/1.1 " + status)
    assert b"X-Berylnotch-Run: ran" in job.caller.sent and state.ends == [job]


class TimedExchange:
    """Stream that is ended by its timer; records its calls."""

    is_paused = False

    def __init__(self, calls, actions):
        self.is_finished = False
        self._calls = calls
        self._actions = actions

    def stop_at(self, end_time):
        pass

    def start(self, now):
        return ()

    def next_tick(self):
        return 0.0

    def tick(self, now):
        self._calls.append("tick")
        self.is_finished = bool(self._actions)
        return self._actions


class FakeTimer:
    def cancel(self):
        pass


def test_timer_that_is_due_after_a_suspension_checks_the_view_first(runner, state):
    job = make_job()
    job.exchange = TimedExchange(state.calls, ())
    runner.start(job)
    job.timer = FakeTimer()
    state.timers.pop()()
    assert state.calls == ["check", "tick"]


def test_stream_whose_events_wait_ends_with_the_event_that_tells_why(runner, state):
    job = make_job()
    job.chunked = True
    error = SendBytes(b"error-event", 0)
    finish = Finish(RunStatus.RAN, FinishReason.DEADLINE)
    job.exchange = TimedExchange(state.calls, (error, finish))
    state.tokens = 0
    runner.start(job)
    job.timer = FakeTimer()
    runner.perform(job, (SendBytes(b"event-1", 1),))
    state.timers.pop()()
    assert b"error-event" in job.caller.sent and b"event-1" not in job.caller.sent
    assert job.caller.is_finished and state.ends == [job]


def test_transfer_that_outlasts_its_request_is_not_taken_for_a_lost_target(
    state, runner
):
    # Of two timers for one moment, that of the transfer may come first.
    job, now, timeouts = make_job(), time.monotonic(), []
    job.deadline = now + 5.0
    choice = SimpleNamespace(
        target=SimpleNamespace(name="sake-1"),
        work_s=0.0,
        ranked=SimpleNamespace(weights=""),
    )
    runner._selector = SimpleNamespace(
        choose=lambda *_: choice,
        build_request=lambda _job, _target, _action, timeout_s: timeouts.append(
            timeout_s
        ),
        record_sent=lambda *_: None,
    )
    runner._accounting = SimpleNamespace(
        is_refused=lambda *_: False, can_attempt=lambda *_: True
    )
    state.context.stop = None
    state.context.end_by = lambda job: job.deadline
    state.context.health.record_sent = lambda *_: None
    state.context.crash_guard.on_request_started = lambda *_: None
    state.context.upstreams = SimpleNamespace(start=lambda *_: None)
    state.context.response_memory = ResponseMemory(response_limits(64))
    job.exchange.attempt_started = lambda *_: ()
    runner.perform(job, [StartAttempt(1, frozenset(), 0, "")])
    assert timeouts[0] > job.deadline - now + 1.0
