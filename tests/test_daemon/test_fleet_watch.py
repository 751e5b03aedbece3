"""How the leader reads the platform's list."""

import json

import pytest

from berylnotch.daemon.fleet import watch as module
from berylnotch.daemon.fleet.watch import (
    PAGE_TRIES,
    RATE_PART,
    SLOWER_FACTOR,
    TargetWatch,
)
from berylnotch.net.messages import Headers, HttpResponse
from berylnotch.util.address import Address
from tests.test_daemon.test_fleet_registry import Log

PERIOD_S = 1.0

#: Calls a second that the list answers, and the pause that keeps to a part of them.
RATE = 40.0
PAGE_S = 1 / (RATE_PART * RATE)


class Timers:
    """A loop that keeps calls with their delays."""

    def __init__(self):
        self.calls = []

    def call_later(self, delay_s, call):
        self.calls.append((delay_s, call))


def _page(number, last):
    entry = {
        "id": f"i-{number}",
        "service": "llm",
        "address": f"10.0.0.{number}:80",
        "zone": "d",
        "state": "ready",
    }
    following = None if number == last else f"p-{number + 1}"
    body = {"instances": [entry], "nextToken": following}
    return HttpResponse(200, Headers(()), json.dumps(body).encode())


@pytest.fixture
def reading(monkeypatch):
    """A watch, the calls that it makes, its timers, and the lists that it gives."""
    asked, timers, lists, _ = _watch(monkeypatch)
    return asked, timers, lists


def _watch(monkeypatch):
    asked, pages, lists, timers = [], [], [], Timers()

    def fetch(loop, address, request, timeout_s, done):
        asked.append((request.target, done))

    monkeypatch.setattr(module, "fetch", fetch)
    watch = TargetWatch(
        timers,
        Address("10.9.9.9", 1),
        PERIOD_S,
        RATE,
        pages.append,
        lists.append,
        Log(),
    )
    watch.start()
    return asked, timers, lists, pages


def test_pages_are_read_one_after_the_other_within_the_rate(reading):
    asked, timers, lists = reading
    for number in (1, 2, 3):
        asked[-1][1](_page(number, 3), "")
        delay_s, call = timers.calls[-1]
        assert delay_s == (PERIOD_S if number == 3 else PAGE_S)
        call()
    assert [t.target_id for t in lists[0]] == ["i-1", "i-2", "i-3"]


def test_a_limited_call_is_made_again_and_keeps_what_was_read(reading):
    asked, timers, lists = reading
    asked[-1][1](_page(1, 2), "")
    timers.calls[-1][1]()
    first = asked[-1][0]
    asked[-1][1](HttpResponse(429, Headers(()), b""), "")
    delay_s, call = timers.calls[-1]
    assert delay_s == SLOWER_FACTOR * PAGE_S
    call()
    assert asked[-1][0] == first
    asked[-1][1](_page(2, 2), "")
    assert [t.target_id for t in lists[0]] == ["i-1", "i-2"]


def test_a_broken_page_is_asked_for_again_before_the_reading_begins_anew(reading):
    asked, timers, lists = reading
    asked[-1][1](_page(1, 2), "")
    timers.calls[-1][1]()
    second = asked[-1][0]
    for _ in range(PAGE_TRIES):
        assert asked[-1][0] == second
        asked[-1][1](None, "no answer in 0.8 s")
        timers.calls[-1][1]()
    assert asked[-1][0] == asked[0][0]
    assert lists == []


def test_a_broken_first_page_begins_anew(reading):
    asked, timers, lists = reading
    asked[-1][1](None, "no answer in 0.8 s")
    timers.calls[-1][1]()
    assert asked[-1][0] == asked[0][0] and len(asked) == 2


def test_pages_are_given_as_they_come(monkeypatch):
    asked, timers, lists, pages = _watch(monkeypatch)
    for number in (1, 2):
        asked[-1][1](_page(number, 3), "")
        timers.calls[-1][1]()
    assert [t.target_id for page in pages for t in page] == ["i-1", "i-2"]
    assert lists == []


def test_a_list_that_answers_fewer_calls_than_it_states_is_read_at_its_rate(reading):
    # Half of the rate that one reading keeps to, in a window of a second.
    asked, timers, lists = reading
    pages, answered, now = 60, [], 0.0
    number = 1
    while not lists:
        recent = [at for at in answered if at > now - 1.0]
        if len(recent) < RATE_PART * RATE / 2:
            answered.append(now)
            asked[-1][1](_page(number, pages), "")
            number += 1
        else:
            asked[-1][1](HttpResponse(429, Headers(()), b""), "")
        delay_s, call = timers.calls[-1]
        now += delay_s
        call()
    least_s = pages / (RATE_PART * RATE / 2)
    assert now - PERIOD_S < 1.5 * least_s


def test_a_reading_is_fast_again_once_calls_are_not_limited_any_more(reading):
    asked, timers, lists = reading
    asked[-1][1](_page(1, 2), "")
    timers.calls[-1][1]()
    asked[-1][1](HttpResponse(429, Headers(()), b""), "")
    slow_s = timers.calls[-1][0]
    timers.calls[-1][1]()
    pauses = []
    for _ in range(8):
        asked[-1][1](_page(2, 2), "")
        timers.calls[-1][1]()
        asked[-1][1](_page(1, 2), "")
        pauses.append(timers.calls[-1][0])
        timers.calls[-1][1]()
    assert slow_s > pauses[1] > pauses[2]
    assert pauses[-1] == PAGE_S
