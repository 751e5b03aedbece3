"""Tests of the logs, the metrics and the ``why`` tool with a fleet of processes."""

import signal

import pytest

from berylnotch.cmd import why_request
from berylnotch.daemon.fleet.replica_host import CONSENSUS
from berylnotch.transport.link import LinkSettings
from tests.fleet.processes import gauge, wait_until

LEASE_S = CONSENSUS.lease_s


@pytest.fixture
def fleet(platform_fleet):
    return platform_fleet


def test_log_contains_the_cause_of_a_failed_request(fleet, platform):
    fleet.make_ready()
    platform.targets["desk-1"].fault = "reset"
    platform.targets["desk-2"].fault = "reset"
    fleet.ask(fleet.routers[0], "/book/x", "why-me")

    def lines():
        return [f for f in fleet.routers[0].lines() if f.get("id") == "why-me"]

    logged = wait_until(
        lambda: [f for f in lines() if f["event"] == "finished"] and lines(), "lines"
    )
    events = [line["event"] for line in logged]
    assert events == ["sent", "attempt_failed", "finished"]
    assert logged[1]["failure"] == "broken"
    assert logged[2]["outcome"] == "failed" and logged[2]["status"] == "502"
    assert logged[0]["target"] in logged[2]["reason"]


def test_logs_show_the_limit_of_a_target_and_what_it_got_since(fleet, platform):
    fleet.make_ready()
    router, target = fleet.routers[0], platform.targets["desk-1"]
    platform.targets["desk-2"].is_leaving = True
    target.limit_per_s = 500

    def read_until(event, limit_per_s):
        """Send requests until the target's newest line of an event has the limit."""

        def newest_line():
            request_id = f"read-{len(target.arrivals)}"
            assert fleet.ask(router, "/read/x", request_id, "GET").status == 200
            fields = [f for f in router.lines() if f.get("target") == "desk-1"]
            lines = [f for f in fields if f["event"] == event]
            return lines and lines[-1]["limit_per_s"] == limit_per_s and lines[-1]

        return wait_until(newest_line, f"{event} with a limit of {limit_per_s}")

    assert read_until("target_limit", "500.000")["was_per_s"] == "inf"
    read_until("sent", "500.000")
    text = fleet.metrics(router)
    assert gauge(text, 'berylnotch_limited_target_sends_total{target="desk-1"}') > 0
    target.limit_per_s = None
    assert read_until("target_limit", "inf")["was_per_s"] == "500.000"


def test_metrics_count_requests_and_show_leadership(fleet, platform):
    fleet.make_ready()
    router = fleet.routers[0]
    assert fleet.ask(router, "/chat/x", "m-1").status == 200
    for name in ("desk-1", "desk-2"):
        platform.targets[name].fault = "refuse"
    assert fleet.ask(router, "/book/x", "m-2").status == 503
    text = fleet.metrics(router)
    assert 'berylnotch_first_event_seconds{route="chat",quantile="0.99"}' in text
    assert 'berylnotch_attempts_total{service="desk",result="not-run"}' in text
    assert "berylnotch_refusals_total{reason=" in text
    assert "berylnotch_configuration_version 3" in text
    assert "berylnotch_ready 1" in text and "berylnotch_has_leader 1" in text
    leader = wait_until(fleet.leader, "a leader")
    text = fleet.metrics(leader)
    assert "berylnotch_leader 1" in text and "berylnotch_routers 2" in text
    assert "berylnotch_target_list_age_seconds" in text
    assert 0 <= gauge(text, "berylnotch_lease_age_seconds") < LEASE_S
    for controller in fleet.controllers:
        if controller is not leader:
            assert "berylnotch_lease_age_seconds" not in fleet.metrics(controller)
    leader_age_s = gauge(fleet.metrics(router), "berylnotch_leader_heard_seconds")
    assert 0 <= leader_age_s < LinkSettings().silence_s


def test_resumed_leader_exports_no_lease_age(fleet):
    fleet.make_ready()
    leader = wait_until(fleet.leader, "a leader")
    other_controllers = [c for c in fleet.controllers if c is not leader]
    leader.signal(signal.SIGSTOP)
    wait_until(
        lambda: any(
            "berylnotch_leader 1" in fleet.metrics(c) for c in other_controllers
        ),
        "another leader",
    )
    leader.signal(signal.SIGCONT)
    wait_until(
        lambda: "berylnotch_lease_age_seconds" not in fleet.metrics(leader),
        "the resumed leader to export no lease age",
    )


def _explain(fleet, request_id, capsys):
    """Return the ``why`` tool's output for a request, once the request has ended."""
    logs = [str(p.log) for p in (*fleet.controllers, *fleet.routers)]

    def explanation():
        code = why_request.main([request_id, *logs])
        text = capsys.readouterr().out
        return text if code == 0 and "not finished" not in text else None

    return wait_until(explanation, "an explanation")


