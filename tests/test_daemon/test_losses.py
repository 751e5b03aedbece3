"""Lost engines and routers on the request path, on real processes."""

from __future__ import annotations

import json
import threading

import pytest

from berylnotch.standins.caller import CallerClient, chat
from berylnotch.standins.fleet import wait_for
from tests.test_daemon.support import (
    PATH,
    all_faults,
    contents,
    faults,
    generations,
    read_events,
    seen,
)


def test_engine_killed_in_mid_stream(fleet, small, callers):
    expected = contents(callers[0].chat("sake-1", "long contract", max_tokens=60))
    body = json.dumps(chat("sake-1", "long contract", 60, True)).encode()
    response = callers[0].open("POST", PATH, body)
    begun = read_events(response, 5)
    busy = next(
        name
        for name, address in small.engines
        if CallerClient(address).send("GET", "/standin/load").json()["running"]
    )
    fleet.children[busy].kill()
    text = begun + response.read()
    events = [line[6:] for line in text.decode().split("\n") if line[:6] == "data: "]
    assert events[-1] == "[DONE]"
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    assert [delta.get("content", "") for delta in deltas] == expected


def test_router_killed_and_the_caller_comes_back_elsewhere(fleet, small, callers):
    expected = contents(callers[1].chat("sake-1", "long contract", max_tokens=40))
    body = json.dumps(chat("sake-1", "long contract", 40, True)).encode()
    response = callers[0].open("POST", PATH, body)
    begun = read_events(response, 8).decode()
    fleet.children["entry-1"].kill()
    last_id = [line[4:] for line in begun.split("\n") if line.startswith("id: ")][-1]
    rest = callers[1].send("POST", PATH, body, {"Last-Event-ID": last_id})
    first = [line[6:] for line in begun.split("\n") if line.startswith("data: ")]
    events = first + rest.events()
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    assert [delta.get("content", "") for delta in deltas] == expected
    assert events[-1] == "[DONE]"


def test_router_killed_after_the_claim_leaves_the_outcome_unknown(
    fleet, small, callers
):
    (_, order_desk) = small.plain[0]
    faults(order_desk, hang=True, times=1)
    headers = {"Idempotency-Key": "booking-3"}
    body = json.dumps({"order": "A-3"}).encode()

    def post():
        with pytest.raises(OSError):
            callers[0].send("POST", "/orders", body, headers)

    worker = threading.Thread(target=post)
    worker.start()
    wait_for(lambda: seen(order_desk), "the request at the order desk")
    fleet.children["entry-1"].kill()
    worker.join(60)

    def code():
        answer = callers[1].send("POST", "/orders", body, headers)
        return answer.status == 409 and answer.json()["error"]["code"]

    assert code() == "in_progress"
    wait_for(lambda: code() == "outcome_unknown", "the router is taken for lost")


def test_poison_request_is_refused_after_the_second_engine(small, callers):
    all_faults(small, crash_marker="POISON", restart_ms=100)
    first = callers[0].chat("sake-1", "POISON contract")
    assert first.status >= 400
    wait_for(
        lambda: callers[1].chat("sake-1", "POISON contract").status == 422,
        "the other router refuses it as well",
    )
    again = callers[1].chat("sake-1", "POISON contract")
    assert (again.status, again.run) == (422, "not-run")
    assert "retry-after" not in again.headers

    def innocent():
        return callers[0].chat("sake-1", "innocent").status == 200

    wait_for(innocent, "an innocent request is served")
    sent = [s for _, address in small.engines for s in seen(address)]
    poisoned = [s for s in sent if "POISON" in json.dumps(s)]
    assert len(poisoned) == 2


def test_leaving_target_gets_no_new_work(small, callers):
    name, address = small.engines[0]
    CallerClient(address).post("/standin/leave", {})

    def avoided():
        before = len(generations(address))
        for number in range(6):
            assert callers[0].chat("sake-1", f"contract {number}").status == 200
        return before == len(generations(address))

    wait_for(avoided, f"{name} gets nothing new")
    assert avoided()
