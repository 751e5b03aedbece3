"""Invalid requests and faulty answers of targets, on real processes.

The tests guard against damaged streams, requests that are reported as not run or are
run again although a target received them, and keys that reach a target.
"""

from __future__ import annotations

import json
import threading

import pytest

from berylnotch.standins.caller import CallerClient, chat
from tests.test_daemon.support import (
    PATH,
    generation_requests,
    inject_faults,
    received_requests,
    stream_contents,
)


@pytest.mark.parametrize(
    "fault",
    [
        {"die_after_events": 5},
        {"close_after_events": 5},
        {"empty": True},
        {"refuse": True},
        {"skip_event": 4},
        {"repeat_event": 4},
        {"wrong_request_id": True},
        {"close_before_answer": True},
    ],
    ids=lambda fault: next(iter(fault)),
)
def test_stream_is_whole_in_spite_of_an_engine(
    shared_small_fleet, shared_callers, fault
):
    prompt = f"contract with {next(iter(fault))}"
    expected = stream_contents(shared_callers[0].chat("sake-1", prompt, max_tokens=12))
    # Only one engine is faulty: after faults at two engines, the router would suspect
    # the request itself.
    engines = [address for _, address in shared_small_fleet.engines]
    faulty_engine = next(
        address for address in engines if generation_requests(address, prompt)
    )
    inject_faults(faulty_engine, times=1, **fault)
    answer = shared_callers[0].chat("sake-1", prompt, max_tokens=12)
    assert len(generation_requests(faulty_engine, prompt)) == 2, (
        "the faulty engine received the request"
    )
    assert stream_contents(answer) == expected
    assert answer.run == "ran"


def test_reference_of_another_request_is_refused(shared_callers):
    response = shared_callers[0].chat("sake-1", "contract")
    id_line = next(
        line for line in response.body.decode().split("\n") if line[:4] == "id: "
    )
    body = json.dumps(chat("sake-1", "other contract", 16, True)).encode()
    answer = shared_callers[0].send("POST", PATH, body, {"Last-Event-ID": id_line[4:]})
    assert (answer.status, answer.run) == (400, "not-run")


def test_connection_closed_after_the_request_is_not_called_not_run(
    shared_small_fleet, shared_callers
):
    (_, order_desk) = shared_small_fleet.plain[0]
    inject_faults(order_desk, close_before_answer=True, times=1)
    answer = shared_callers[0].post("/orders", {"order": "A-1"})
    assert (answer.status, answer.run) == (502, "unknown")
    runs = CallerClient(order_desk).send("GET", "/standin/runs").json()
    assert runs["A-1"] == 1


def test_claimed_request_with_a_lost_answer_never_runs_again(
    shared_small_fleet, shared_callers
):
    (_, order_desk) = shared_small_fleet.plain[0]
    inject_faults(order_desk, close_before_answer=True, times=1)
    headers = {"Idempotency-Key": "booking-9"}
    first = shared_callers[0].post("/orders", {"order": "A-9"}, headers)
    repeated = shared_callers[1].post("/orders", {"order": "A-9"}, headers)
    assert (first.status, first.run) == (502, "unknown")
    assert (repeated.status, repeated.run) == (409, "unknown")
    assert repeated.json()["error"]["code"] == "outcome_unknown"
    runs = CallerClient(order_desk).send("GET", "/standin/runs").json()
    assert runs["A-9"] == 1


def test_same_claim_at_two_routers_at_once_runs_once(
    shared_small_fleet, shared_callers
):
    (_, order_desk) = shared_small_fleet.plain[0]
    inject_faults(order_desk, late_ms=500)
    headers = {"Idempotency-Key": "booking-2"}
    answers = []

    def post(caller):
        answers.append(caller.post("/orders", {"order": "A-2"}, headers))

    workers = [
        threading.Thread(target=post, args=(caller,)) for caller in shared_callers * 3
    ]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join(60)
    assert sorted({a.status for a in answers}) in ([201], [201, 409])
    runs = CallerClient(order_desk).send("GET", "/standin/runs").json()
    assert runs["A-2"] == 1


def test_no_target_sees_the_callers_key(shared_small_fleet, shared_callers, shared):
    for caller in shared_callers:
        caller.chat("sake-1", "contract")
        caller.send(
            "GET",
            f"/stock?api_key={shared.key.key}&b=1",
            b"",
            {"Cookie": shared.key.key},
        )
        caller.post(
            "/orders", {"order": "K-1"}, {"X-Forwarded-Authorization": shared.key.key}
        )
    for _, address in shared_small_fleet.engines + shared_small_fleet.plain:
        assert shared.key.key not in json.dumps(received_requests(address))


@pytest.mark.parametrize(
    ("body", "status"),
    [
        (b"{", 400),
        (b"[]", 400),
        (b"\xff\xfe", 400),
        (b'{"model": 5, "messages": []}', 400),
        (b'{"model": "sake-1", "messages": "x"}', 400),
        (b'{"model": "sake-1", "messages": [{"role": "user"}], "stream": "x"}', 400),
        (b'{"model": "sake-1", "messages": [{}]}', 400),
        (b'{"model": "none", "messages": [{"role": "user", "content": "x"}]}', 404),
    ],
)
def test_invalid_bodies_are_refused(shared_callers, body, status):
    answer = shared_callers[0].send("POST", PATH, body)
    assert (answer.status, answer.run) == (status, "not-run")
    assert answer.json()["error"]["message"]


def test_encoded_path_reaches_plain_service_unchanged(
    shared_small_fleet, shared_callers
):
    answer = shared_callers[0].send("GET", "/stock/bottle%20size%2bcork")
    assert answer.run == "ran"
    paths = [
        request["path"] for request in received_requests(shared_small_fleet.plain[0][1])
    ]
    assert any(path.startswith("/stock/bottle%20size") for path in paths)
