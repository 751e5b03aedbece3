"""Attempts that end at the time that the target was given, without a network.

The tests guard against sound targets, and the prompts that they run, being charged with
a failure that is the end of a deadline or of a planned stop.
"""

from types import SimpleNamespace

import pytest

from berylnotch.membership.departure import plan_stop
from berylnotch.net.client import Failure, ResponseHead
from berylnotch.net.messages import Headers
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
    assert target.ejection.failures == 1 and probed == ["e"]


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
