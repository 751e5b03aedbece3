"""Requests that come before the router knows what to do with them."""

import pytest

from berylnotch.entry import early
from berylnotch.entry.early import KEPT_PART, MAX_KEPT, EarlyRequests
from berylnotch.net.messages import Headers, HttpRequest
from tests.test_daemon.test_fleet_weights import Clock

START_S = 1.6


class Caller:
    """A caller's connection."""

    def __init__(self, request_id):
        self.request_id, self.on_gone = request_id, None


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(early, "boot_time", lambda: clock.now)
    return clock


@pytest.fixture
def answered():
    return []


@pytest.fixture
def requests(clock, answered):
    def answer(caller, request):
        answered.append((caller.request_id, round(clock.now - 100.0, 3)))

    return EarlyRequests(clock, clock.now + START_S, answer)


def ask(requests, clock, request_id, deadline_s=15.0):
    caller = Caller(request_id)
    request = HttpRequest("POST", "/chat/x", Headers(), b"", clock.now)
    return caller, requests.keep(caller, request, deadline_s)


def test_they_are_handed_on_in_the_order_they_came(requests, clock, answered):
    for number in range(3):
        assert ask(requests, clock, f"r{number}")[1]
        clock.advance(0.1)
    requests.hand_on()
    assert [name for name, _ in answered] == ["r0", "r1", "r2"] and len(requests) == 0
    clock.advance(5)
    assert len(answered) == 3


def test_none_is_kept_beyond_the_usual_start(requests, clock, answered):
    ask(requests, clock, "a")
    clock.advance(1.0)
    ask(requests, clock, "b")
    clock.advance(5)
    assert answered == [("a", START_S), ("b", START_S)]
    assert not ask(requests, clock, "late")[1]


def test_a_caller_with_little_time_is_answered_sooner(requests, clock, answered):
    ask(requests, clock, "short", deadline_s=0.6)
    clock.advance(1.0)
    assert answered == [("short", pytest.approx(KEPT_PART * 0.6))]


def test_a_caller_that_leaves_is_forgotten(requests, clock, answered):
    caller, _ = ask(requests, clock, "gone")
    caller.on_gone()
    requests.hand_on()
    clock.advance(5)
    assert answered == []


def test_room_is_bounded(requests, clock, answered):
    kept = [ask(requests, clock, str(n))[1] for n in range(MAX_KEPT + 1)]
    assert kept == [True] * MAX_KEPT + [False]


def return_of_all(clock, requests, known_at, waits):
    """Play callers that come each 20 ms; return the times of their answers.

    ``waits`` tells whether they wait at the router. Else they are told to come back in
    the time of a usual start, as before.
    """
    start, times = clock.now, []
    requests._answer = lambda caller, request: times.append(clock.now - caller.came_at)
    for number in range(int(known_at / 0.02)):
        caller, is_kept = Caller(str(number)), False
        caller.came_at = clock.now
        if waits:
            request = HttpRequest("POST", "/chat/x", Headers(), b"", clock.now)
            is_kept = requests.keep(caller, request, 15.0)
        if not is_kept:
            times.append(max(0.3, start + START_S - clock.now))
        clock.advance(0.02)
    requests.hand_on()
    return times


def test_callers_get_their_answers_sooner_than_by_coming_back(requests, clock):
    waited = return_of_all(clock, requests, 0.6, waits=True)
    told = return_of_all(clock, requests, 0.6, waits=False)
    assert len(waited) == len(told) == 30
    in_time = [sum(t <= 0.8 for t in times) for times in (told, waited)]
    assert in_time == [0, 30]
