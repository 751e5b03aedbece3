from __future__ import annotations

import http.client

import openai
import pytest

from .conftest import run_stand_in, wait_until

CHAT = "/v1/chat/completions"
BODY = {
    "model": "sake-1",
    "messages": [{"role": "user", "content": "label duty"}],
    "max_tokens": 6,
    "stream": True,
}


@pytest.fixture
def client(engine):
    url = f"http://{engine.address}/v1"
    return openai.OpenAI(api_key="any", base_url=url, max_retries=0)


def test_openai_client_reads_streams_and_complete_responses(client):
    arguments = {key: BODY[key] for key in ("model", "messages", "max_tokens")}
    whole = client.chat.completions.create(**arguments)
    options = {"include_usage": True}
    chunks = list(
        client.chat.completions.create(**arguments, stream=True, stream_options=options)
    )
    text = "".join(chunk.choices[0].delta.content for chunk in chunks if chunk.choices)
    assert text == whole.choices[0].message.content
    assert chunks[-1].usage == whole.usage
    assert whole.usage.completion_tokens == 6
    assert [model.id for model in client.models.list()] == ["sake-1"]
    with pytest.raises(openai.NotFoundError):
        client.completions.create(model="other", prompt="a")


def test_resumed_stream_continues_byte_for_byte(engine):
    whole = engine.call(CHAT, BODY)[2]
    remainder = engine.call(CHAT, BODY, {"x-resume-after": "3"})[2]
    assert whole.endswith(remainder)
    assert remainder.startswith(b"id: 4\n")
    assert whole.count(b"\n\n") == 8


@pytest.mark.parametrize("fault", ["close_after_events", "empty"])
def test_faults_that_end_cleanly(engine, fault):
    engine.faults(**{fault: 2})
    status, _, body = engine.call(CHAT, BODY)
    assert status == 200
    assert b"[DONE]" not in body
    assert body.count(b"\n\n") == (0 if fault == "empty" else 2)


@pytest.mark.parametrize("fault", ["die_after_events", "close_before_answer"])
def test_faults_that_break_the_connection(engine, fault):
    engine.faults(**{fault: 2})
    with pytest.raises((OSError, http.client.HTTPException)):
        engine.call(CHAT, BODY)


def test_faults_of_event_sequence_and_request_id(engine):
    engine.faults(skip_event=2, repeat_event=3, wrong_request_id=True, times=1)
    _, headers, body = engine.call(CHAT, BODY, {"x-request-id": "r1"})
    assert b"id: 2\n" not in body
    assert body.count(b"id: 3\n") == 2
    assert headers["x-request-id"] == "other"
    assert engine.call(CHAT, BODY, {"x-request-id": "r1"})[1]["x-request-id"] == "r1"


def test_refusal_is_marked_as_not_run(engine):
    engine.faults(refuse=True)
    status, headers, _ = engine.call(CHAT, BODY)
    assert (status, headers["x-not-run"]) == (503, "1")


def test_crash_changes_the_incarnation(engine):
    earlier = engine.json("/standin/load")["incarnation"]
    engine.faults(crash_marker="poison", restart_ms=1)
    poison = {**BODY, "messages": [{"role": "user", "content": "poison"}]}
    with pytest.raises((OSError, http.client.HTTPException)):
        engine.call(CHAT, poison)

    def is_back():
        try:
            return engine.json("/standin/load")["incarnation"] != earlier
        except OSError:
            return False

    wait_until(is_back)


def test_closed_connection_cancels_the_run(engine):
    connection = http.client.HTTPConnection(engine.address, timeout=20)
    body = '{"model": "sake-1", "prompt": "a", "max_tokens": 100000, "stream": true}'
    connection.request("POST", "/v1/completions", body)
    connection.getresponse().read(100)
    assert engine.json("/standin/load")["running"] == 1
    connection.close()
    wait_until(lambda: engine.json("/standin/load")["running"] == 0)


def test_orders_are_fenced_and_change_weights(engine):
    order = {"kind": "load", "fence": 7, "version": "v2"}
    assert engine.call("/standin/orders", order)[0] == 200
    assert engine.call(CHAT, BODY)[1]["x-not-run"] == "1"
    wait_until(lambda: engine.json("/standin/load")["weights"] == "v2")
    order = {"kind": "load", "fence": 6, "version": "v1"}
    assert engine.call("/standin/orders", order)[0] == 409
    assert engine.call(CHAT, BODY)[1]["x-weights"] == "v2"


def test_cache_events_report_new_blocks_once_per_scope(engine):
    earlier = engine.json("/standin/cache-events")["last"]
    body = {"model": "sake-1", "prompt": "x" * 2500, "max_tokens": 1}
    for scope in ("a", "a", "b"):
        engine.call("/v1/completions", body, {"x-cache-scope": scope})
    events = engine.json(f"/standin/cache-events?after={earlier}")["events"]
    assert [event["kind"] for event in events] == ["stored"] * 4
    assert [event["sequence"] for event in events] == list(
        range(earlier + 1, earlier + 5)
    )


def test_credential_is_required_and_headers_are_recorded():
    with run_stand_in("engine", "--credential", "T", "--first-ms", "0") as engine:
        assert engine.call(CHAT, BODY)[0] == 401
        headers = {"authorization": "Bearer T", "x-priority": "2"}
        assert engine.call("/v1/models", headers=headers)[0] == 200
        recorded = engine.call("/standin/seen", headers=headers)[2]
        assert b'"x-priority": "2"' in recorded
