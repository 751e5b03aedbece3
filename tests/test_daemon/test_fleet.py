"""Fleet of real processes that uses a stand-in for the users' platform."""

import json
import signal
import socket
import time

import pytest

from berylnotch.daemon.fleet.replica_host import CONSENSUS
from tests.fleet.processes import configuration, in_threads, wait_until

LEASE_S = CONSENSUS.lease_s


@pytest.fixture
def fleet(platform_fleet):
    return platform_fleet


def test_serves_all_kinds_of_routes(fleet, platform):
    fleet.make_ready()
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
    fleet.make_ready()
    router = fleet.routers[0]
    assert fleet.ask(router, "/nowhere/x", "n-1").status == 404
    assert fleet.ask(router, "/book/x", "n-2", key="stranger").status == 401


def test_answers_503_before_the_first_configuration(fleet):
    router = fleet.routers[0]
    answer = wait_until(lambda: fleet.ask(router, "/book/x", "early"), "an answer")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0


def test_newest_configuration_survives_the_kill_of_all_controllers(fleet):
    fleet.make_ready()
    assert fleet.put(configuration(7, timeoutMs=4321)).status == 200
    for controller in fleet.controllers:
        controller.kill()
    for controller in fleet.controllers:
        controller.start()
    held = wait_until(lambda: fleet.operator("GET", "/config"), "the configuration")
    assert json.loads(held.body) == configuration(7, timeoutMs=4321)


def test_older_and_equal_versions_are_acknowledged_and_change_nothing(fleet):
    fleet.make_ready()
    assert fleet.put(configuration(3, timeoutMs=1111)).status == 200
    assert fleet.put(configuration(2)).status == 200
    held = wait_until(lambda: fleet.operator("GET", "/config"), "the configuration")
    assert json.loads(held.body) == configuration(3)


def test_invalid_configuration_changes_nothing_and_is_logged(fleet):
    fleet.make_ready()
    assert fleet.put(json.dumps(configuration(9)).encode()[:-20]).status == 400
    held = wait_until(lambda: fleet.operator("GET", "/config"), "the configuration")
    assert json.loads(held.body)["version"] == 3

    def refused():
        return [
            line
            for controller in fleet.controllers
            for line in controller.lines()
            if line.get("event") == "operator_call" and line["status"] == "400"
        ]

    assert "not JSON" in wait_until(refused, "a line in the log")[0]["reason"]


def test_leader_that_was_suspended_never_answers_with_an_older_version(fleet):
    fleet.make_ready()
    frozen = wait_until(fleet.leader, "a leader")
    frozen.signal(signal.SIGSTOP)
    assert fleet.put(configuration(11)).status == 200
    frozen.signal(signal.SIGCONT)
    for _ in range(20):
        answer = fleet._call(frozen, "GET", "/config", b"")
        if answer is not None and answer.status == 200:
            assert json.loads(answer.body)["version"] == 11
        time.sleep(0.01)


def test_controller_with_a_wiped_disk_joins_again(fleet):
    fleet.make_ready()
    leader = wait_until(fleet.leader, "a leader")
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

    wait_until(has_joined, "the wiped controller is a voter again")


def test_stream_cut_by_its_engine_resumes_at_another_one(fleet, platform):
    fleet.make_ready()
    for name in ("llm-1", "llm-2"):
        platform.targets[name].events = 8
    platform.targets["llm-1"].fault = "cut"
    for number in range(6):
        answer = fleet.ask(fleet.routers[0], "/chat/x", f"cut-{number}")
        assert answer.status == 200 and answer.is_whole
        expected = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9)]
        assert answer.body == b"".join(expected)


@pytest.mark.parametrize("faults", [("cut", "error"), ("error", "cut")])
def test_stream_whose_resumption_fails_is_aborted(fleet, platform, faults):
    fleet.make_ready()
    for name, fault in zip(("llm-1", "llm-2"), faults, strict=True):
        platform.targets[name].events = 8
        platform.targets[name].fault = fault
    data = fleet.ask_raw(fleet.routers[0], "/chat/x", "resume-error")
    assert data.startswith(b"HTTP/1.1 200 ") and data.count(b"HTTP/1.1") == 1
    assert b"piece 2" in data and not data.endswith(b"0\r\n\r\n")


