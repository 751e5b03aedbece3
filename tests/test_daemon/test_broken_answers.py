"""Tests that callers never get a broken answer of an engine as an answer.

The answers are cut, or no sound HTTP. Each is a failure of the engine that sent it.
"""

import pytest

from tests.fleet.broken import LONG_BYTES, EarlyTarget, echo_id
from tests.fleet.processes import FleetOfProcesses, configuration

#: Routes to the faulty targets, by the path of the route that each is like.
PATHS = {"read": "/faulty-read/", "book": "/faulty-book/", "chat": "/faulty-chat/"}

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
    """Return a function that lists a faulty target."""
    targets = []

    def add(target):
        targets.append(target)
        entry = platform.targets["desk-1"].entry()
        host, port = target.address
        entry |= {"id": "faulty-1", "service": "faulty", "address": f"{host}:{port}"}
        platform.foreign_entries.append(entry)
        return target

    yield add
    for target in targets:
        target.close()


def start(fleet):
    """Start a router with routes to the faulty targets, and return it."""
    values = configuration(3)
    values["routes"] += [
        route
        | {"name": f"f-{route['name']}", "pathPrefix": PATHS[route["name"]]}
        | {"service": "faulty", "resumable": False}
        for route in values["routes"]
    ]
    values["services"].append({"name": "faulty", "healthPath": "/", "maxConns": 99})
    fleet.start(routers=1)
    assert fleet.put(values).status == 200
    fleet.wait_ready()
    return fleet.routers[0]


@pytest.mark.parametrize(
    ("name", "end"),
    [("read", "reset"), ("book", "reset"), ("chat", "reset"), ("book", "half-close")],
)
def test_an_answer_that_is_cut_during_a_long_upload_is_not_delivered(
    fleet, add_target, name, end
):
    def answer(request):
        kind = b"text/event-stream" if name == "chat" else b"text/plain"
        yield b"HTTP/1.1 200 OK\r\n" + echo_id(request)
        yield b"Content-Type: " + kind + b"\r\n\r\n" + HALF

    target = add_target(EarlyTarget(answer, end))
    router = start(fleet)
    result = fleet.ask(router, PATHS[name] + "x", "long", body=b"x" * LONG_BYTES)
    assert target.arrived
    check_failure(result)
    assert router.process.poll() is None


def check_failure(answer):
    """Check that a request that may have run failed, and isn't called not run."""
    assert answer is None or not answer.is_whole or answer.status in (502, 504)
