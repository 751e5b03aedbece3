"""Failures on the request path, on real processes."""

from __future__ import annotations

import json
import threading

import pytest

from berylnotch.standins.caller import CallerClient, chat
from berylnotch.standins.fleet import wait_for

PATH = "/v1/chat/completions"


def faults(address, **settings):
    answer = CallerClient(address).post("/standin/faults", settings)
    assert answer.status == 200


def all_faults(small, **settings):
    for _, address in small.engines:
        faults(address, **settings)


def generations(address):
    return [s for s in seen(address) if s["path"].startswith("/v1/")]


def contents(answer):
    """Return the texts of a stream's events, without the end marker."""
    events = answer.events()
    assert events[-1] == "[DONE]"
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    return [delta.get("content", "") for delta in deltas]


def seen(address):
    return CallerClient(address).send("GET", "/standin/seen").json()


def read_events(response, count):
    """Read whole events from an open stream until there are ``count``."""
    data = b""
    while data.count(b"\n\n") < count:
        part = response.read1(4096)
        if not part:
            break
        data += part
    return data[: data.rindex(b"\n\n") + 2] if b"\n\n" in data else data


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
def test_stream_is_whole_in_spite_of_an_engine(small, callers, fault):
    expected = contents(callers[0].chat("sake-1", "contract", max_tokens=12))
    # One engine fails; with two, the request itself would be suspected.
    first = next(address for _, address in small.engines if generations(address))
    faults(first, times=1, **fault)
    answer = callers[0].chat("sake-1", "contract", max_tokens=12)
    assert len(generations(first)) == 2, "the faulty engine was asked"
    assert contents(answer) == expected
    assert answer.run == "ran"


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


def test_reference_of_another_request_is_refused(callers):
    response = callers[0].chat("sake-1", "contract")
    line = next(x for x in response.body.decode().split("\n") if x[:4] == "id: ")
    body = json.dumps(chat("sake-1", "other contract", 16, True)).encode()
    answer = callers[0].send("POST", PATH, body, {"Last-Event-ID": line[4:]})
    assert (answer.status, answer.run) == (400, "not-run")


def test_connection_closed_after_the_request_is_not_called_not_run(small, callers):
    (_, order_desk) = small.plain[0]
    faults(order_desk, close_before_answer=True, times=1)
    answer = callers[0].post("/orders", {"order": "A-1"})
    assert (answer.status, answer.run) == (502, "unknown")
    runs = CallerClient(order_desk).send("GET", "/standin/runs").json()
    assert runs == {"A-1": 1}


def test_claimed_request_with_a_lost_answer_never_runs_again(small, callers):
    (_, order_desk) = small.plain[0]
    faults(order_desk, close_before_answer=True, times=1)
    headers = {"Idempotency-Key": "booking-9"}
    first = callers[0].post("/orders", {"order": "A-9"}, headers)
    again = callers[1].post("/orders", {"order": "A-9"}, headers)
    assert (first.status, first.run) == (502, "unknown")
    assert (again.status, again.run) == (409, "unknown")
    assert again.json()["error"]["code"] == "outcome_unknown"
    runs = CallerClient(order_desk).send("GET", "/standin/runs").json()
    assert runs == {"A-9": 1}


def test_same_claim_at_two_routers_at_once_runs_once(small, callers):
    (_, order_desk) = small.plain[0]
    faults(order_desk, late_ms=500)
    headers = {"Idempotency-Key": "booking-2"}
    answers = []

    def post(caller):
        answers.append(caller.post("/orders", {"order": "A-2"}, headers))

    workers = [threading.Thread(target=post, args=(c,)) for c in callers * 3]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join(60)
    assert sorted({a.status for a in answers}) in ([201], [201, 409])
    runs = CallerClient(order_desk).send("GET", "/standin/runs").json()
    assert runs == {"A-2": 1}


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


def test_no_target_sees_the_callers_key(small, callers, key):
    for caller in callers:
        caller.chat("sake-1", "contract")
        caller.send("GET", f"/stock?api_key={key.key}&b=1", b"", {"Cookie": key.key})
        caller.post("/orders", {"order": "K-1"}, {"X-Forwarded-Authorization": key.key})
    for _, address in small.engines + small.plain:
        assert key.key not in json.dumps(seen(address))


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
def test_bad_bodies(callers, body, status):
    answer = callers[0].send("POST", PATH, body)
    assert (answer.status, answer.run) == (status, "not-run")
    assert answer.json()["error"]["message"]
