"""Helpers for tests of the request path."""

from __future__ import annotations

import json

from berylnotch.standins.caller import CallerClient

PATH = "/v1/chat/completions"


def inject_faults(address, **settings):
    answer = CallerClient(address).post("/standin/faults", settings)
    assert answer.status == 200


def inject_engine_faults(small_fleet, **settings):
    for _, address in small_fleet.engines:
        inject_faults(address, **settings)


def generation_requests(address, prompt=""):
    """Return the generation requests at an engine whose body contains a prompt."""
    requests = [
        request
        for request in received_requests(address)
        if request["path"].startswith("/v1/")
    ]
    return [request for request in requests if prompt in request["body"]]


def stream_contents(answer):
    """Return the content of each event of a stream, without the end marker."""
    events = answer.events()
    assert events[-1] == "[DONE]"
    deltas = [json.loads(event)["choices"][0]["delta"] for event in events[:-1]]
    return [delta.get("content", "") for delta in deltas]


def received_requests(address):
    return CallerClient(address).send("GET", "/standin/seen").json()


def read_events(response, count):
    """Read at least ``count`` complete events from an open stream.

    Returns fewer if the stream ends; an incomplete last event is dropped.
    """
    data = b""
    while data.count(b"\n\n") < count:
        part = response.read1(4096)
        if not part:
            break
        data += part
    return data[: data.rindex(b"\n\n") + 2] if b"\n\n" in data else data
