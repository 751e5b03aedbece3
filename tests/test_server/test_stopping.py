"""Requests that come late in a planned stop are taken only if their answers can end.

A stopping router that passes on a request with too little time cuts its answer, and
an unrepeatable one may not be sent again.
"""

from __future__ import annotations

import time
from types import SimpleNamespace

import pytest

from berylnotch.control.commands import LifeState
from berylnotch.entry.answer_times import LONGEST_FACTOR, MARGIN_S, AnswerTimes
from berylnotch.fleet.model import Fleet, Route, Vm
from berylnotch.membership.departure import plan_stop
from berylnotch.server import responses
from berylnotch.server.stopping import has_time_for, record_answer, stopping_refusal
from berylnotch.streams.actions import RunStatus

ROUTE = Route("/orders", "order-desk", timeout_s=20.0)


class FakeView:
    def __init__(self, **states) -> None:
        self._states = states
        vms = {name: Vm(name, "10.0.0.1:80", "howrah") for name in states}
        self.fleet = Fleet(vms=vms)

    def is_draining(self, subject, name) -> bool:
        return False

    def life_state(self, subject, name) -> LifeState:
        return self._states[name]


def make_context(stop_s, **states):
    return SimpleNamespace(
        view=FakeView(**states),
        settings=SimpleNamespace(name="entry-1"),
        answer_times=AnswerTimes(),
        stop=None if stop_s is None else plan_stop(time.monotonic(), stop_s, 0.0),
    )


def make_job(idempotent=False, language=None, timeout_s=ROUTE.timeout_s):
    return SimpleNamespace(
        route=ROUTE,
        service=SimpleNamespace(name="order-desk"),
        language=language,
        is_stream=language is not None and language.stream,
        idempotent=idempotent,
        arrived_at=time.monotonic(),
        deadline=time.monotonic() + timeout_s,
        attempt=SimpleNamespace(dispatch=SimpleNamespace(sent_at=100.0)),
        first_byte_at=0.0,
    )


def call(stream=True, max_tokens=0):
    return SimpleNamespace(stream=stream, max_tokens=max_tokens)


@pytest.mark.parametrize("idempotent", [False, True])
@pytest.mark.parametrize(("stop_s", "is_taken"), [(5.0, True), (4.0, False)])
def test_answer_may_last_longer_than_the_longest_before(idempotent, stop_s, is_taken):
    context = make_context(stop_s)
    record_answer(context, make_job(), 102.0)
    assert 4.0 < LONGEST_FACTOR * 2.0 + MARGIN_S < 4.5
    assert has_time_for(context, make_job(idempotent)) is is_taken


@pytest.mark.parametrize(("stop_s", "is_taken"), [(25.0, True), (15.0, False)])
def test_route_without_answers_may_take_its_timeout(stop_s, is_taken):
    assert has_time_for(make_context(stop_s), make_job()) is is_taken


def test_request_that_ends_by_its_own_deadline_is_taken():
    assert has_time_for(make_context(15.0), make_job(timeout_s=10.0))


@pytest.mark.parametrize(("timeout_s", "is_taken"), [(4.0, True), (6.0, False)])
def test_late_request_that_may_outlast_the_router_is_refused(timeout_s, is_taken):
    context = make_context(8.0)
    record_answer(context, make_job(), 100.1)
    context.stop = plan_stop(time.monotonic() - 3.0, 8.0, 0.0)
    assert has_time_for(context, make_job(timeout_s=timeout_s)) is is_taken


def test_router_that_does_not_stop_takes_all_requests():
    assert has_time_for(make_context(None), make_job(timeout_s=1000.0))


def test_answer_of_many_tokens_is_expected_after_short_ones():
    context = make_context(10.0)
    answered = make_job(True, call(max_tokens=10))
    answered.first_byte_at = 101.0
    record_answer(context, answered, 102.0)
    assert has_time_for(context, make_job(True, call(max_tokens=20)))
    assert not has_time_for(context, make_job(True, call(max_tokens=100)))


def test_caller_is_sent_to_another_router_only_if_there_is_one():
    states = {"entry-1": LifeState.LEAVING, "entry-2": LifeState.LIVE}
    elsewhere = stopping_refusal(make_context(1.0, **states))
    assert responses.refusal_headers(elsewhere, "r")["Retry-After"] == "0"
    states["entry-2"] = LifeState.LOST
    alone = stopping_refusal(make_context(1.0, **states))
    assert responses.refusal_headers(alone, "r")["Retry-After"] == "1"


def test_refusal_of_a_request_that_may_have_run_does_not_ask_for_a_retry():
    refusal = stopping_refusal(make_context(1.0), RunStatus.UNKNOWN)
    assert refusal.status == 504
    assert "Retry-After" not in responses.refusal_headers(refusal, "r")
