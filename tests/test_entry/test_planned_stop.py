"""Requests of a router that stops, without a network.

The tests guard against answers that are cut because their request was sent, queued or
sent again with more time than the router has.
"""

from types import SimpleNamespace

import pytest
from attrs import evolve

from berylnotch.entry.context import EXPECTED_STARTUP_S
from berylnotch.entry.failover import PendingAnswer, failover_at
from berylnotch.entry.model import Choice
from berylnotch.entry.results import AttemptEnd, AttemptResult
from berylnotch.entry.targets import MIN_PRESUMED_SILENCE_S
from berylnotch.group.messages import TargetEntry
from berylnotch.membership.departure import plan_stop
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.messages import Headers
from berylnotch.quota.messages import Grant, GrantReply
from berylnotch.routing.model import Organisation
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange

#: Duration of the route's recent answers in seconds.
ANSWER_S = 1.0


@pytest.fixture
def stop_with(context):
    """Let the router stop, with a number of seconds left for answers."""
    context.has_other_routers = lambda: True
    context.answer_times.record("chat", ANSWER_S, 20)

    def stop(left_s):
        planned = plan_stop(boot_time(), 8.0, 3.0)
        context.stop = evolve(planned, answer_by=boot_time() + left_s)

    return stop


def add_target(context, name):
    models = (ModelVersion("model-1", 1),)
    listed = [context.targets.get("e").listed]
    listed.append(
        ListedTarget(
            name, "llm", "127.0.0.1:8", "north", 8, models=models, software_version="v1"
        )
    )
    context.targets.update([TargetEntry(target) for target in listed])


def check_refusal(context, connection, reason):
    status, headers, _ = connection.answers[0]
    event, fields = context.log.events[-1]
    assert status == 503 and event == "finished"
    assert fields["reason"].startswith(reason) and fields["runs"] == 0
    return float(headers.get("Retry-After"))


def test_request_whose_answer_may_outlast_the_router_is_not_sent(context, stop_with):
    stop_with(ANSWER_S)
    _, connection, ended = make_exchange(context)
    assert check_refusal(context, connection, "stopping") == 0.0
    assert len(ended) == 1 and context.targets.get("e").in_flight == 0


def test_request_whose_answer_ends_in_time_is_sent(context, stop_with):
    stop_with(5 * ANSWER_S)
    exchange, connection, _ = make_exchange(context)
    assert connection.answers == [] and context.targets.get("e").in_flight == 1
    assert exchange._attempt._target_headers.deadline_s <= 5 * ANSWER_S


def make_late_request(context, **headers):
    """Return the connection of a request read 4 s after the signal of an 8 s stop."""
    context.answer_times.record("chat", 0.01, 20)
    context.stop = plan_stop(boot_time() - 4.0, 8.0, 3.0)
    return make_exchange(context, **headers)[1]


def test_late_request_that_may_outlast_the_router_is_refused_at_once(context):
    """No estimate holds for targets that get slower, break or fall silent."""
    context.has_other_routers = lambda: True
    connection = make_late_request(context, read_at=boot_time())
    assert check_refusal(context, connection, "stopping") == 0.0


def test_late_request_with_a_deadline_before_the_exit_is_sent(context):
    connection = make_late_request(
        context, read_at=boot_time(), deadline_ms=ANSWER_S * 1000
    )
    assert connection.answers == [] and context.targets.get("e").in_flight == 1


def test_body_that_ends_late_makes_a_late_request(context):
    context.has_other_routers = lambda: True
    connection = make_late_request(
        context, received_at=boot_time() - 1.0, read_at=boot_time()
    )
    check_refusal(context, connection, "stopping")


def test_request_read_early_in_a_stop_is_taken_by_the_estimate(context):
    connection = make_late_request(context, read_at=boot_time() - 1.5)
    assert connection.answers == [] and context.targets.get("e").in_flight == 1


def test_refused_caller_without_another_router_waits_for_the_restart(
    context, stop_with
):
    stop_with(ANSWER_S)
    context.has_other_routers = lambda: False
    _, connection, _ = make_exchange(context)
    retry_s = check_refusal(context, connection, "stopping")
    restart_s = context.stop.exit_by - boot_time() + EXPECTED_STARTUP_S
    assert retry_s == pytest.approx(restart_s, abs=0.1)


def test_request_that_waits_for_tokens_is_not_sent_too_late(context, stop_with):
    alpha = Organisation("alpha", ("k",), 0, 50_000, 100_000, True, 200)
    exchange, connection, _ = make_exchange(context, organisation=alpha)
    stop_with(ANSWER_S)
    exchange.on_stop_planned()
    exchange._admit()
    assert check_refusal(context, connection, "stopping") == 0.0


