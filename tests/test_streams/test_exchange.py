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
    RunStatus,
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

from .fakes import END_MARKER, REQUEST_ID, caller_event, engine_event, make_exchange

EVENT_STREAM = "text/event-stream"


def find_actions(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def single_action(actions, kind):
    (action,) = find_actions(actions, kind)
    return action


def start_stream(exchange, number=1, weights="v1", target=None):
    exchange.attempt_started(0, number, target or f"E{number}")
    head = ResponseHead(200, (), EVENT_STREAM, REQUEST_ID, weights)
    return exchange.on_response_head(0, number, head)


@pytest.fixture
def running():
    """Stream that has delivered two events of attempt 1."""
    exchange = make_exchange()
    exchange.start(0)
    start_stream(exchange)
    exchange.on_response_chunk(0, 1, engine_event(1) + engine_event(2))
    return exchange


def test_clean_close_without_end_marker_resumes_at_another_target(running):
    actions = running.on_transfer_end(1, 1, UpstreamEnd(True))
    assert single_action(actions, AttemptFailed).cause is FailureCause.TRUNCATED
    start = single_action(actions, StartAttempt)
    assert (start.resume_after, start.weights, start.exclude) == (2, "v1", {"E1"})
    start_stream(running, 2)
    actions = running.on_response_chunk(2, 2, engine_event(3) + END_MARKER)
    assert single_action(actions, SendBytes).data == caller_event(3) + END_MARKER
    assert single_action(actions, Finish).run_status is RunStatus.RAN


def test_input_of_a_replaced_attempt_is_ignored(running):
    running.on_transfer_end(1, 1, UpstreamEnd(False))
    assert running.on_response_chunk(1, 1, engine_event(3)) == ()
    assert running.on_transfer_end(1, 1, UpstreamEnd(True)) == ()


def test_gap_cancels_attempt_and_resumes_after_last_delivered_event(running):
    actions = running.on_response_chunk(1, 1, engine_event(3) + engine_event(5))
    assert single_action(actions, CancelAttempt).number == 1
    assert single_action(actions, AttemptFailed).cause is FailureCause.GAP
    assert single_action(actions, StartAttempt).resume_after == 2


def test_other_weights_end_the_stream_with_an_error(running):
    running.on_transfer_end(1, 1, UpstreamEnd(False))
    actions = start_stream(running, 2, weights="v2")
    assert not find_actions(actions, SendBytes)
    start = single_action(
        running.tick(single_action(actions, WaitUntil).time), StartAttempt
    )
    assert start.exclude == {"E1", "E2"}
    actions = running.on_no_target(1, start.number, "no engine with v1")
    finish = single_action(actions, Finish)
    assert finish.reason is FinishReason.WEIGHTS_CHANGED
    assert finish.run_status is RunStatus.RAN
    assert not finish.keep_connection
    assert b'"weights-changed"' in single_action(actions, SendBytes).data
    assert END_MARKER not in single_action(actions, SendBytes).data


def test_stream_that_has_begun_waits_for_a_target(running):
    actions = running.on_transfer_end(1, 1, UpstreamEnd(False))
    now, attempt_count = 1.0, 0
    while start := find_actions(actions, StartAttempt):
        attempt_count += 1
        actions = running.on_no_target(now, start[0].number, "none", retry_after_s=1.0)
        for wait in find_actions(actions, WaitUntil):
            now = wait.time
            actions = running.tick(now)
    assert single_action(actions, Finish).reason is FinishReason.NO_TARGET
    assert 10 <= now <= 12.5
    assert 5 < attempt_count < 30


def test_stream_that_has_begun_resumes_when_a_target_is_available(running):
    running.on_transfer_end(1, 1, UpstreamEnd(False))
    running.on_no_target(1, 2, "none", retry_after_s=1.0)
    actions = running.tick(running.next_tick())
    assert single_action(actions, StartAttempt).resume_after == 2


def test_no_target_without_retry_after_ends_the_stream(running):
    running.on_transfer_end(1, 1, UpstreamEnd(False))
    actions = running.on_no_target(1, 2, "request crashes targets")
    assert single_action(actions, Finish).reason is FinishReason.NO_TARGET


def test_third_attempt_starts_after_back_off():
    exchange = make_exchange()
    exchange.start(0)
    end = UpstreamEnd(False, sent=False)
    exchange.attempt_started(0, 1, "E1")
    assert single_action(exchange.on_transfer_end(0, 1, end), StartAttempt).number == 2
    exchange.attempt_started(0, 2, "E2")
    actions = exchange.on_transfer_end(0, 2, end)
    next_start_time = single_action(actions, WaitUntil).time
    assert exchange.next_tick() == next_start_time > 0
    assert single_action(exchange.tick(next_start_time), StartAttempt).number == 3


def test_any_weights_version_is_allowed_before_the_first_event():
    exchange = make_exchange()
    exchange.start(0)
    start_stream(exchange, weights="v1")
    actions = exchange.on_transfer_end(1, 1, UpstreamEnd(True))
    assert single_action(actions, AttemptFailed).cause is FailureCause.EMPTY
    assert single_action(actions, StartAttempt).weights == ""
    start_stream(exchange, 2, weights="v2")
    actions = exchange.on_response_chunk(1, 2, engine_event(1))
    assert single_action(actions, SendBytes).data.startswith(b"id: B-v2.1\n")


def test_end_marker_alone_is_a_failure():
    exchange = make_exchange()
    exchange.start(0)
    start_stream(exchange)
    actions = exchange.on_response_chunk(0, 1, END_MARKER)
    assert single_action(actions, AttemptFailed).cause is FailureCause.EMPTY
    assert not find_actions(actions, SendHead)


def test_resumed_caller_gets_only_missing_events():
    exchange = make_exchange(resume_after=2, weights="v1")
    assert single_action(exchange.start(0), StartAttempt).resume_after == 2
    start_stream(exchange)
    actions = exchange.on_response_chunk(
        0, 1, engine_event(1) + engine_event(2) + engine_event(3) + END_MARKER
    )
    assert single_action(actions, SendBytes).data == caller_event(3) + END_MARKER


def test_withdrawn_key_ends_a_running_stream(running):
    actions = running.on_key_withdrawn(1)
    assert single_action(actions, CancelAttempt).number == 1
    assert b'"key-withdrawn"' in single_action(actions, SendBytes).data
    assert single_action(actions, Finish).reason is FinishReason.KEY_WITHDRAWN
    assert running.on_response_chunk(1, 1, engine_event(3)) == ()


def test_withdrawn_key_before_the_request_is_sent_gives_not_run_mark():
    exchange = make_exchange()
    exchange.start(0)
    finish = single_action(exchange.on_key_withdrawn(0), Finish)
    assert (finish.run_status, finish.status) == (RunStatus.NOT_RUN, 401)


def test_caller_disconnect_cancels_the_attempt(running):
    actions = running.on_caller_disconnected(1)
    assert single_action(actions, CancelAttempt).number == 1
    assert not find_actions(actions, SendBytes)


def test_pause_holds_events_and_resume_delivers_them(running):
    assert single_action(running.pause(1, PauseReason.KEY), PauseUpstream).number == 1
    assert running.pause(1, PauseReason.QUOTA) == ()
    assert running.on_response_chunk(1, 1, engine_event(3) + END_MARKER) == ()
    assert running.on_transfer_end(1, 1, UpstreamEnd(True)) == ()
    assert running.resume(2, PauseReason.KEY) == ()
    actions = running.resume(2, PauseReason.QUOTA)
    assert single_action(actions, SendBytes).data == caller_event(3) + END_MARKER
    assert not find_actions(actions, ResumeUpstream)
    assert single_action(actions, Finish).reason is FinishReason.COMPLETE


def test_no_attempt_starts_while_paused():
    exchange = make_exchange()
    exchange.pause(0, PauseReason.KEY)
    assert exchange.start(0) == ()
    assert single_action(exchange.resume(5, PauseReason.KEY), StartAttempt).number == 1


def test_engine_lost_while_paused_is_replaced_after_the_pause(running):
    running.pause(1, PauseReason.KEY)
    assert running.on_transfer_end(1, 1, UpstreamEnd(False)) == ()
    actions = running.resume(9, PauseReason.KEY)
    assert single_action(actions, StartAttempt).resume_after == 2


def test_idle_engine_is_replaced_and_a_paused_one_is_not(running):
    running.pause(1, PauseReason.CALLER)
    assert running.tick(80) == ()
    running.resume(80, PauseReason.CALLER)
    assert running.tick(81) == ()
    actions = running.tick(running.next_tick())
    assert single_action(actions, AttemptFailed).cause is FailureCause.TIMEOUT


def test_deadline_ends_even_a_paused_stream(running):
    running.pause(1, PauseReason.KEY)
    actions = running.tick(100)
    assert single_action(actions, Finish).reason is FinishReason.DEADLINE


def test_held_bytes_are_bounded_for_a_slow_caller():
    settings = ExchangeSettings(max_held_bytes=3 * len(engine_event(2)))
    exchange = make_exchange(settings)
    exchange.start(0)
    start_stream(exchange)
    exchange.on_response_chunk(0, 1, engine_event(1))
    exchange.pause(0, PauseReason.CALLER)
    for number in (2, 3, 4):
        exchange.on_response_chunk(0, 1, engine_event(number))
    assert exchange.on_response_chunk(0, 1, engine_event(5))[0] == CancelAttempt(1)
    assert exchange.buffered_bytes == 0
    start = single_action(exchange.resume(1, PauseReason.CALLER), StartAttempt)
    assert (start.resume_after, start.exclude) == (1, frozenset())


def receive_buffered_response(exchange, number, status=200, body=b"{}", **kwargs):
    exchange.attempt_started(0, number, f"E{number}")
    head = ResponseHead(status, (), "application/json", REQUEST_ID, **kwargs)
    actions = exchange.on_response_head(0, number, head)
    actions += exchange.on_response_chunk(0, number, body)
    return actions + exchange.on_transfer_end(0, number, UpstreamEnd(True))


def test_error_status_is_retried_and_delivered_without_further_target():
    exchange = make_exchange(stream=False)
    exchange.start(0)
    actions = receive_buffered_response(exchange, 1, status=500, body=b"boom")
    assert not find_actions(actions, SendHead)
    actions = exchange.on_no_target(0, 2, "none")
    assert single_action(actions, SendHead).status == 500
    assert single_action(actions, SendBytes).data == b"boom"


@pytest.mark.parametrize(
    ("status", "mark"), [(503, RunStatus.UNKNOWN), (500, RunStatus.RAN)]
)
def test_error_status_of_a_non_idempotent_request_is_not_retried(status, mark):
    exchange = make_exchange(stream=False, idempotent=False)
    exchange.start(0)
    actions = receive_buffered_response(exchange, 1, status=status)
    assert not find_actions(actions, StartAttempt)
    assert single_action(actions, SendHead).run_status is mark
    assert single_action(actions, Finish).run_status is mark


def test_not_run_refusal_of_a_non_idempotent_request_is_retried():
    exchange = make_exchange(stream=False, idempotent=False)
    exchange.start(0)
    actions = receive_buffered_response(
        exchange, 1, status=503, not_run=True, retry_after_s=2.0
    )
    assert single_action(actions, StartAttempt).number == 2
    finish = single_action(exchange.on_no_target(0, 2, "none"), Finish)
    assert (finish.run_status, finish.retry_after_s) == (RunStatus.NOT_RUN, 2.0)


def test_close_after_the_request_was_written_gives_unknown_mark():
    exchange = make_exchange(stream=False, idempotent=False)
    exchange.start(0)
    exchange.attempt_started(0, 1, "P1")
    finish = single_action(exchange.on_transfer_end(0, 1, UpstreamEnd(False)), Finish)
    assert (finish.run_status, finish.status) == (RunStatus.UNKNOWN, 502)


def test_response_to_another_request_is_rejected():
    exchange = make_exchange(stream=False)
    exchange.start(0)
    exchange.attempt_started(0, 1, "E1")
    head = ResponseHead(200, (), "application/json", "another")
    actions = exchange.on_response_head(0, 1, head)
    assert single_action(actions, CancelAttempt).number == 1
    assert single_action(actions, AttemptFailed).cause is FailureCause.WRONG_REQUEST


def test_missing_request_id_is_rejected_where_required():
    exchange = make_exchange(echo_required=True)
    exchange.start(0)
    exchange.attempt_started(0, 1, "E1")
    actions = exchange.on_response_head(0, 1, ResponseHead(200, (), EVENT_STREAM))
    assert single_action(actions, AttemptFailed).cause is FailureCause.WRONG_REQUEST


def test_buffered_response_is_bounded():
    settings = ExchangeSettings(max_answer_bytes=10)
    exchange = make_exchange(settings, stream=False, idempotent=False)
    exchange.start(0)
    actions = receive_buffered_response(exchange, 1, body=b"x" * 11)
    assert single_action(actions, AttemptFailed).cause is FailureCause.TOO_LARGE
    assert single_action(actions, Finish).run_status is RunStatus.UNKNOWN


def test_buffered_response_waits_for_key_verification():
    exchange = make_exchange(stream=False)
    exchange.start(0)
    exchange.pause(0, PauseReason.KEY)
    assert receive_buffered_response(exchange, 1) == ()
    actions = exchange.resume(1, PauseReason.KEY)
    assert single_action(actions, SendBytes).data == b"{}"


def hold_response_for_key(can_deliver_late, **kwargs):
    """Return an exchange whose whole answer was ready at 0 s, under a paused key."""
    exchange = make_exchange(
        ExchangeSettings(key_wait_s=2.0),
        stream=False,
        can_deliver_late=lambda now: can_deliver_late,
    )
    exchange.start(0)
    exchange.pause(0, PauseReason.KEY)
    receive_buffered_response(exchange, 1, **kwargs)
    return exchange


def test_ready_answer_does_not_wait_for_the_key_until_its_deadline():
    exchange = hold_response_for_key(can_deliver_late=True)
    assert exchange.tick(1.9) == ()
    assert exchange.next_tick() == 2.0
    actions = exchange.tick(2.0)
    assert single_action(actions, SendBytes).data == b"{}"
    assert single_action(actions, Finish).reason is FinishReason.COMPLETE


@pytest.mark.parametrize(
    ("status", "mark"), [(200, RunStatus.RAN), (429, RunStatus.UNKNOWN)]
)
def test_ready_answer_ends_if_its_key_may_have_been_withdrawn_long_ago(status, mark):
    exchange = hold_response_for_key(can_deliver_late=False, status=status)
    actions = exchange.tick(2.0)
    assert not find_actions(actions, SendBytes)
    finish = single_action(actions, Finish)
    assert finish.reason is FinishReason.KEYS_UNVERIFIED
    assert (finish.run_status, finish.status) == (mark, 504)


def test_wait_for_the_key_is_not_bounded_by_an_earlier_wait():
    exchange = make_exchange(ExchangeSettings(key_wait_s=2.0), stream=False)
    exchange.pause(0, PauseReason.KEY)
    exchange.start(0)
    exchange.resume(1, PauseReason.KEY)
    exchange.pause(1.5, PauseReason.KEY)
    assert exchange.tick(2.0) == ()
    receive_buffered_response(exchange, 1)
    assert exchange.resume(2, PauseReason.KEY)


@pytest.mark.parametrize("is_pause_first", [True, False])
def test_due_attempt_does_not_wait_for_the_key_until_its_deadline(is_pause_first):
    exchange = make_exchange(ExchangeSettings(key_wait_s=2.0), stream=False)
    if is_pause_first:
        exchange.pause(0, PauseReason.KEY)
        exchange.start(0)
    else:
        exchange.start(0)
        for number in (1, 2):
            exchange.attempt_started(0, number, f"E{number}")
            exchange.on_transfer_end(0, number, UpstreamEnd(False, sent=False))
        exchange.pause(0, PauseReason.KEY)
    assert exchange.next_tick() == 2.0
    finish = single_action(exchange.tick(2.0), Finish)
    assert finish.reason is FinishReason.KEYS_UNVERIFIED
    assert finish.run_status is RunStatus.NOT_RUN


def test_paused_stream_continues_after_a_long_wait_for_the_key(running):
    running.pause(1, PauseReason.KEY)
    running.on_transfer_end(1, 1, UpstreamEnd(False))
    assert running.tick(60) == ()
    assert single_action(running.resume(60, PauseReason.KEY), StartAttempt)


@pytest.mark.parametrize("status", [200, 204, 400, 404, 429, 500, 503])
def test_answer_of_the_next_target_is_no_part_of_a_stream_that_has_begun(
    running, status
):
    running.on_transfer_end(1, 1, UpstreamEnd(False))
    actions = receive_buffered_response(running, 2, status=status, body=b"overloaded")
    assert find_actions(actions, SendHead) == []
    assert find_actions(actions, SendBytes) == []
    actions = running.tick(10**6)
    assert find_actions(actions, SendHead) == []
    assert b"overloaded" not in single_action(actions, SendBytes).data
    assert single_action(actions, Finish).reason is FinishReason.DEADLINE


def test_stream_that_outlasts_the_stop_of_its_router_ends_with_an_error_event(running):
    running.stop_at(5.0)
    assert running.next_tick() == 5.0
    assert running.tick(4.9) == ()
    actions = running.tick(5.0)
    assert single_action(actions, CancelAttempt).number == 1
    assert b'"code": "stopping"' in single_action(actions, SendBytes).data
    finish = single_action(actions, Finish)
    assert (finish.reason, finish.run_status) == (FinishReason.STOPPING, RunStatus.RAN)


def test_request_that_outlasts_the_stop_of_its_router_is_not_called_not_run():
    exchange = make_exchange(stream=False, idempotent=False)
    exchange.start(0)
    exchange.attempt_started(0, 1, "E1")
    exchange.stop_at(5.0)
    finish = single_action(exchange.tick(5.0), Finish)
    assert (finish.status, finish.run_status) == (504, RunStatus.UNKNOWN)
