"""Tests that callers of berylnotchd never get a broken answer as an answer.

The answers are cut, or no sound HTTP. Each is a failure of the target that sent it.
"""

import pytest

from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import wait_for
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_fleet_text
from tests.fleet.broken import (
    LONG_BYTES,
    MARK,
    ODD_RESPONSES,
    UNSOUND_RESPONSES,
    EarlyTarget,
    RawTarget,
    make_response,
)

SOUND = make_response(b"HTTP/1.1 200 OK", b"Content-Length: 4")


@pytest.fixture
def add_target(fleet):
    """Return a function that starts a fleet with a target, and returns its caller."""
    targets = []

    def add(target):
        targets.append(target)
        fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
        engine = fleet.start_engine("sake-1-a")
        router = fleet.start_router("entry-1", DOMAINS[0])
        text = small_fleet_text(
            SmallFleet(
                routers=(("entry-1", router.address),),
                engines=(("sake-1-a", engine.address),),
                plain=(("order-1", str(target.address)),),
                timeout="5 s",
            )
        )
        assert fleet.apply(text, 0).revision == 1
        return CallerClient(router.address, fleet.give_key("importer-desk").key)

    yield add
    for target in targets:
        target.close()


def ask(client, target, response, method):
    """Return the answer to a request that reached the target."""
    target.response = SOUND
    wait_for(lambda: client.send("GET", "/stock").body == b"good", "a sound answer")
    target.response = response
    target.arrived.clear()
    answer = client.send(method, "/orders", b"{}" if method == "POST" else b"")
    assert target.arrived
    return answer


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_unsound_answers_are_not_delivered(add_target, method):
    target = RawTarget(SOUND)
    client = add_target(target)
    for kind, response in UNSOUND_RESPONSES.items():
        answer = ask(client, target, response, method)
        assert answer.status in (502, 503, 504), (kind, answer)
        assert answer.headers["x-berylnotch-run"] == "unknown", (kind, answer)


@pytest.mark.parametrize("status", [b"200 OK", b"503 Unavailable"])
def test_trailers_do_not_say_that_a_request_has_not_run(add_target, status):
    chunks = b"4\r\ngood\r\n0\r\nX-Not-Run: 1\r\n\r\n"
    target = RawTarget(SOUND)
    client = add_target(target)
    response = make_response(
        b"HTTP/1.1 " + status, b"Transfer-Encoding: chunked", body=chunks
    )
    answer = ask(client, target, response, "POST")
    assert answer.headers["x-berylnotch-run"] != "not-run"
    assert (answer.status == 200) == status.startswith(b"200")
    assert len(target.arrived) == 1


@pytest.mark.parametrize("end", ["reset", "half-close"])
def test_an_answer_that_is_cut_during_a_long_upload_is_not_delivered(add_target, end):
    target = EarlyTarget(make_response(b"HTTP/1.1 200 OK", body=b"half"), end)
    client = add_target(target)
    wait_for(
        lambda: client.send("GET", "/v1/models").status == 200, "the key is accepted"
    )
    answer = client.send("POST", "/orders", b"x" * LONG_BYTES)
    assert target.arrived
    assert answer.status in (502, 504)
    assert answer.headers["x-berylnotch-run"] == "unknown"


@pytest.mark.parametrize("is_first", [False, True])
def test_an_answer_with_the_id_of_another_request_is_not_delivered(
    add_target, is_first
):
    other = b"X-Request-Id: other"
    lines = (other, MARK) if is_first else (MARK, other)
    response = b"\r\n".join([b"HTTP/1.1 200 OK", *lines, b"Content-Length: 4"])
    target = RawTarget(SOUND)
    client = add_target(target)
    answer = ask(client, target, response + b"\r\n\r\ngood", "POST")
    assert answer.status in (502, 504)
    assert answer.headers["x-berylnotch-run"] == "unknown"


def test_an_answer_in_an_encoding_is_not_delivered(add_target):
    # The caller would not learn of the encoding.
    target = RawTarget(SOUND)
    client = add_target(target)
    for encodings in ([b"gzip"], [b"identity, br"], [b"gzip", b"identity"]):
        lines = [b"Content-Encoding: " + encoding for encoding in encodings]
        response = SOUND.replace(MARK, b"\r\n".join([MARK, *lines]))
        answer = ask(client, target, response, "POST")
        assert answer.status in (502, 504)
        assert answer.headers["x-berylnotch-run"] == "unknown"
    identity = SOUND.replace(MARK, MARK + b"\r\nContent-Encoding: Identity")
    assert ask(client, target, identity, "POST").body == b"good"


def test_sound_answers_that_look_odd_are_delivered(add_target):
    target = RawTarget(SOUND)
    client = add_target(target)
    for kind, response in ODD_RESPONSES.items():
        answer = ask(client, target, response, "POST")
        assert answer.body == b"good", (kind, answer)
