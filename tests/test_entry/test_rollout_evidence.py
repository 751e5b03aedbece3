"""Evidence on the engines of a rollout, from attempts without a network.

The tests guard against a bad version whose failures are not counted, and against a good
one that is charged with the ends of deadlines, of callers or of this router.
"""

from types import SimpleNamespace

import pytest
from attrs import evolve

from berylnotch.entry.results import AttemptEnd
from berylnotch.entry.rollout_evidence import (
    MAX_ENGINE_ROWS,
    PACE_EVENTS,
    REMAINING_ENGINES,
    RolloutEvidence,
)
from berylnotch.group.messages import TargetEntry
from berylnotch.group.rollouts import (
    FIRST_EVENT_LOWEST,
    PACE_LOWEST_MS,
    RolloutPhase,
    RolloutPolicy,
    histogram_bucket,
)
from berylnotch.net.client import Failure
from berylnotch.net.messages import Headers
from berylnotch.net.response_reader import ResponseHead
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange

STAMP = ("Berylnotch-Server-Stamp", "stamp")


@pytest.fixture
def rollouts(context):
    """Gate of a router whose only engine is that of the candidate."""
    apply(context, RolloutPhase.SHIFTING)
    return context.rollouts


def apply(context, phase, version="v1"):
    policy = RolloutPolicy("llm", version, 1, phase, 1.0, 1)
    context.rollouts.apply(boot_time(), [policy])


def begin(context, **changes):
    """Return an exchange whose only attempt was sent, and the attempt."""
    exchange, connection, _ = make_exchange(context, **changes)
    connection.break_off = connection.end_stream = lambda *_: None
    attempt = exchange._attempt
    attempt._connection = SimpleNamespace(
        is_reusable=False, is_reused=False, has_sent=True, close=lambda: None
    )
    return exchange, attempt


def receive_head(attempt, status, *headers):
    headers = (("Berylnotch-Request-Id", "id-1"), *headers)
    attempt.on_head(ResponseHead(status, Headers(headers), is_delimited=True))


def begin_stream(attempt, events=1):
    receive_head(attempt, 200, STAMP, ("Content-Type", "text/event-stream"))
    for number in range(1, events + 1):
        attempt.on_body(f"id: {number}\ndata: x\n\n".encode())


def age(attempt, seconds):
    """Let an attempt have been sent earlier."""
    attempt._sent_at -= seconds
    if attempt._evidence is not None:
        attempt._evidence._sent_at -= seconds


def row(context):
    """Return the only row of the first report on a link, None without one."""
    context.rollouts.on_link_open()
    (report,) = context.rollouts.reports(boot_time(), context.targets.of)
    assert len(report.rows) <= 1
    return report.rows[0] if report.rows else None


def counts_of(context):
    """Return the numbers of answers and failures in the only row, 0 without one."""
    result = row(context)
    assert result is None or (result.route, result.target_id) == ("chat", "e")
    return (result.answers, result.failures) if result else (0, 0)


def test_no_attempt_is_recorded_without_an_active_rollout(context):
    _, attempt = begin(context)
    assert attempt._evidence is None
    apply(context, RolloutPhase.COMPLETED)
    _, attempt = begin(context)
    assert attempt._evidence is None


def test_complete_stream_is_no_failure(context, rollouts):
    _, attempt = begin(context)
    begin_stream(attempt, events=2)
    attempt.on_complete()
    assert counts_of(context) == (1, 0)
    assert sum(row(context).first_event) == sum(row(context).pace) == 1


def test_responses_of_other_versions_are_summed_as_the_reference(context):
    apply(context, RolloutPhase.OBSERVING, version="v2")
    listed = evolve(context.targets.get("e").listed, target_id="f")
    context.targets.update([TargetEntry(listed)], gone=())
    for _ in range(4):
        _, attempt = begin(context)
        begin_stream(attempt)
        attempt.on_complete()
    result = row(context)
    assert (result.target_id, result.answers, result.failures) == ("", 4, 0)


@pytest.mark.parametrize(
    ("status", "headers", "counts"),
    [
        (200, (), (1, 1)),
        (200, (STAMP, ("Content-Encoding", "gzip")), (1, 1)),
        (500, (), (1, 1)),
        (502, (), (1, 1)),
        (503, (), (1, 1)),
        (503, (("Berylnotch-Not-Executed", "1"),), (0, 0)),
        (400, (), (1, 0)),
    ],
    ids=["no-stamp", "encoded", "500", "502", "503", "not-run", "400"],
)
def test_whole_response_counts_by_its_status_and_its_use(
    context, rollouts, status, headers, counts
):
    _, attempt = begin(context)
    receive_head(attempt, status, *headers)
    attempt.on_complete()
    assert counts_of(context) == counts


@pytest.mark.parametrize("events", [0, 1])
def test_broken_connection_is_a_failure(context, rollouts, events):
    _, attempt = begin(context)
    if events:
        begin_stream(attempt)
    attempt.on_failure(Failure.BROKEN, "reset")
    assert counts_of(context) == (1, 1)


