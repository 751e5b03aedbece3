from __future__ import annotations

import pytest

from berylnotch.streams.actions import (
    AttemptFailed,
    CancelAttempt,
    FailureCause,
    Finish,
    FinishReason,
    PauseUpstream,
    ResumeUpstream,
    RunMark,
    SendBytes,
    SendHead,
    StartAttempt,
    WaitUntil,
)
from berylnotch.streams.inputs import (
    ExchangeSettings,
    PauseReason,
    ResponseHead,
    UpstreamEnd,
)

from .fakes import END, REQUEST_ID, event, for_caller, make_exchange

SSE = "text/event-stream"


def find(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def only(actions, kind):
    (action,) = find(actions, kind)
    return action


def begin(exchange, number=1, weights="v1", target=None):
    exchange.attempt_started(0, number, target or f"E{number}")
    head = ResponseHead(200, (), SSE, REQUEST_ID, weights)
    return exchange.head(0, number, head)


@pytest.fixture
def running():
    """Stream that has delivered two events of attempt 1."""
    exchange = make_exchange()
    exchange.start(0)
    begin(exchange)
    exchange.body(0, 1, event(1) + event(2))
    return exchange


def test_clean_close_without_end_marker_resumes_elsewhere(running):
    actions = running.upstream_end(1, 1, UpstreamEnd(True))
    assert only(actions, AttemptFailed).cause is FailureCause.TRUNCATED
    start = only(actions, StartAttempt)
    assert (start.resume_after, start.weights, start.exclude) == (2, "v1", {"E1"})
    begin(running, 2)
    actions = running.body(2, 2, event(3) + END)
    assert only(actions, SendBytes).data == for_caller(3) + END
    assert only(actions, Finish).mark is RunMark.RAN


def test_bytes_of_a_replaced_attempt_are_ignored(running):
    running.upstream_end(1, 1, UpstreamEnd(False))
    assert running.body(1, 1, event(3)) == ()
    assert running.upstream_end(1, 1, UpstreamEnd(True)) == ()


def test_gap_cancels_and_asks_again_from_the_last_delivered(running):
    actions = running.body(1, 1, event(3) + event(5))
    assert only(actions, CancelAttempt).number == 1
    assert only(actions, AttemptFailed).cause is FailureCause.GAP
    assert only(actions, StartAttempt).resume_after == 2


def test_other_weights_end_the_stream_with_an_error(running):
    running.upstream_end(1, 1, UpstreamEnd(False))
    actions = begin(running, 2, weights="v2")
    assert not find(actions, SendBytes)
    start = only(running.tick(only(actions, WaitUntil).time), StartAttempt)
    assert start.exclude == {"E1", "E2"}
    actions = running.no_target(1, start.number, "no engine with v1")
    finish = only(actions, Finish)
    assert finish.reason is FinishReason.WEIGHTS_CHANGED
    assert finish.mark is RunMark.RAN
    assert not finish.keep_connection
    assert b'"weights-changed"' in only(actions, SendBytes).data
    assert END not in only(actions, SendBytes).data


def test_stream_that_has_begun_waits_for_a_target(running):
    actions = running.upstream_end(1, 1, UpstreamEnd(False))
    now, tries = 1.0, 0
    while start := find(actions, StartAttempt):
        tries += 1
        actions = running.no_target(now, start[0].number, "none", retry_after_s=1.0)
        for wait in find(actions, WaitUntil):
            now = wait.time
            actions = running.tick(now)
    assert only(actions, Finish).reason is FinishReason.NO_TARGET
    assert 10 <= now <= 12.5
    assert 5 < tries < 30


def test_stream_that_has_begun_goes_on_when_a_target_is_back(running):
    running.upstream_end(1, 1, UpstreamEnd(False))
    running.no_target(1, 2, "none", retry_after_s=1.0)
    actions = running.tick(running.next_tick())
    assert only(actions, StartAttempt).resume_after == 2


def test_final_lack_of_a_target_is_not_waited_for(running):
    running.upstream_end(1, 1, UpstreamEnd(False))
    actions = running.no_target(1, 2, "request crashes targets")
    assert only(actions, Finish).reason is FinishReason.NO_TARGET


def test_third_attempt_waits_a_little():
    exchange = make_exchange()
    exchange.start(0)
    end = UpstreamEnd(False, sent=False)
    exchange.attempt_started(0, 1, "E1")
    assert only(exchange.upstream_end(0, 1, end), StartAttempt).number == 2
    exchange.attempt_started(0, 2, "E2")
    actions = exchange.upstream_end(0, 2, end)
    due = only(actions, WaitUntil).time
    assert exchange.next_tick() == due > 0
    assert only(exchange.tick(due), StartAttempt).number == 3


def test_before_the_first_event_any_weights_will_do():
    exchange = make_exchange()
    exchange.start(0)
    begin(exchange, weights="v1")
    actions = exchange.upstream_end(1, 1, UpstreamEnd(True))
    assert only(actions, AttemptFailed).cause is FailureCause.EMPTY
    assert only(actions, StartAttempt).weights == ""
    begin(exchange, 2, weights="v2")
    actions = exchange.body(1, 2, event(1))
    assert only(actions, SendBytes).data.startswith(b"id: B-v2.1\n")


def test_end_marker_alone_is_a_failure():
    exchange = make_exchange()
    exchange.start(0)
    begin(exchange)
    actions = exchange.body(0, 1, END)
    assert only(actions, AttemptFailed).cause is FailureCause.EMPTY
    assert not find(actions, SendHead)


def test_resumed_caller_gets_only_the_rest():
    exchange = make_exchange(resume_after=2, weights="v1")
    assert only(exchange.start(0), StartAttempt).resume_after == 2
    begin(exchange)
    actions = exchange.body(0, 1, event(1) + event(2) + event(3) + END)
    assert only(actions, SendBytes).data == for_caller(3) + END


def test_withdrawn_key_ends_a_running_stream(running):
    actions = running.key_withdrawn(1)
    assert only(actions, CancelAttempt).number == 1
    assert b'"key-withdrawn"' in only(actions, SendBytes).data
    assert only(actions, Finish).reason is FinishReason.KEY_WITHDRAWN
    assert running.body(1, 1, event(3)) == ()


def test_withdrawn_key_before_any_byte_is_not_run():
    exchange = make_exchange()
    exchange.start(0)
    finish = only(exchange.key_withdrawn(0), Finish)
    assert (finish.mark, finish.status) == (RunMark.NOT_RUN, 401)


def test_caller_gone_cancels_the_targets_work(running):
    actions = running.caller_gone(1)
    assert only(actions, CancelAttempt).number == 1
    assert not find(actions, SendBytes)


def test_pause_holds_and_resume_delivers(running):
    assert only(running.pause(1, PauseReason.KEY), PauseUpstream).number == 1
    assert running.pause(1, PauseReason.QUOTA) == ()
    assert running.body(1, 1, event(3) + END) == ()
    assert running.upstream_end(1, 1, UpstreamEnd(True)) == ()
    assert running.resume(2, PauseReason.KEY) == ()
    actions = running.resume(2, PauseReason.QUOTA)
    assert only(actions, SendBytes).data == for_caller(3) + END
    assert not find(actions, ResumeUpstream)
    assert only(actions, Finish).reason is FinishReason.COMPLETE


def test_nothing_starts_while_paused():
    exchange = make_exchange()
    exchange.pause(0, PauseReason.KEY)
    assert exchange.start(0) == ()
    assert only(exchange.resume(5, PauseReason.KEY), StartAttempt).number == 1


def test_engine_lost_while_paused_is_replaced_after_the_pause(running):
    running.pause(1, PauseReason.KEY)
    assert running.upstream_end(1, 1, UpstreamEnd(False)) == ()
    actions = running.resume(9, PauseReason.KEY)
    assert only(actions, StartAttempt).resume_after == 2


def test_idle_engine_is_replaced_and_a_paused_one_is_not(running):
    running.pause(1, PauseReason.CALLER)
    assert running.tick(80) == ()
    running.resume(80, PauseReason.CALLER)
    assert running.tick(81) == ()
    actions = running.tick(running.next_tick())
    assert only(actions, AttemptFailed).cause is FailureCause.TIMEOUT


def test_deadline_ends_even_a_paused_stream(running):
    running.pause(1, PauseReason.KEY)
    actions = running.tick(100)
    assert only(actions, Finish).reason is FinishReason.DEADLINE


def test_slow_caller_bounds_what_is_held():
    settings = ExchangeSettings(max_held_bytes=3 * len(event(2)))
    exchange = make_exchange(settings)
    exchange.start(0)
    begin(exchange)
    exchange.body(0, 1, event(1))
    exchange.pause(0, PauseReason.CALLER)
    for number in (2, 3, 4):
        exchange.body(0, 1, event(number))
    assert exchange.body(0, 1, event(5))[0] == CancelAttempt(1)
    assert exchange.buffered == 0
    start = only(exchange.resume(1, PauseReason.CALLER), StartAttempt)
    assert (start.resume_after, start.exclude) == (1, frozenset())


def whole(exchange, number, status=200, body=b"{}", **kwargs):
    exchange.attempt_started(0, number, f"E{number}")
    head = ResponseHead(status, (), "application/json", REQUEST_ID, **kwargs)
    actions = exchange.head(0, number, head)
    actions += exchange.body(0, number, body)
    return actions + exchange.upstream_end(0, number, UpstreamEnd(True))


def test_error_status_is_retried_and_passed_on_as_a_last_resort():
    exchange = make_exchange(stream=False)
    exchange.start(0)
    actions = whole(exchange, 1, status=500, body=b"boom")
    assert not find(actions, SendHead)
    actions = exchange.no_target(0, 2, "none")
    assert only(actions, SendHead).status == 500
    assert only(actions, SendBytes).data == b"boom"


@pytest.mark.parametrize(
    ("status", "mark"), [(503, RunMark.UNKNOWN), (500, RunMark.RAN)]
)
def test_errors_of_calls_that_may_not_be_repeated(status, mark):
    exchange = make_exchange(stream=False, idempotent=False)
    exchange.start(0)
    actions = whole(exchange, 1, status=status)
    assert not find(actions, StartAttempt)
    assert only(actions, SendHead).mark is mark
    assert only(actions, Finish).mark is mark


def test_refusal_as_not_run_moves_a_call_that_may_not_be_repeated():
    exchange = make_exchange(stream=False, idempotent=False)
    exchange.start(0)
    actions = whole(exchange, 1, status=503, not_run=True, retry_after_s=2.0)
    assert only(actions, StartAttempt).number == 2
    finish = only(exchange.no_target(0, 2, "none"), Finish)
    assert (finish.mark, finish.retry_after_s) == (RunMark.NOT_RUN, 2.0)


def test_close_after_the_request_was_written_is_not_called_not_run():
    exchange = make_exchange(stream=False, idempotent=False)
    exchange.start(0)
    exchange.attempt_started(0, 1, "P1")
    finish = only(exchange.upstream_end(0, 1, UpstreamEnd(False)), Finish)
    assert (finish.mark, finish.status) == (RunMark.UNKNOWN, 502)


def test_answer_to_another_request_is_refused():
    exchange = make_exchange(stream=False)
    exchange.start(0)
    exchange.attempt_started(0, 1, "E1")
    head = ResponseHead(200, (), "application/json", "another")
    actions = exchange.head(0, 1, head)
    assert only(actions, CancelAttempt).number == 1
    assert only(actions, AttemptFailed).cause is FailureCause.WRONG_REQUEST


def test_missing_echo_is_refused_where_required():
    exchange = make_exchange(echo_required=True)
    exchange.start(0)
    exchange.attempt_started(0, 1, "E1")
    actions = exchange.head(0, 1, ResponseHead(200, (), SSE))
    assert only(actions, AttemptFailed).cause is FailureCause.WRONG_REQUEST


def test_whole_answer_is_bounded():
    settings = ExchangeSettings(max_answer_bytes=10)
    exchange = make_exchange(settings, stream=False, idempotent=False)
    exchange.start(0)
    actions = whole(exchange, 1, body=b"x" * 11)
    assert only(actions, AttemptFailed).cause is FailureCause.TOO_LARGE
    assert only(actions, Finish).mark is RunMark.UNKNOWN


def test_whole_answer_waits_for_the_key_to_be_verified():
    exchange = make_exchange(stream=False)
    exchange.start(0)
    exchange.pause(0, PauseReason.KEY)
    assert whole(exchange, 1) == ()
    actions = exchange.resume(1, PauseReason.KEY)
    assert only(actions, SendBytes).data == b"{}"
