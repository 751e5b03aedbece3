"""Tests that callers never get a broken answer of an engine as an answer.

The answers are cut, or no sound HTTP. Each is a failure of the engine that sent it.
"""

import pytest

from tests.fleet.broken import (
    LONG_BYTES,
    MARK,
    ODD_RESPONSES,
    UNSOUND_RESPONSES,
    EarlyTarget,
    RawTarget,
    make_response,
)
from tests.fleet.processes import FleetOfProcesses, configuration

EVENT = b":a\n\n"
HALF = b"id: 1\ndata: the first of two events\n\n"


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    platform.add("llm-1", "llm", version=1)
    platform.add("desk-1", "desk")
    yield processes
    processes.close()


@pytest.fixture
def add_target(platform):
    """Return a function that lists a target of the test, alone in its service."""
    targets = []

    def add(service, target):
        targets.append(target)
        entry = platform.targets["desk-1"].entry()
        entry |= {"id": f"{service}-1", "service": service}
        platform.foreign_entries.append(entry | {"address": str(target.address)})
        return target

    yield add
    for target in targets:
        target.close()


def start(fleet, *services):
    """Start a router with the routes of `path` to services, and return it."""
    values = configuration(3)
    values["routes"] += [
        route
        | {"name": f"{route['name']}-{service}", "service": service}
        | {"pathPrefix": path(route["name"], service), "resumable": False}
        for route in values["routes"]
        for service in services
    ]
    values["services"] += [
        {"name": service, "healthPath": "/", "maxConns": 99} for service in services
    ]
    fleet.start(routers=1)
    assert fleet.put(values).status == 200
    fleet.wait_ready()
    return fleet.routers[0]


def path(route, service):
    """Return the path of a route like one of the configuration, to a service."""
    return f"/{route}-{service}/"


@pytest.mark.parametrize(
    ("name", "end"),
    [("read", "reset"), ("book", "reset"), ("chat", "reset"), ("book", "half-close")],
)
def test_an_answer_that_is_cut_during_a_long_upload_is_not_delivered(
    fleet, add_target, name, end
):
    kind = b"text/event-stream" if name == "chat" else b"text/plain"
    response = make_response(b"HTTP/1.1 200 OK", b"Content-Type: " + kind, body=HALF)
    target = add_target("faulty", EarlyTarget(response, end))
    router = start(fleet, "faulty")
    body = b"x" * LONG_BYTES
    result = fleet.ask(router, path(name, "faulty"), "long", body=body)
    assert target.arrived
    check_failure(result)
    assert router.process.poll() is None


def test_unsound_answers_are_not_delivered(fleet, add_target):
    kinds = UNSOUND_RESPONSES
    targets = {kind: add_target(kind, RawTarget(kinds[kind])) for kind in kinds}
    router = start(fleet, *kinds)
    for kind, target in targets.items():
        for name in ("read", "book"):
            answer = fleet.ask(router, path(name, kind), f"{name}-{kind}")
            # A target that failed before may be left out.
            if target.arrived and f"{name}-{kind}".encode() in target.arrived[-1]:
                check_failure(answer)
        assert target.arrived
    assert router.process.poll() is None


def test_unsound_streams_are_not_delivered(fleet, add_target):
    kinds = {kind: as_stream(UNSOUND_RESPONSES[kind]) for kind in UNSOUND_RESPONSES}
    targets = {kind: add_target(kind, RawTarget(kinds[kind])) for kind in kinds}
    router = start(fleet, *kinds)
    for kind, target in targets.items():
        answer = fleet.ask(router, path("chat", kind), f"chat-{kind}")
        assert target.arrived
        check_failure(answer)
    assert router.process.poll() is None


@pytest.mark.parametrize("name", ["book", "chat"])
def test_sound_answers_that_look_odd_are_delivered(fleet, add_target, name):
    kinds = ODD_RESPONSES
    if name == "chat":
        kinds = {kind: as_stream(ODD_RESPONSES[kind]) for kind in kinds}
    for kind in kinds:
        add_target(kind, RawTarget(kinds[kind]))
    router = start(fleet, *kinds)
    body = EVENT if name == "chat" else b"good"
    for kind in kinds:
        answer = fleet.ask(router, path(name, kind), f"odd-{kind}")
        assert (answer.body, answer.is_whole) == (body, True), kind


def test_an_answer_whose_second_header_names_an_encoding_is_not_delivered(
    fleet, add_target
):
    lines = [b"Content-Encoding: identity", b"Content-Encoding: gzip"]
    response = make_response(b"HTTP/1.1 200 OK", *lines, b"Content-Length: 4")
    target = add_target("faulty", RawTarget(response))
    router = start(fleet, "faulty")
    answer = fleet.ask(router, path("book", "faulty"), "encoded")
    assert target.arrived
    check_failure(answer)


@pytest.mark.parametrize("status", [b"200 OK", b"404 Not Found"])
@pytest.mark.parametrize("is_first", [False, True])
def test_an_answer_with_the_id_of_another_request_is_not_delivered(
    fleet, add_target, status, is_first
):
    other = b"Berylnotch-Request-Id: other"
    lines = (other, MARK) if is_first else (MARK, other)
    response = b"\r\n".join([b"HTTP/1.1 " + status, *lines, b"Content-Length: 4"])
    target = add_target("faulty", RawTarget(response + b"\r\n\r\ngood"))
    router = start(fleet, "faulty")
    answer = fleet.ask(router, path("book", "faulty"), "own")
    assert target.arrived
    check_failure(answer)


@pytest.mark.parametrize("status", [b"200 OK", b"503 Unavailable"])
def test_trailers_do_not_say_that_a_request_has_not_run(fleet, add_target, status):
    chunks = b"4\r\ngood\r\n0\r\nBerylnotch-Not-Executed: 1\r\n\r\n"
    response = make_response(
        b"HTTP/1.1 " + status, b"Transfer-Encoding: chunked", body=chunks
    )
    target = add_target("faulty", RawTarget(response))
    router = start(fleet, "faulty")
    answer = fleet.ask(router, path("book", "faulty"), "trailer")
    assert (answer.status, answer.body) == (
        (200, b"good") if status.startswith(b"200") else (502, b"")
    )
    assert len(target.arrived) == 1


def as_stream(response):
    """Return a response whose body is one event of the same length."""
    for old, new in zip(b"good", EVENT, strict=True):
        chunk = b"\r\n1\r\n%c"
        response = response.replace(chunk % old, chunk % new, 1)
    response = response.replace(b"good", EVENT)
    return response.replace(MARK, MARK + b"\r\nContent-Type: text/event-stream")


def check_failure(answer):
    """Check that a request that may have run failed, and isn't called not run."""
    assert answer is None or not answer.is_whole or answer.status in (502, 504)
