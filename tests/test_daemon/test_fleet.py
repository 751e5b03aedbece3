"""A fleet of real processes before a stand-in of the users' platform."""

import json
import signal
import time

import pytest

from berylnotch.cmd import why_request
from berylnotch.daemon.fleet.replica_host import CONSENSUS
from berylnotch.transport.link import LinkSettings
from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import FleetOfProcesses, configuration, in_threads, until

LEASE_S = CONSENSUS.lease_s


@pytest.fixture
def platform():
    stand_in = PlatformStandIn()
    stand_in.start()
    yield stand_in
    stand_in.close()


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    for number in (1, 2):
        platform.add(f"llm-{number}", "llm", version=1)
        platform.add(f"desk-{number}", "desk")
    processes.start()
    yield processes
    processes.close()


def _ready(fleet):
    assert fleet.put(configuration(3)).status == 200
    fleet.wait_ready()


def test_serves_all_kinds_of_routes(fleet, platform):
    _ready(fleet)
    router = fleet.routers[0]
    stream = fleet.ask(router, "/chat/x", "s-1")
    assert stream.status == 200 and stream.is_whole
    assert stream.body == b"".join(
        b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2, 3)
    )
    assert stream.headers["Berylnotch-Server-Stamp"].startswith("stamp-llm-")
    booked = fleet.ask(router, "/book/x", "b-1")
    assert booked.body == b"answer to b-1"
    assert fleet.ask(router, "/read/x", "r-1", "GET").status == 200
    seen = [headers for t in platform.targets.values() for headers in t.seen]
    assert all("authorization" not in headers for headers in seen)
    assert all(headers["berylnotch-tenant"] == "alpha" for headers in seen)


def test_refuses_unknown_routes_and_keys(fleet):
    _ready(fleet)
    router = fleet.routers[0]
    assert fleet.ask(router, "/nowhere/x", "n-1").status == 404
    assert fleet.ask(router, "/book/x", "n-2", key="stranger").status == 401


def test_answers_503_before_the_first_configuration(fleet):
    router = fleet.routers[0]
    answer = until(lambda: fleet.ask(router, "/book/x", "early"), "an answer")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


def test_newest_configuration_survives_the_kill_of_all_controllers(fleet):
    _ready(fleet)
    assert fleet.put(configuration(7, timeoutMs=4321)).status == 200
    for controller in fleet.controllers:
        controller.kill()
    for controller in fleet.controllers:
        controller.start()
    held = until(lambda: fleet.operator("GET", "/config"), "the configuration")
    assert json.loads(held.body) == configuration(7, timeoutMs=4321)


def test_older_and_equal_versions_are_acknowledged_and_change_nothing(fleet):
    _ready(fleet)
    assert fleet.put(configuration(3, timeoutMs=1111)).status == 200
    assert fleet.put(configuration(2)).status == 200
    held = until(lambda: fleet.operator("GET", "/config"), "the configuration")
    assert json.loads(held.body) == configuration(3)


def test_invalid_configuration_changes_nothing_and_is_logged(fleet):
    _ready(fleet)
    assert fleet.put(json.dumps(configuration(9)).encode()[:-20]).status == 400
    held = until(lambda: fleet.operator("GET", "/config"), "the configuration")
    assert json.loads(held.body)["version"] == 3

    def refused():
        return [
            line
            for controller in fleet.controllers
            for line in controller.lines()
            if line.get("event") == "operator_call" and line["status"] == "400"
        ]

    assert "not JSON" in until(refused, "a line in the log")[0]["reason"]


def test_leader_frozen_and_thawed_never_answers_with_an_older_version(fleet):
    _ready(fleet)
    frozen = until(fleet.leader, "a leader")
    frozen.signal(signal.SIGSTOP)
    assert fleet.put(configuration(11)).status == 200
    frozen.signal(signal.SIGCONT)
    for _ in range(20):
        answer = fleet._call(frozen, "GET", "/config", b"")
        if answer is not None and answer.status == 200:
            assert json.loads(answer.body)["version"] == 11
        time.sleep(0.01)