def test_non_idempotent_request_runs_once_when_its_answer_is_lost(fleet, platform):
    fleet.make_ready()
    for name in ("desk-1", "desk-2"):
        platform.targets[name].fault = "reset"
    answer = fleet.ask(fleet.routers[0], "/book/x", "once")
    assert answer.status == 502
    runs = [r for t in platform.targets.values() for r in t.runs]
    assert runs.count("once") == 1


def test_refusal_by_every_target_is_forwarded_as_not_run(fleet, platform):
    fleet.make_ready()
    for name in ("desk-1", "desk-2"):
        platform.targets[name].fault = "refuse"
    answer = fleet.ask(fleet.routers[0], "/book/x", "refused")
    assert answer.status == 503 and "Retry-After" in answer.headers
    assert "Berylnotch-Server-Stamp" not in answer.headers
    runs = [r for t in platform.targets.values() for r in t.runs]
    assert "refused" not in runs


@pytest.mark.parametrize("fault", ["no_stamp", "foreign"])
def test_unstamped_or_foreign_answer_is_not_forwarded_as_success(
    fleet, platform, fault
):
    fleet.make_ready()
    for name in ("desk-1", "desk-2"):
        platform.targets[name].fault = fault
    answer = fleet.ask(fleet.routers[0], "/book/x", "odd", deadline_ms="600")
    assert answer.status in (502, 504)
    assert b"another" not in answer.body


def test_idempotent_request_to_a_hanging_target_is_retried(fleet, platform):
    fleet.make_ready()
    platform.targets["desk-1"].fault = "hang"
    for number in range(6):
        answer = fleet.ask(fleet.routers[0], "/read/x", f"h-{number}", "GET")
        assert answer.status == 200


def test_leaving_target_gets_no_new_requests(fleet, platform):
    fleet.make_ready()
    platform.targets["desk-1"].is_leaving = True
    calls = platform.list_calls
    wait_until(lambda: platform.list_calls > calls + 3, "the list was read")
    before = len(platform.targets["desk-1"].seen)
    for number in range(10):
        assert fleet.ask(fleet.routers[0], "/book/x", f"l-{number}").status == 200
    assert len(platform.targets["desk-1"].seen) == before


def test_invalid_entries_of_the_target_list_are_ignored(fleet, platform):
    platform.foreign_entries = [
        7,
        {"id": "x"},
        {"id": 5, "service": "desk", "address": "nonsense", "state": "ready"},
        {"id": "y", "service": "desk", "address": "1.2.3.4:5", "state": "odd"},
    ]
    fleet.make_ready()
    for number in range(4):
        assert fleet.ask(fleet.routers[0], "/book/x", f"f-{number}").status == 200


def _odd_entries():
    sound = {"id": "odd", "service": "desk", "address": "127.0.0.1:9", "zone": "x"}
    sound = {**sound, "state": "ready", "slots": 8, "born": 1, "models": []}
    changes = [
        {"id": "a\r\nb"},
        {"id": "\ud800"},
        {"id": "中"},
        {"id": ""},
        {"address": "127.0.0.1:0"},
        {"address": "0.0.0.0:80"},
        {"address": "127.0.0.1:" + "9" * 5000},
        {"slots": -1},
        {"slots": 10**30},
        {"born": 10**30},
        {"models": [{"name": "m", "version": 10**30}]},
    ]
    deep = b"[" * 100_000 + b"]" * 100_000
    raw = [deep, b'{"id":"odd","x":%s}' % deep, b'{"x":%s}' % (b"9" * 5000), b"007"]
    return [*({**sound, **change} for change in changes), *raw]


def test_odd_entries_of_the_target_list_stop_neither_requests_nor_its_reading(
    fleet, platform
):
    platform.foreign_entries = _odd_entries()
    # The odd entries begin on the page of the last target, which others follow.
    platform.page_size = 3
    fleet.make_ready()
    processes = (*fleet.controllers, *fleet.routers)

    def events(name):
        lines = [line for process in processes for line in process.lines()]
        return [line for line in lines if line.get("event") == name]

    wait_until(lambda: events("target_entries_skipped"), "a line on odd entries")
    platform.targets["desk-1"].is_leaving = True
    platform.add("desk-3", "desk")
    added = platform.targets["desk-3"]
    wait_until(
        lambda: (
            fleet.ask(fleet.routers[0], "/book/x", f"n-{time.monotonic()}")
            and added.runs
        ),
        "requests at a target that was added beside the odd entries",
    )
    for number in range(20):
        assert fleet.ask(fleet.routers[1], "/book/x", f"o-{number}").status == 200
    calls = platform.list_calls
    wait_until(lambda: platform.list_calls > calls + 30, "further readings of the list")
    assert all(process.process.poll() is None for process in processes)
    assert events("call_failed") == []
    (skipped,) = events("target_entries_skipped")
    assert skipped["count"] == str(len(_odd_entries()))


