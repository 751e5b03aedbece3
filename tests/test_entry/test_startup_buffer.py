"""Buffering of requests that arrive before the configuration of a router.

The tests guard against callers that wait longer than necessary after a restart of all
processes, and against a buffer that grows without bound or holds requests too long.
"""

import pytest

from berylnotch.entry import startup_buffer
from berylnotch.entry.startup_buffer import (
    MAX_BUFFERED,
    MAX_BUFFERED_FRACTION,
    StartupBuffer,
)
from berylnotch.net.messages import Headers, HttpRequest
from tests.test_daemon.test_fleet_weights import Clock

START_S = 1.6


class Caller:
    """Fake connection of a caller."""

    def __init__(self, request_id):
        self.request_id, self.on_disconnected = request_id, None


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(startup_buffer, "boot_time", lambda: clock.now)
    return clock


@pytest.fixture
def released():
    return []


@pytest.fixture
def requests(clock, released):
    def answer(caller, request):
        released.append((caller.request_id, round(clock.now - 100.0, 3)))

    return StartupBuffer(clock, clock.now + START_S, answer)


def send_request(requests, clock, request_id, deadline_s=15.0):
    caller = Caller(request_id)
    request = HttpRequest("POST", "/chat/x", Headers(), b"", clock.now)
    return caller, requests.add(caller, request, deadline_s)


def test_buffered_requests_are_released_in_order_of_arrival(requests, clock, released):
    for number in range(3):
        assert send_request(requests, clock, f"r{number}")[1]
        clock.advance(0.1)
    requests.release_all()
    assert [name for name, _ in released] == ["r0", "r1", "r2"] and len(requests) == 0
    clock.advance(5)
    assert len(released) == 3


def test_no_request_is_buffered_beyond_the_usual_start_time(requests, clock, released):
    send_request(requests, clock, "a")
    clock.advance(1.0)
    send_request(requests, clock, "b")
    clock.advance(5)
    assert released == [("a", START_S), ("b", START_S)]
    assert not send_request(requests, clock, "late")[1]


def test_request_with_a_short_deadline_is_released_sooner(requests, clock, released):
    send_request(requests, clock, "short", deadline_s=0.6)
    clock.advance(1.0)
    assert released == [("short", pytest.approx(MAX_BUFFERED_FRACTION * 0.6))]


def test_request_of_a_disconnected_caller_is_discarded(requests, clock, released):
    caller, _ = send_request(requests, clock, "gone")
    caller.on_disconnected()
    requests.release_all()
    clock.advance(5)
    assert released == []


def test_buffer_size_is_bounded(requests, clock, released):
    are_buffered = [
        send_request(requests, clock, str(n))[1] for n in range(MAX_BUFFERED + 1)
    ]
    assert are_buffered == [True] * MAX_BUFFERED + [False]


def simulate_restart(clock, requests, known_at, is_buffering):
    """Simulate callers that arrive every 20 ms; return their response times.

    Parameters
    ----------
    known_at : float
        Seconds until the configuration is known.
    is_buffering : bool
        Whether the router buffers the requests. Otherwise it refuses them with a retry
        delay until the time at which a start usually ends.
    """
    start, times = clock.now, []
    requests._handle_request = lambda caller, request: times.append(
        clock.now - caller.arrived_at
    )
    for number in range(int(known_at / 0.02)):
        caller, is_buffered = Caller(str(number)), False
        caller.arrived_at = clock.now
        if is_buffering:
            request = HttpRequest("POST", "/chat/x", Headers(), b"", clock.now)
            is_buffered = requests.add(caller, request, 15.0)
        if not is_buffered:
            times.append(max(0.3, start + START_S - clock.now))
        clock.advance(0.02)
    requests.release_all()
    return times


def test_buffered_callers_are_answered_sooner_than_refused_callers(requests, clock):
    buffered = simulate_restart(clock, requests, 0.6, is_buffering=True)
    refused = simulate_restart(clock, requests, 0.6, is_buffering=False)
    assert len(buffered) == len(refused) == 30
    in_time = [sum(t <= 0.8 for t in times) for times in (refused, buffered)]
    assert in_time == [0, 30]