def test_overdue_answer_is_a_failure(context, rollouts):
    # A request that must not be repeated waits until its own deadline.
    exchange, attempt = begin(context)
    age(attempt, 3.0)
    exchange._end_without_response()
    assert counts_of(context) == (1, 1)


def test_stalled_stream_is_a_failure(context, rollouts):
    exchange, attempt = begin(context)
    begin_stream(attempt)
    attempt._last_event_at -= 3.0
    exchange._on_caller_disconnect()
    assert counts_of(context) == (1, 1)


@pytest.mark.parametrize("failure", [Failure.NOT_SENT, Failure.NO_SOCKET])
def test_request_that_was_not_sent_is_not_counted(context, rollouts, failure):
    _, attempt = begin(context)
    attempt.on_failure(failure, "refused")
    assert row(context) is None


@pytest.mark.parametrize("events", [0, 1])
def test_caller_that_leaves_charges_no_engine(context, rollouts, events):
    exchange, attempt = begin(context)
    if events:
        begin_stream(attempt)
    exchange._on_caller_disconnect()
    assert counts_of(context) == (0, 0)


def test_stop_of_the_router_charges_no_engine(context, rollouts):
    exchange, _ = begin(context)
    exchange.stop()
    assert counts_of(context) == (0, 0)


@pytest.mark.parametrize("is_error_answer", [False, True])
@pytest.mark.parametrize(("given_s", "failures"), [(0.2, 0), (4.9, 1)])
def test_end_at_the_deadline_is_a_failure_only_after_the_usual_time(
    context, rollouts, given_s, failures, is_error_answer
):
    # The target latency is 0.4 s, so 0.2 s say nothing of the engine.
    _, attempt = begin(context)
    attempt._target_headers = evolve(attempt._target_headers, deadline_s=given_s)
    age(attempt, given_s)
    if is_error_answer:
        receive_head(attempt, 504)
        attempt.on_complete()
    else:
        attempt.on_failure(Failure.BROKEN, "closed at the deadline")
    assert counts_of(context) == (failures, failures)


def test_lack_of_memory_here_charges_no_engine(context, rollouts):
    _, attempt = begin(context)
    receive_head(attempt, 200, STAMP)
    attempt._abort("no memory for the response", is_failure=False)
    assert row(context) is None


def test_time_of_a_request_that_was_left_counts_as_a_lower_bound(context, rollouts):
    # Callers leave slow engines, so only the fast answers would be seen.
    exchange, attempt = begin(context)
    attempt._expected_s = attempt._evidence._due_s = 0.5
    age(attempt, 1.0)
    exchange._on_caller_disconnect()
    result = row(context)
    bucket = histogram_bucket(2.0, FIRST_EVENT_LOWEST)
    assert result.answers == 0 and sum(result.first_event[bucket : bucket + 3]) == 1


def test_first_event_and_pace_are_known_before_a_slow_stream_ends(context, rollouts):
    _, attempt = begin(context)
    evidence, now = attempt._evidence, attempt._sent_at
    due_s = evidence._due_s
    for number in range(PACE_EVENTS + 3):
        evidence.on_event(now + 3.5 * due_s + 0.101 * number)
    result = row(context)
    assert result.first_event[histogram_bucket(3.5, FIRST_EVENT_LOWEST)] == 1
    assert result.pace[histogram_bucket(101.0, PACE_LOWEST_MS)] == 1
    evidence.on_end(now + 9.0, AttemptEnd.STREAM_COMPLETE, 200)
    assert sum(row(context).pace) == 1


def test_stream_without_an_expected_time_has_no_time_of_its_first_event(
    context, rollouts
):
    # A run that is taken over has a copy of its cache, and no delay is estimated.
    _, attempt = begin(context)
    attempt._evidence._due_s = 0.0
    begin_stream(attempt)
    attempt.on_complete()
    assert counts_of(context) == (1, 0)
    assert row(context).first_event == ()


def test_time_of_a_plain_answer_is_relative_to_the_target_latency(context):
    listed = evolve(context.targets.get("e").listed, target_id="d", service="desk")
    context.targets.update([TargetEntry(listed)], gone=())
    policy = RolloutPolicy("desk", "v1", 1, RolloutPhase.SHIFTING, 1.0, 1)
    context.rollouts.apply(boot_time(), [policy])
    _, attempt = begin(context, target="/read/x")
    age(attempt, 1.2)
    receive_head(attempt, 200, STAMP)
    attempt.on_complete()
    result = row(context)
    assert (result.route, result.answers, result.failures) == ("read", 1, 0)
    bucket = histogram_bucket(3.0, FIRST_EVENT_LOWEST)
    assert sum(result.first_event[bucket : bucket + 3]) == 1 and result.pace == ()


def test_number_of_rows_is_bounded_without_a_loss_of_counts():
    evidence = RolloutEvidence()
    for number in range(200):
        for route in ("chat", "read"):
            evidence.of(route, f"n{number}").answers += 1
            evidence.of(route, "").answers += 1
    rows = evidence.take_rows(is_whole=True)
    assert len(rows) == MAX_ENGINE_ROWS + 4
    assert sum(r.answers for r in rows if r.target_id) == 400
    assert {r.target_id for r in rows} >= {"", REMAINING_ENGINES}
