"""Tests of the survey in which a new leader queries the weights of many engines."""

import json

import pytest

from berylnotch.daemon.fleet import survey as survey_module
from berylnotch.daemon.fleet.survey import MAX_CONCURRENT_CALLS, EngineSurvey
from berylnotch.membership.listing import ListedTarget
from berylnotch.net.messages import Headers, HttpResponse
from tests.test_daemon.test_fleet_registry import Log


def _engines(count):
    return [
        ListedTarget(f"i-{n}", "llm", f"10.0.{n // 200}.{n % 200}:80", "d")
        for n in range(count)
    ]


def _report(status=200):
    body = {"models": [{"name": "m", "version": 3}], "busy": False, "seqNo": 0}
    return HttpResponse(status, Headers(()), json.dumps(body).encode())


@pytest.fixture
def calls(monkeypatch):
    """Calls in flight, each as the callback that takes its response."""
    in_flight = []

    def fetch(loop, address, request, timeout_s, on_done):
        in_flight.append(on_done)

    monkeypatch.setattr(survey_module, "fetch", fetch)
    return in_flight


def test_queries_are_bounded_and_reach_all_engines(calls):
    ids = []
    survey = EngineSurvey(None, lambda engine, _: ids.append(engine.target_id), Log())
    survey.query(_engines(300))
    max_in_flight = 0
    while calls:
        max_in_flight = max(max_in_flight, len(calls))
        calls.pop(0)(_report(), "")
    assert max_in_flight == MAX_CONCURRENT_CALLS
    assert sorted(ids) == sorted(e.target_id for e in _engines(300))


def test_failed_report_does_not_block_other_engines(calls):
    ids = []
    survey = EngineSurvey(None, lambda engine, _: ids.append(engine.target_id), Log())
    survey.query(_engines(3))
    calls.pop(0)(None, "no answer in 0.6 s")
    calls.pop(0)(_report(status=503), "")
    calls.pop(0)(_report(), "")
    assert ids == ["i-2"]


def test_closed_survey_starts_no_calls(calls):
    survey = EngineSurvey(None, lambda engine, report: None, Log())
    survey.query(_engines(MAX_CONCURRENT_CALLS + 5))
    survey.close()
    while calls:
        calls.pop(0)(_report(), "")
    assert not calls
