"""Helpers of the request path's tests."""

from __future__ import annotations

import json

from berylnotch.standins.caller import CallerClient

PATH = "/v1/chat/completions"


def faults(address, **settings):
    answer = CallerClient(address).post("/standin/faults", settings)
    assert answer.status == 200


def all_faults(small, **settings):
    for _, address in small.engines:
        faults(address, **settings)


def generations(address, prompt=""):
    """Return the generation requests with a prompt that an engine has seen."""
    found = [s for s in seen(address) if s["path"].startswith("/v1/")]
    return [s for s in found if prompt in s["body"]]


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