def test_target_that_fell_silent_gets_no_late_request(context, stop_with):
    target = context.targets.get("e")
    make_exchange(context)
    target.heard_at = target.busy_since = boot_time() - 4 * ANSWER_S
    stop_with(4 * ANSWER_S)
    _, connection, _ = make_exchange(context)
    check_refusal(context, connection, "stopping")


def test_target_that_was_left_for_its_silence_gets_no_late_request(context, stop_with):
    target = context.targets.get("e")
    exchange, _, _ = make_exchange(context)
    target.heard_at = target.busy_since = boot_time() - 4 * ANSWER_S
    exchange._attempt.cancel(is_overdue=True)
    assert target.in_flight == 0
    stop_with(4 * ANSWER_S)
    _, connection, _ = make_exchange(context)
    check_refusal(context, connection, "stopping")


def test_router_without_a_recent_answer_refuses_late_requests(context, stop_with):
    context.answer_times = type(context.answer_times)()
    stop_with(0.5)
    _, connection, _ = make_exchange(context)
    check_refusal(context, connection, "stopping")


def test_repeatable_request_is_not_sent_again_without_time_for_an_answer(
    context, stop_with
):
    exchange, _, _ = make_exchange(context)
    exchange._tried_targets.clear()
    assert exchange.can_retry_elsewhere()
    stop_with(ANSWER_S)
    assert not exchange.can_retry_elsewhere()


def test_silent_request_is_moved_while_the_usual_time_of_an_answer_is_left(
    context, stop_with
):
    exchange, _, _ = make_exchange(context)
    exchange._tried_targets.clear()
    stop_with(1.5 * ANSWER_S)
    assert not exchange._time_limit.allows(Choice(context.targets.get("e"), 0.0))
    assert exchange.can_retry_elsewhere()


def test_silent_stream_that_has_begun_is_resumed_in_the_time_that_is_left(
    context, stop_with
):
    exchange, _, _ = make_exchange(context)
    exchange._tried_targets.clear()
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)
    stop_with(ANSWER_S)
    assert exchange.can_retry_elsewhere()
    exchange._attempt.cancel()
    exchange.on_attempt_end(
        AttemptResult(context.targets.get("e"), AttemptEnd.BROKEN, "no data")
    )
    assert not exchange._has_ended and context.targets.get("e").in_flight == 1


def test_failover_leaves_time_for_another_answer(context):
    route = context.routes.route("app.example", "/chat/x")
    pending = PendingAnswer(100.0, 0.1, True, True, 101.0, 101.0)
    usual_at = failover_at(context.settings, route, pending)
    assert failover_at(context.settings, route, pending, 102.0) == 101.5
    assert failover_at(context.settings, route, pending, 200.0) == usual_at


def test_stream_with_usual_pauses_is_not_moved_shortly_before_the_exit(context):
    route = context.routes.route("app.example", "/chat/x")
    pending = PendingAnswer(100.0, 0.1, True, True, 101.0, 101.0)
    due_at = failover_at(context.settings, route, pending, 101.2)
    assert due_at == 101.0 + route.max_gap_s


def test_overdue_request_is_moved_once_another_target_has_room(context, stop_with):
    exchange, _, _ = make_exchange(context)
    add_target(context, "f")
    exchange._tried_targets.add("f")
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)
    stop_with(ANSWER_S)
    attempt = exchange._attempt
    attempt._sent_at = attempt._last_event_at = boot_time() - 10 * ANSWER_S
    delayed = []
    context.loop.call_later = lambda delay_s, call: delayed.append(call)
    attempt.check_overdue()
    assert len(delayed) == 1 and not attempt._has_ended
    exchange._tried_targets.remove("f")
    delayed.pop()()
    assert attempt._has_ended and context.targets.get("f").in_flight == 1


def test_stalled_stream_asks_for_a_token_of_a_limited_target(context, stop_with):
    """Otherwise a limited target stays unused while the router cuts its streams.

    New requests ask for tokens, but a stopping router refuses most of them before.
    """
    exchange, _, _ = make_exchange(context)
    add_target(context, "f")
    limits = context.target_limits
    limits.set_limit(boot_time(), context.targets.get("f"), 1.0)
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)
    stop_with(ANSWER_S)
    attempt = exchange._attempt
    attempt._sent_at = attempt._last_event_at = boot_time() - 10 * ANSWER_S
    delayed = []
    context.loop.call_later = lambda delay_s, call: delayed.append(call)
    attempt.check_overdue()
    assert not attempt._has_ended
    request = limits.asks(boot_time(), "r", "1")
    assert [ask.organisation for ask in request.asks] == ["f"]
    grant = Grant("f", 1, 1000, 0, 0)
    limits.receive(boot_time(), GrantReply(1, request.sequence, (grant,)))
    delayed.pop()()
    assert attempt._has_ended and context.targets.get("f").in_flight == 1


