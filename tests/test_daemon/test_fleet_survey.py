"""How a new leader learns what many engines run."""

import json

import pytest

from berylnotch.daemon.fleet import survey as module
from berylnotch.daemon.fleet.survey import AT_ONCE, EngineSurvey
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
    """Calls under way, each as its function to answer it."""
    under_way = []

    def fetch(loop, address, request, timeout_s, done):
        under_way.append(done)

    monkeypatch.setattr(module, "fetch", fetch)
    return under_way


def test_few_engines_are_asked_at_the_same_time_and_all_in_the_end(calls):
    heard = []
    survey = EngineSurvey(None, lambda engine, _: heard.append(engine.target_id), Log())
    survey.ask(_engines(300))
    most = 0
    while calls:
        most = max(most, len(calls))
        calls.pop(0)(_report(), "")
    assert most == AT_ONCE
    assert sorted(heard) == sorted(e.target_id for e in _engines(300))


def test_an_engine_without_a_report_does_not_hold_the_others_up(calls):
    heard = []
    survey = EngineSurvey(None, lambda engine, _: heard.append(engine.target_id), Log())
    survey.ask(_engines(3))
    calls.pop(0)(None, "no answer in 0.6 s")
    calls.pop(0)(_report(status=503), "")
    calls.pop(0)(_report(), "")
    assert heard == ["i-2"]


def test_a_closed_survey_asks_no_further_engine(calls):
    survey = EngineSurvey(None, lambda engine, report: None, Log())
    survey.ask(_engines(AT_ONCE + 5))
    survey.close()
    while calls:
        calls.pop(0)(_report(), "")
    assert not calls
