"""Bytes are written only once they are charged and the caller's key is verifiable.

The head of a whole answer was sent before its tokens were charged, and the connection
closed without the body; the request counted as running for ever. A router that was
suspended wrote events when it resumed, although their key had been withdrawn.
"""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from berylnotch.server.delivery import Delivery
from berylnotch.streams.actions import FinishReason, RunStatus, SendBytes, SendHead
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


@pytest.fixture
def timers():
    return []


@pytest.fixture
def balance():
    """Tokens of the organisation, by one name for all."""
    return {"tokens": 0}


@pytest.fixture
def view_state():
    """Whether the router's view is confirmed, by one name for all."""
    return {"is_fresh": True}


@pytest.fixture
def pauses():
    """Requests whose exchange was paused or resumed, in this order."""
    return []


@pytest.fixture
def delivery(timers, balance, view_state, pauses):
    quota = SimpleNamespace(
        balance=lambda now, name: balance["tokens"], charge=lambda now, name, n: True
    )
    context = SimpleNamespace(
        quota=quota,
        freshness=SimpleNamespace(is_fresh=lambda now: view_state["is_fresh"]),
        metrics=Metrics(),
        loop=SimpleNamespace(call_later=lambda delay_s, call: timers.append(call)),
    )
    demand = SimpleNamespace(update=lambda *_: None, remove=lambda *_: None)
    return Delivery(
        context,
        demand,
        lambda job: pauses.append("pause"),
        lambda job: pauses.append("resume"),
    )


def make_job(is_stream):
    return SimpleNamespace(
        request=SimpleNamespace(request_id="r1"),
        key_hash=b"h",
        organisation=SimpleNamespace(name="label-clerks"),
        organisation_name="label-clerks",
        service=SimpleNamespace(name="sake-llm"),
        language=SimpleNamespace(stream=is_stream),
        caller=FakeCaller(),
        arrived_at=0.0,
        chunked=False,
        held_head=b"",
        uncharged=[],
        charged_tokens=0,
        last_event_at=0.0,
        first_byte_at=0.0,
        pending_finish=None,
    )


def deliver(delivery, is_stream):
    """Deliver a finished answer; return the job and the calls of its end."""
    job, ends = make_job(is_stream), []
    length = None if is_stream else len(BODY)
    delivery.send_head(job, SendHead(200, (), RunStatus.RAN, length))
    delivery.send(job, SendBytes(BODY, 5 if is_stream else 0))
    delivery.finish(job, lambda: ends.append(job))
    return job, ends


def test_whole_answer_is_delivered_once_its_tokens_come(delivery, balance):
    job, ends = deliver(delivery, is_stream=False)
    assert (job.caller.sent, ends) == (b"", [])
    balance["tokens"] = 100
    delivery.retry()
    assert job.caller.sent.startswith(b"HTTP/1.1 200 ")
    assert job.caller.sent.endswith(b"\r\n\r\n" + BODY)
    assert job.caller.is_finished and ends == [job]


@pytest.mark.parametrize("is_stop", [True, False])
def test_whole_answer_without_tokens_is_refused_as_ran(delivery, timers, is_stop):
    job, ends = deliver(delivery, is_stream=False)
    delivery.end_uncharged() if is_stop else timers[0]()
    assert job.caller.sent.startswith(b"HTTP/1.1 504 ")
    assert b"X-Berylnotch-Run: ran" in job.caller.sent
    assert job.caller.is_finished and ends == [job]


@pytest.mark.parametrize("is_stop", [True, False])
def test_stream_without_tokens_ends_with_an_error_event(delivery, timers, is_stop):
    job, ends = deliver(delivery, is_stream=True)
    delivery.end_uncharged() if is_stop else timers[0]()
    code = b'"code": "stopping"' if is_stop else b'"code": "deadline"'
    assert code in job.caller.sent
    assert job.caller.sent.endswith(b"0\r\n\r\n")
    assert job.caller.is_finished and ends == [job]


def begin_stream(delivery):
    job = make_job(is_stream=True)
    delivery.send_head(job, SendHead(200, (), RunStatus.RAN, None))
    return job


def test_events_are_not_written_after_a_suspension_before_the_view_is_confirmed(
    delivery, balance, view_state, pauses
):
    balance["tokens"] = 100
    job = begin_stream(delivery)
    view_state["is_fresh"] = False
    delivery.send(job, SendBytes(b"event-1", 1))
    delivery.retry()
    assert b"event-1" not in job.caller.sent
    assert (pauses, job.charged_tokens) == (["pause"], 1)
    view_state["is_fresh"] = True
    delivery.retry()
    assert job.caller.sent.endswith(b"event-1\r\n")
    assert (pauses, job.charged_tokens) == (["pause", "resume"], 1)


@pytest.mark.parametrize("is_stream", [True, False])
def test_grant_from_before_a_suspension_does_not_release_held_bytes(
    delivery, balance, view_state, is_stream
):
    job, ends = deliver(delivery, is_stream)
    view_state["is_fresh"], balance["tokens"] = False, 100
    delivery.retry()
    assert BODY not in job.caller.sent and not ends
    view_state["is_fresh"] = True
    delivery.retry()
    assert BODY in job.caller.sent and ends == [job]


def test_error_event_is_written_while_the_view_is_not_confirmed(delivery, view_state):
    job = begin_stream(delivery)
    view_state["is_fresh"] = False
    delivery.send(job, SendBytes(b"error-event", 0))
    assert job.caller.sent.endswith(b"error-event\r\n")


def test_events_of_an_open_route_need_no_confirmed_view(delivery, balance, view_state):
    balance["tokens"] = 100
    job = begin_stream(delivery)
    job.key_hash, view_state["is_fresh"] = b"", False
    delivery.send(job, SendBytes(b"event-1", 1))
    assert job.caller.sent.endswith(b"event-1\r\n")


@pytest.mark.parametrize("is_stream", [True, False])
def test_finished_answer_without_tokens_ends_with_its_key(delivery, timers, is_stream):
    job, ends = deliver(delivery, is_stream)
    delivery.end_finished(job, FinishReason.KEY_WITHDRAWN)
    code = b'"code": "key-withdrawn"' if is_stream else b'"code": "key_withdrawn"'
    assert code in job.caller.sent and BODY not in job.caller.sent
    assert job.caller.is_finished and ends == [job]
    timers[0]()
    assert ends == [job]


def test_finished_answer_without_tokens_ends_with_its_caller(delivery):
    job, ends = deliver(delivery, is_stream=True)
    sent = job.caller.sent
    delivery.end_finished(job, FinishReason.CALLER_GONE)
    assert (job.caller.sent, ends) == (sent, [job])


def test_unfinished_answer_is_not_ended_as_a_finished_one(delivery):
    job = begin_stream(delivery)
    delivery.send(job, SendBytes(b"event-1", 1))
    delivery.end_finished(job, FinishReason.KEY_WITHDRAWN)
    assert not job.caller.is_finished and job.uncharged