def test_wiped_controller_joins_again(fleet):
    _ready(fleet)
    leader = until(fleet.leader, "a leader")
    wiped = next(c for c in fleet.controllers if c is not leader)
    wiped.kill()
    for path in sorted(wiped.data.rglob("*"), reverse=True):
        path.unlink() if path.is_file() else path.rmdir()
    text = wiped.settings.read_text().replace(
        "founds-group = true", "founds-group = no"
    )
    wiped.settings.write_text(text)
    wiped.start()

    def has_joined():
        changes = [
            line
            for c in fleet.controllers
            for line in c.lines()
            if line.get("event") == "members_changed"
        ]
        own = f"{wiped.ip}:{fleet.base_port + 10}/"
        return any(
            f"{own}" in line["after"]
            and f"{own}first" not in line["after"]
            and line["after"].count(":voter") == 3
            for line in changes
        )

    until(has_joined, "the wiped controller is a voter again")


def test_engine_lost_in_a_stream_resumes_elsewhere(fleet, platform):
    _ready(fleet)
    for name in ("llm-1", "llm-2"):
        platform.targets[name].events = 8
    platform.targets["llm-1"].mood = "cut"
    for number in range(6):
        answer = fleet.ask(fleet.routers[0], "/chat/x", f"cut-{number}")
        assert answer.status == 200 and answer.is_whole
        expected = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9)]
        assert answer.body == b"".join(expected)


@pytest.mark.parametrize("moods", [("cut", "error"), ("error", "cut")])
def test_stream_that_resumes_into_an_error_is_broken_off(fleet, platform, moods):
    _ready(fleet)
    for name, mood in zip(("llm-1", "llm-2"), moods, strict=True):
        platform.targets[name].events = 8
        platform.targets[name].mood = mood
    data = fleet.ask_raw(fleet.routers[0], "/chat/x", "resume-error")
    assert data.startswith(b"HTTP/1.1 200 ") and data.count(b"HTTP/1.1") == 1
    assert b"piece 2" in data and not data.endswith(b"0\r\n\r\n")


def test_non_idempotent_request_runs_once_when_its_answer_is_lost(fleet, platform):
    _ready(fleet)
    for name in ("desk-1", "desk-2"):
        platform.targets[name].mood = "reset"
    answer = fleet.ask(fleet.routers[0], "/book/x", "once")
    assert answer.status == 502
    runs = [r for t in platform.targets.values() for r in t.runs]
    assert runs.count("once") == 1


def test_refusal_of_every_target_is_passed_on_as_not_run(fleet, platform):
    _ready(fleet)
    for name in ("desk-1", "desk-2"):
        platform.targets[name].mood = "refuse"
    answer = fleet.ask(fleet.routers[0], "/book/x", "refused")
    assert answer.status == 503 and "Retry-After" in answer.headers
    assert "Berylnotch-Server-Stamp" not in answer.headers
    runs = [r for t in platform.targets.values() for r in t.runs]
    assert "refused" not in runs


@pytest.mark.parametrize("mood", ["no_stamp", "foreign"])
def test_odd_answer_is_not_passed_on_as_success(fleet, platform, mood):
    _ready(fleet)
    for name in ("desk-1", "desk-2"):
        platform.targets[name].mood = mood
    answer = fleet.ask(fleet.routers[0], "/book/x", "odd", deadline_ms="600")
    assert answer.status in (502, 504)
    assert b"another" not in answer.body


def test_hanging_target_of_an_idempotent_request_is_left(fleet, platform):
    _ready(fleet)
    platform.targets["desk-1"].mood = "hang"
    for number in range(6):
        answer = fleet.ask(fleet.routers[0], "/read/x", f"h-{number}", "GET")
        assert answer.status == 200


def test_leaving_target_gets_no_new_work(fleet, platform):
    _ready(fleet)
    platform.targets["desk-1"].is_leaving = True
    calls = platform.list_calls
    until(lambda: platform.list_calls > calls + 3, "the list was read")
    before = len(platform.targets["desk-1"].seen)
    for number in range(10):
        assert fleet.ask(fleet.routers[0], "/book/x", f"l-{number}").status == 200
    assert len(platform.targets["desk-1"].seen) == before


