"""Requests while engines or routers are lost, on real processes.

The tests guard against truncated or repeated events in resumed streams, lost outcomes
of claimed requests, and prompts that crash one engine after another.
"""

from __future__ import annotations

import json
import signal
import threading

import pytest

from berylnotch.standins.caller import CallerClient, chat
from berylnotch.standins.fleet import wait_for
from tests.test_daemon.support import (
    PATH,
    generation_requests,
    inject_engine_faults,
    inject_faults,
    read_events,
    received_requests,
    stream_contents,
)


def test_engine_killed_in_mid_stream(fleet, small_fleet, callers):
    expected = stream_contents(
        callers[0].chat("sake-1", "long contract", max_tokens=60)
    )
    body = json.dumps(chat("sake-1", "long contract", 60, True)).encode()
    response = callers[0].open("POST", PATH, body)
    received = read_events(response, 5)
    streaming_engine = next(
        name
        for name, address in small_fleet.engines
        if CallerClient(address).send("GET", "/standin/load").json()["running"]
    )
    fleet.children[streaming_engine].kill()
    text = received + response.read()
    events = [line[6:] for line in text.decode().split("\n") if line[:6] == "data: "]
    assert events[-1] == "[DONE]"
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    assert [delta.get("content", "") for delta in deltas] == expected


def test_router_killed_and_the_caller_comes_back_elsewhere(fleet, small_fleet, callers):
    expected = stream_contents(
        callers[1].chat("sake-1", "long contract", max_tokens=40)
    )
    body = json.dumps(chat("sake-1", "long contract", 40, True)).encode()
    response = callers[0].open("POST", PATH, body)
    received = read_events(response, 8).decode()
    fleet.children["entry-1"].kill()
    last_id = [line[4:] for line in received.split("\n") if line.startswith("id: ")][-1]
    resumed = callers[1].send("POST", PATH, body, {"Last-Event-ID": last_id})
    first_events = [
        line[6:] for line in received.split("\n") if line.startswith("data: ")
    ]
    events = first_events + resumed.events()
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    assert [delta.get("content", "") for delta in deltas] == expected
    assert events[-1] == "[DONE]"


def test_router_killed_after_the_claim_leaves_the_outcome_unknown(
    fleet, small_fleet, callers
):
    (_, order_desk) = small_fleet.plain[0]
    inject_faults(order_desk, hang=True, times=1)
    headers = {"Idempotency-Key": "booking-3"}
    body = json.dumps({"order": "A-3"}).encode()

    def send_order():
        with pytest.raises(OSError):
            callers[0].send("POST", "/orders", body, headers)

    worker = threading.Thread(target=send_order)
    worker.start()
    wait_for(
        lambda: received_requests(order_desk), "the order desk receives the request"
    )
    fleet.children["entry-1"].kill()
    worker.join(60)

    def error_code():
        answer = callers[1].send("POST", "/orders", body, headers)
        return answer.status == 409 and answer.json()["error"]["code"]

    assert error_code() == "in_progress"
    wait_for(lambda: error_code() == "outcome_unknown", "the router counts as lost")


def test_poison_request_is_refused_after_the_second_engine(small_fleet, callers):
    inject_engine_faults(small_fleet, crash_marker="POISON", restart_ms=100)
    poisoned_answer = callers[0].chat("sake-1", "POISON contract")
    assert poisoned_answer.status >= 400
    wait_for(
        lambda: callers[1].chat("sake-1", "POISON contract").status == 422,
        "the other router refuses the request",
    )
    repeated = callers[1].chat("sake-1", "POISON contract")
    assert (repeated.status, repeated.run) == (422, "not-run")
    assert "retry-after" not in repeated.headers

    def is_innocent_served():
        return callers[0].chat("sake-1", "innocent").status == 200

    wait_for(is_innocent_served, "an innocent request is served")
    assert len(poisoned_requests(small_fleet)) == 2


def test_poison_request_is_refused_while_controllers_answer_late(
    fleet, small_fleet, callers
):
    inject_engine_faults(small_fleet, crash_marker="POISON", restart_ms=1)
    # With recent use, both routers hold tokens and need no controller to send requests.
    for caller in (*callers, *callers):
        assert caller.chat("sake-1", "innocent", max_tokens=20).status == 200
    controllers = [fleet.children[name] for name in ("c1", "c2", "c3")]
    answers = []
    poisoned = threading.Thread(
        target=lambda: answers.append(callers[0].chat("sake-1", "POISON contract"))
    )
    poisoned.start()
    wait_for(
        lambda: any(
            generation_requests(address, "POISON") for _, address in small_fleet.engines
        ),
        "the request arrives at an engine",
    )
    for controller in controllers:
        controller.signal(signal.SIGSTOP)

    def resume_controllers():
        for controller in controllers:
            controller.signal(signal.SIGCONT)

    timer = threading.Timer(0.5, resume_controllers)
    timer.start()
    poisoned.join()
    repeated = callers[1].chat("sake-1", "POISON contract")
    timer.join()
    assert answers[0].status >= 400
    assert (repeated.status, repeated.run) == (422, "not-run")
    assert len(poisoned_requests(small_fleet)) == 2


def poisoned_requests(small_fleet):
    """Return the requests at all engines that crash the engines."""
    requests = [
        request
        for _, address in small_fleet.engines
        for request in received_requests(address)
    ]
    return [request for request in requests if "POISON" in json.dumps(request)]


def test_leaving_target_gets_no_new_work(small_fleet, callers):
    name, address = small_fleet.engines[0]
    CallerClient(address).post("/standin/leave", {})

    def is_avoided():
        previous_count = len(generation_requests(address))
        for number in range(6):
            assert callers[0].chat("sake-1", f"contract {number}").status == 200
        return previous_count == len(generation_requests(address))

    wait_for(is_avoided, f"{name} receives no new requests")
    assert is_avoided()
