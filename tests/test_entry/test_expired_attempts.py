"""Attempts that end at the time that the target was given, without a network.

The tests guard against sound targets, and the prompts that they run, being charged with
a failure that is the end of a deadline or of a planned stop.
"""

from types import SimpleNamespace

import pytest

from berylnotch.membership.departure import plan_stop
from berylnotch.net.client import Failure
from berylnotch.net.messages import Headers
from berylnotch.net.response_reader import ResponseHead
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange


@pytest.fixture
def probed(context):
    """Identities of the targets that were probed since they seemed to be lost."""
    targets = []
    context.loss_prober = SimpleNamespace(
        probe=lambda target, on_probed: targets.append(target.target_id)
    )
    return targets


def begin_stream(exchange):
    exchange.on_stream_begin(200, Headers())
    exchange.on_event(b"id: 1\ndata: piece 1\n\n", 1)


def give_time(attempt, given_s, left_s):
    """Let an attempt have been sent such that some of the given seconds are left."""
    attempt._sent_at = boot_time() - given_s + left_s


@pytest.mark.parametrize("has_begun", [False, True])
def test_target_that_stops_at_the_deadline_is_charged_with_no_failure(
    context, probed, has_begun
):
    exchange, connection, ended = make_exchange(context)
    connection.break_off = lambda: None
    if has_begun:
        begin_stream(exchange)
    attempt, target = exchange._attempt, context.targets.get("e")
    give_time(attempt, attempt._target_headers.deadline_s, left_s=0.0)
    attempt.on_failure(Failure.BROKEN, "closed by the target")
    events = dict(context.log.events)
    assert "attempt_failed" not in events and target.ejection.failures == 0
    assert probed == [] and target.failure_rate == 0.0 and len(ended) == 1
    assert events["finished"]["reason"].startswith("deadline")


def test_target_that_breaks_a_run_before_its_time_is_charged(context, probed):
    exchange, _, _ = make_exchange(context)
    attempt, target = exchange._attempt, context.targets.get("e")
    give_time(attempt, attempt._target_headers.deadline_s, left_s=0.5)
    attempt.on_failure(Failure.BROKEN, "closed by the target")
    assert target.ejection.failures == 1 and set(probed) == {"e"}


def test_timeout_answer_at_the_deadline_is_no_failure_of_its_target(context):
    exchange, connection, _ = make_exchange(context)
    attempt, target = exchange._attempt, context.targets.get("e")
    attempt._connection = SimpleNamespace(is_reusable=False, close=lambda: None)
    headers = Headers((("Berylnotch-Request-Id", "id-1"),))
    attempt._head = ResponseHead(504, headers, True)
    give_time(attempt, attempt._target_headers.deadline_s, left_s=0.0)
    attempt.on_complete()
    assert target.failure_rate == 0.0 and connection.answers[0][0] == 504


def test_stop_that_ends_a_request_charges_its_target_with_no_failure(context, probed):
    exchange, _, _ = make_exchange(context)
    context.stop = plan_stop(boot_time() - 7.6, 8.0, 3.0)
    exchange.stop()
    target = context.targets.get("e")
    assert target.ejection.failures == 0 and not target.was_left_silent
    assert probed == []


def receive_head(attempt, status, is_delimited, **headers):
    """Let an attempt receive the head of an answer, without a connection."""
    attempt._connection = SimpleNamespace(
        is_reusable=False, is_reused=False, close=lambda: None
    )
    names = [("Berylnotch-Request-Id", "id-1")]
    names += [(name.replace("_", "-"), value) for name, value in headers.items()]
    attempt.on_head(ResponseHead(status, Headers(names), is_delimited))


def test_stream_that_its_target_closes_at_the_deadline_is_not_served_as_whole(context):
    exchange, connection, _ = make_exchange(context)
    ends = []
    connection.break_off = lambda: ends.append("broken off")
    connection.end_stream = lambda *_: ends.append("whole")
    attempt = exchange._attempt
    receive_head(
        attempt,
        200,
        is_delimited=False,
        Content_Type="text/event-stream",
        Berylnotch_Server_Stamp="stamp",
    )
    attempt.on_body(b"id: 1\ndata: piece 1\n\n")
    give_time(attempt, attempt._target_headers.deadline_s, left_s=0.0)
    attempt.on_complete()
    assert ends == ["broken off"]


def test_refusal_at_the_deadline_pauses_no_target_and_costs_no_retry(context):
    exchange, connection, _ = make_exchange(context, deadline_ms=200)
    attempt, target = exchange._attempt, context.targets.get("e")
    receive_head(attempt, 503, is_delimited=True, Berylnotch_Not_Executed="1")
    exchange._time_limit._deadline = boot_time()
    give_time(attempt, attempt._target_headers.deadline_s, left_s=0.0)
    attempt.on_complete()
    events = dict(context.log.events)
    assert target.is_usable(boot_time()) and "sent_again" not in events
    assert connection.answers[0][0] == 503
    assert events["finished"]["reason"].startswith("deadline")


@pytest.mark.parametrize(("deadline_ms", "failures"), [(100, 0), (500, 1)])
def test_deadline_below_the_target_latency_charges_no_target(
    context, deadline_ms, failures
):
    exchange, _, _ = make_exchange(context, deadline_ms=deadline_ms)
    exchange._sent_at -= deadline_ms / 1000
    exchange._end_without_response()
    target = context.targets.get("e")
    assert target.ejection.failures == failures
    assert target.was_left_silent == bool(failures)