def test_foreign_entries_of_the_list_do_no_harm(fleet, platform):
    platform.foreign_entries = [
        7,
        {"id": "x"},
        {"id": 5, "service": "desk", "address": "nonsense", "state": "ready"},
        {"id": "y", "service": "desk", "address": "1.2.3.4:5", "state": "odd"},
    ]
    _ready(fleet)
    for number in range(4):
        assert fleet.ask(fleet.routers[0], "/book/x", f"f-{number}").status == 200


def test_weights_are_rolled_out_one_engine_after_the_other(fleet, platform):
    _ready(fleet)
    assert fleet.name_weights(2).status == 200
    engines = [platform.targets["llm-1"], platform.targets["llm-2"]]
    until(lambda: all(e.version == 2 for e in engines), "new weights everywhere")
    orders = [order for e in engines for order in e.orders]
    assert {order["op"] for order in orders} == {"version"}
    assert len({(order["holder"], order["fence"]) for order in orders}) == 1

    def served_on_new():
        answer = fleet.ask(fleet.routers[0], "/chat/x", f"w-{time.monotonic()}")
        return answer is not None and answer.status == 200

    until(served_on_new, "a stream on the new weights")


def test_an_engine_that_routers_cannot_use_gets_its_weights_all_the_same(
    fleet, platform
):
    _ready(fleet)
    platform.targets["llm-1"].mood = "reset"
    for number in range(8):
        for router in fleet.routers:
            parts = {"Berylnotch_Prefix_Hash": f"a{number}:2000,b{number}:1000"}
            fleet.ask(router, "/chat/x", f"sick-{number}-{router.name}", **parts)
    # Routers report what they left out several times a second.
    time.sleep(1.0)
    assert fleet.name_weights(2).status == 200
    until(lambda: platform.targets["llm-1"].version == 2, "new weights there")


def test_withdrawn_key_stops_everywhere(fleet):
    _ready(fleet)
    assert fleet.put(configuration(5, keys=["other-key"])).status == 200

    def is_refused(router):
        answer = fleet.ask(router, "/book/x", f"k-{time.monotonic()}")
        return answer is not None and answer.status == 401

    for router in fleet.routers:
        until(lambda r=router: is_refused(r), "the key is refused")
        assert fleet.ask(router, "/book/x", "k-new", key="other-key").status == 200


def test_stopping_router_finishes_what_it_took(fleet, platform):
    _ready(fleet)
    for name in ("llm-1", "llm-2"):
        platform.targets[name].events = 10
        platform.targets[name].event_pause_s = 0.1
    router = fleet.routers[0]

    def stop():
        time.sleep(0.3)
        router.signal(signal.SIGTERM)

    calls = [lambda n=n: fleet.ask(router, "/chat/x", f"stop-{n}") for n in range(5)]
    results = in_threads([*calls, stop])[:-1]
    assert all(a is not None and a.status == 200 and a.is_whole for a in results)
    assert router.process.wait(timeout=10) == 0


def test_fleet_serves_while_the_leader_dies(fleet):
    _ready(fleet)
    leader = until(fleet.leader, "a leader")
    leader.kill()
    statuses = [
        fleet.ask(fleet.routers[n % 2], "/book/x", f"d-{n}").status for n in range(40)
    ]
    assert statuses == [200] * 40
    assert fleet.put(configuration(8)).status == 200


def test_log_tells_why_a_request_failed(fleet, platform):
    _ready(fleet)
    platform.targets["desk-1"].mood = "reset"
    platform.targets["desk-2"].mood = "reset"
    fleet.ask(fleet.routers[0], "/book/x", "why-me")

    def lines():
        return [f for f in fleet.routers[0].lines() if f.get("id") == "why-me"]

    found = until(
        lambda: [f for f in lines() if f["event"] == "finished"] and lines(), "lines"
    )
    events = [line["event"] for line in found]
    assert events == ["sent", "attempt_failed", "finished"]
    assert found[1]["failure"] == "broken"
    assert found[2]["outcome"] == "failed" and found[2]["status"] == "502"
    assert found[0]["target"] in found[2]["reason"]