def test_odd_operator_calls_are_refused_with_a_reason(fleet):
    fleet.make_ready()
    text = json.dumps(configuration(5))
    for body in (
        text.replace('"version": 5', f'"version": {10**30}'),
        text.replace('"alpha"', '"\\ud800"'),
    ):
        assert fleet.put(body.encode()).status == 400
    for body in (b'{"model":"m","version":1%s}' % (b"0" * 30), b'{"model":"\\ud800"}'):
        answer = fleet.operator("POST", "/version-put", body)
        assert answer is not None and answer.status == 400


def test_odd_bytes_on_a_link_close_only_that_link(fleet):
    fleet.make_ready()
    controller = wait_until(fleet.leader, "a leader")
    frames = (b"\xff" * 9, b"\0\0\0\2\0\0\0\0\0\xff\xff", b"GET / HTTP/1.1\r\n\r\n")
    for frame in frames:
        address = fleet.links_address(controller.ip).pair
        with socket.create_connection(address, 5) as sock:
            sock.sendall(frame)
            while sock.recv(4096):
                continue

    def closed():
        return [
            line
            for line in controller.lines()
            if line.get("event") == "link_closed" and "limit" in line["reason"]
        ]

    wait_until(closed, "a line in the log")
    assert fleet.leader() is controller
    lines = [line for router in fleet.routers for line in router.lines()]
    assert [line for line in lines if line.get("event") == "leader_lost"] == []
    assert fleet.ask(fleet.routers[0], "/book/x", "after").status == 200


def test_weights_are_rolled_out_one_engine_at_a_time(fleet, platform):
    fleet.make_ready()
    assert fleet.name_weights(2).status == 200
    engines = [platform.targets["llm-1"], platform.targets["llm-2"]]
    wait_until(lambda: all(e.version == 2 for e in engines), "new weights everywhere")
    orders = [order for e in engines for order in e.orders]
    assert {order["op"] for order in orders} == {"version"}
    assert len({(order["holder"], order["fence"]) for order in orders}) == 1

    def is_served_by_new_weights():
        answer = fleet.ask(fleet.routers[0], "/chat/x", f"w-{time.monotonic()}")
        return answer is not None and answer.status == 200

    wait_until(is_served_by_new_weights, "a stream on the new weights")


def test_engine_that_routers_ejected_still_loads_new_weights(fleet, platform):
    fleet.make_ready()
    platform.targets["llm-1"].fault = "reset"
    for number in range(8):
        for router in fleet.routers:
            parts = {"Berylnotch_Prefix_Hash": f"a{number}:2000,b{number}:1000"}
            fleet.ask(router, "/chat/x", f"sick-{number}-{router.name}", **parts)
    # Routers report the targets that they ejected several times per second.
    time.sleep(1.0)
    assert fleet.name_weights(2).status == 200
    wait_until(lambda: platform.targets["llm-1"].version == 2, "new weights there")


def test_withdrawn_key_is_refused_by_all_routers(fleet):
    fleet.make_ready()
    assert fleet.put(configuration(5, keys=["other-key"])).status == 200

    def is_refused(router):
        answer = fleet.ask(router, "/book/x", f"k-{time.monotonic()}")
        return answer is not None and answer.status == 401

    for router in fleet.routers:
        wait_until(lambda r=router: is_refused(r), "the key is refused")
        assert fleet.ask(router, "/book/x", "k-new", key="other-key").status == 200


def test_stopping_router_completes_running_requests(fleet, platform):
    fleet.make_ready()
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
    fleet.make_ready()
    leader = wait_until(fleet.leader, "a leader")
    leader.kill()
    statuses = [
        fleet.ask(fleet.routers[n % 2], "/book/x", f"d-{n}").status for n in range(40)
    ]
    assert statuses == [200] * 40
    assert fleet.put(configuration(8)).status == 200