def test_why_tool_explains_a_refusal(fleet, platform, capsys):
    fleet.make_ready()
    for name in ("desk-1", "desk-2"):
        platform.targets[name].fault = "refuse"
    fleet.ask(fleet.routers[0], "/book/x", "why-1")
    text = _explain(fleet, "why-1", capsys)
    assert text.startswith("request why-1: refused with status 503")
    assert "run by 0" in text and "refused with 503" in text
    assert "event=target_refused id=why-1 target=desk-" in text


def test_why_tool_explains_an_unknown_outcome(fleet, platform, capsys):
    fleet.make_ready()
    for name in ("desk-1", "desk-2"):
        platform.targets[name].fault = "reset"
    fleet.ask(fleet.routers[0], "/book/x", "why-2")
    text = _explain(fleet, "why-2", capsys)
    assert text.startswith(
        "request why-2: failed with status 502, sent 1 times, run by 1"
    )
    assert "reason: target-lost: desk-" in text
    assert "failure=broken" in text


def test_why_tool_explains_a_broken_stream(fleet, platform, capsys):
    fleet.make_ready()
    for name in ("llm-1", "llm-2"):
        platform.targets[name].events = 8
        platform.targets[name].fault = "cut"
    answer = fleet.ask(fleet.routers[0], "/chat/x", "why-3")
    assert not answer.is_whole
    text = _explain(fleet, "why-3", capsys)
    assert text.startswith("request why-3: broken_off")
    assert "event=sent_again id=why-3" in text and "last_event=2" in text
    assert "event=target_listed" in text or "event=configuration" in text


def test_why_tool_reports_unknown_requests_and_files(fleet, capsys):
    log = str(fleet.routers[0].log)
    assert why_request.main(["nobody", log]) == why_request.EXIT_NOT_FOUND
    assert why_request.main(["x", "/nowhere.log"]) == why_request.EXIT_BAD_INPUT
    assert "nowhere" in capsys.readouterr().err


def test_logs_tell_an_engine_that_ended_from_a_broken_connection(fleet, platform):
    # Requests that crash engines differ from popular ones by the first only.
    fleet.make_ready()
    router = fleet.routers[0]

    def losses_of(request_id):
        fleet.ask(router, "/chat/x", request_id)
        failures = wait_until(
            lambda: [
                f
                for f in router.lines()
                if f["event"] == "attempt_failed" and f["id"] == request_id
            ],
            f"the failure of {request_id}",
        )
        target = failures[0]["target"]
        probes = wait_until(
            lambda: [
                f
                for f in router.lines()
                if f["event"] == "target_probed" and f["target"] == target
            ],
            f"a probe of {target}",
        )
        return failures[0], probes[0]

    engines = [t for t in platform.targets.values() if t.service == "llm"]
    for engine in engines:
        engine.fault = "reset"
    failure, probe = losses_of("reset")
    assert failure["parts"] == "aa01" and failure["events"] == "0"
    assert probe["state"] == "listening"
    for engine in engines:
        engine.fault = "ok"
    platform.crashing_part = "cc03"
    parts = {"Berylnotch_Prefix_Hash": "aa01:1000,cc03:1000,bb02:1000"}
    remaining = {e.target_id for e in engines} - {failure["target"]}
    fleet.ask(router, "/chat/x", "crash", **parts)
    crashed = wait_until(
        lambda: [
            f
            for f in router.lines()
            if f["event"] == "target_probed" and f["state"] == "refused"
        ],
        "a probe of the crashed engine",
    )
    failures = [f for f in router.lines() if f.get("id") == "crash"]
    assert any(f.get("parts") == "aa01,cc03" for f in failures)
    assert crashed[0]["target"] in remaining | {failure["target"]}
    text = fleet.metrics(router)
    series = 'berylnotch_target_probes_total{service="llm",state="refused"}'
    assert gauge(text, series) >= 1


def test_logs_tell_when_a_request_came_in_a_planned_stop(fleet, platform):
    fleet.make_ready()
    router = fleet.routers[0]
    platform.targets["desk-1"].answer_s = platform.targets["desk-2"].answer_s = 0.5
    router.signal(signal.SIGTERM)
    wait_until(
        lambda: any(f["event"] == "draining" for f in router.lines()), "the stop"
    )
    fleet.ask(router, "/book/x", "late")
    router.process.wait(timeout=10)
    lines = {f["event"]: f for f in router.lines() if f.get("id") in (None, "late")}
    assert 0 <= float(lines["finished"]["stopping_s"]) < 1
    assert 0 <= float(lines["finished"]["read_s"]) < 1
    assert lines["draining"]["stop_s"] == "8.000"
    assert 0 < float(lines["drained"]["left_s"]) < 8