def test_metrics_tell_what_happened(fleet, platform):
    _ready(fleet)
    router = fleet.routers[0]
    assert fleet.ask(router, "/chat/x", "m-1").status == 200
    for name in ("desk-1", "desk-2"):
        platform.targets[name].mood = "refuse"
    assert fleet.ask(router, "/book/x", "m-2").status == 503
    text = fleet.metrics(router)
    assert 'berylnotch_first_event_seconds{route="chat",quantile="0.99"}' in text
    assert 'berylnotch_attempts_total{service="desk",result="not-run"}' in text
    assert "berylnotch_refusals_total{reason=" in text
    assert "berylnotch_configuration_version 3" in text
    assert "berylnotch_ready 1" in text and "berylnotch_has_leader 1" in text
    leader = until(fleet.leader, "a leader")
    text = fleet.metrics(leader)
    assert "berylnotch_leader 1" in text and "berylnotch_routers 2" in text
    assert "berylnotch_target_list_age_seconds" in text
    assert 0 <= _gauge(text, "berylnotch_lease_age_seconds") < LEASE_S
    for controller in fleet.controllers:
        if controller is not leader:
            assert "berylnotch_lease_age_seconds" not in fleet.metrics(controller)
    heard_s = _gauge(fleet.metrics(router), "berylnotch_leader_heard_seconds")
    assert 0 <= heard_s < LinkSettings().silence_s


def test_thawed_leader_shows_no_lease(fleet):
    _ready(fleet)
    leader = until(fleet.leader, "a leader")
    others = [c for c in fleet.controllers if c is not leader]
    leader.signal(signal.SIGSTOP)
    until(
        lambda: any("berylnotch_leader 1" in fleet.metrics(c) for c in others),
        "another leader",
    )
    leader.signal(signal.SIGCONT)
    until(
        lambda: "berylnotch_lease_age_seconds" not in fleet.metrics(leader),
        "the thawed leader shows no lease",
    )


def _why(fleet, request_id, capsys):
    """Return what the tool tells of a request, once it has ended."""
    logs = [str(p.log) for p in (*fleet.controllers, *fleet.routers)]

    def told():
        code = why_request.main([request_id, *logs])
        text = capsys.readouterr().out
        return text if code == 0 and "not finished" not in text else None

    return until(told, "an explanation")


def test_the_logs_explain_a_refusal(fleet, platform, capsys):
    _ready(fleet)
    for name in ("desk-1", "desk-2"):
        platform.targets[name].mood = "refuse"
    fleet.ask(fleet.routers[0], "/book/x", "why-1")
    text = _why(fleet, "why-1", capsys)
    assert text.startswith("request why-1: refused with status 503")
    assert "run by 0" in text and "refused with 503" in text
    assert "event=target_refused id=why-1 target=desk-" in text


def test_the_logs_explain_an_unknown_outcome(fleet, platform, capsys):
    _ready(fleet)
    for name in ("desk-1", "desk-2"):
        platform.targets[name].mood = "reset"
    fleet.ask(fleet.routers[0], "/book/x", "why-2")
    text = _why(fleet, "why-2", capsys)
    assert text.startswith(
        "request why-2: failed with status 502, sent 1 times, run by 1"
    )
    assert "reason: target-lost: desk-" in text
    assert "failure=broken" in text


def test_the_logs_explain_a_broken_stream(fleet, platform, capsys):
    _ready(fleet)
    for name in ("llm-1", "llm-2"):
        platform.targets[name].events = 8
        platform.targets[name].mood = "cut"
    answer = fleet.ask(fleet.routers[0], "/chat/x", "why-3")
    assert not answer.is_whole
    text = _why(fleet, "why-3", capsys)
    assert text.startswith("request why-3: broken_off")
    assert "event=sent_again id=why-3" in text and "last_event=2" in text
    assert "event=target_listed" in text or "event=configuration" in text


def test_the_tool_tells_of_unknown_requests_and_files(fleet, capsys):
    log = str(fleet.routers[0].log)
    assert why_request.main(["nobody", log]) == why_request.EXIT_NOT_FOUND
    assert why_request.main(["x", "/nowhere.log"]) == why_request.EXIT_BAD_INPUT
    assert "nowhere" in capsys.readouterr().err


def _gauge(text, name):
    return next(
        float(line.split()[1]) for line in text.splitlines() if line.startswith(name)
    )