def test_begun_stream_is_not_resumed_at_a_target_that_was_left_silent(
    context, stop_with
):
    target = context.targets.get("e")
    exchange, _, _ = make_exchange(context)
    exchange._tried_targets.clear()
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)
    target.left_silent_at = boot_time()
    stop_with(ANSWER_S)
    assert not exchange.can_retry_elsewhere()


def test_begun_stream_is_not_broken_off_in_a_stop_while_targets_are_full(
    context, stop_with
):
    exchange, connection, ended = make_exchange(context)
    connection.break_off = lambda: None
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)
    stop_with(ANSWER_S)
    target, delayed = context.targets.get("e"), []
    context.loop.call_later = lambda delay_s, call: delayed.append(call)
    target.back_off(boot_time(), 10.0)
    exchange.on_attempt_end(AttemptResult(target, AttemptEnd.NOT_RUN, "full"))
    delayed.pop()()
    assert not ended and exchange._attempt is None
    target.refused_until = 0.0
    for _ in range(20):
        context.retries.earn("llm")
    delayed.pop()()
    assert exchange._attempt is not None
    stop_with(0.0)
    exchange.on_attempt_end(AttemptResult(target, AttemptEnd.NOT_RUN, "full"))
    assert ended


def test_target_is_not_avoided_until_the_exit_for_an_earlier_silence(
    context, stop_with
):
    """Otherwise streams are cut although a target answers that was silent once.

    A stopping router sends nothing to a target that it left, and so never hears it.
    """
    silence_s = 3 * MIN_PRESUMED_SILENCE_S
    exchange, _, _ = make_exchange(context)
    add_target(context, "f")
    target = context.targets.get("f")
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)
    stop_with(ANSWER_S)
    target.left_silent_at = boot_time() - 0.9 * silence_s
    target.busy_since = target.left_silent_at - silence_s
    assert not exchange.can_retry_elsewhere()
    target.left_silent_at = boot_time() - 1.1 * silence_s
    target.busy_since = target.left_silent_at - silence_s
    assert exchange.can_retry_elsewhere() and target.silent_s(boot_time()) == 0.0


def test_router_that_serves_resumes_a_stream_at_a_target_that_was_left_silent(context):
    exchange, _, _ = make_exchange(context)
    exchange._tried_targets.clear()
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)
    context.targets.get("e").left_silent_at = boot_time()
    assert exchange.can_retry_elsewhere()


def test_target_of_a_stream_that_its_caller_left_does_not_count_as_silent(context):
    exchange, connection, _ = make_exchange(context, received_at=boot_time() - 4)
    attempt, target = exchange._attempt, context.targets.get("e")
    attempt._head = object()
    attempt._last_event_at = target.heard_at = boot_time()
    connection.on_disconnected()
    assert not target.was_left_silent


def test_late_request_goes_to_another_target_than_one_left_silent(context, stop_with):
    context.targets.get("e").left_silent_at = boot_time()
    add_target(context, "f")
    stop_with(5 * ANSWER_S)
    make_exchange(context)
    assert context.targets.get("f").in_flight == 1


def test_request_refused_for_lack_of_time_is_not_charged(context, stop_with):
    alpha = Organisation("alpha", ("k",), 0, 50_000, 100_000, True, 200)
    charged = []
    context.gate = SimpleNamespace(charge=lambda *charge: charged.append(charge))
    stop_with(ANSWER_S)
    _, connection, _ = make_exchange(context, organisation=alpha)
    assert check_refusal(context, connection, "stopping") == 0.0
    assert charged == []


def test_failure_of_a_target_is_passed_on_without_time_for_another(context, stop_with):
    exchange, connection, _ = make_exchange(context)
    add_target(context, "f")
    stop_with(0.5 * ANSWER_S)
    target = context.targets.get("e")
    exchange.on_attempt_end(
        AttemptResult(target, AttemptEnd.ANSWERED, "", 500, Headers(), b"failed")
    )
    status, _, body = connection.answers[0]
    assert (status, body) == (500, b"failed")


def test_planned_stop_shortens_the_time_of_running_requests(context, stop_with):
    exchange, connection, _ = make_exchange(context)
    assert exchange._remaining_s > 3.0
    stop_with(1.0)
    exchange.on_stop_planned()
    assert exchange._remaining_s <= 1.0
    assert exchange._time_limit.allows(Choice(context.targets.get("e"), 0.0)) is False
    exchange._end_without_response()
    check_refusal(context, connection, "stopping")
