"""Tests of how the leader reads the platform's target list."""

import json

import pytest

from berylnotch.daemon.fleet import watch as watch_module
from berylnotch.daemon.fleet.watch import (
    MAX_PAGE_ATTEMPTS,
    PAUSE_INCREASE_FACTOR,
    RATE_SHARE,
    TargetListReader,
)
from berylnotch.net.messages import Headers, HttpResponse
from berylnotch.util.address import Address
from tests.test_daemon.test_fleet_registry import Log

PERIOD_S = 1.0

#: Rate limit of the list in calls a second, and the pause between pages that follows.
RATE = 40.0
PAGE_PAUSE_S = 1 / (RATE_SHARE * RATE)


class TimerRecorder:
    """Event loop that records calls with their delays in seconds."""

    def __init__(self):
        self.calls = []

    def call_later(self, delay_s, call):
        self.calls.append((delay_s, call))


class RecordingLog(Log):
    """Log that keeps the lines of skipped entries."""

    def __init__(self):
        self.counts = []

    def warning(self, event, **fields):
        """Keep the count of a line about skipped entries."""
        if event == "target_entries_skipped":
            self.counts.append(fields["count"])


def _page_response(number, last):
    entry = {
        "id": f"i-{number}",
        "service": "llm",
        "address": f"10.0.0.{number}:80",
        "zone": "d",
        "state": "ready",
    }
    next_token = None if number == last else f"p-{number + 1}"
    body = {"instances": [entry], "nextToken": next_token}
    return HttpResponse(200, Headers(()), json.dumps(body).encode())


@pytest.fixture
def reading(monkeypatch):
    """Requests of a started watch, its timers, and the lists that it delivers."""
    requests, timers, lists, _ = _watch(monkeypatch)
    return requests, timers, lists


def _watch(monkeypatch, log=None):
    requests, pages, lists, timers = [], [], [], TimerRecorder()

    def fetch(loop, address, request, timeout_s, on_done, max_bytes):
        requests.append((request.target, on_done))

    monkeypatch.setattr(watch_module, "fetch", fetch)
    watch = TargetListReader(
        timers,
        Address("10.9.9.9", 1),
        PERIOD_S,
        RATE,
        pages.append,
        lists.append,
        log or Log(),
    )
    watch.start()
    return requests, timers, lists, pages


def test_pages_are_read_in_sequence_within_the_rate_limit(reading):
    requests, timers, lists = reading
    for number in (1, 2, 3):
        requests[-1][1](_page_response(number, 3), "")
        delay_s, call = timers.calls[-1]
        assert delay_s == (PERIOD_S if number == 3 else PAGE_PAUSE_S)
        call()
    assert [t.target_id for t in lists[0]] == ["i-1", "i-2", "i-3"]


def test_rate_limited_call_is_retried_without_losing_pages(reading):
    requests, timers, lists = reading
    requests[-1][1](_page_response(1, 2), "")
    timers.calls[-1][1]()
    limited_target = requests[-1][0]
    requests[-1][1](HttpResponse(429, Headers(()), b""), "")
    delay_s, call = timers.calls[-1]
    assert delay_s == PAUSE_INCREASE_FACTOR * PAGE_PAUSE_S
    call()
    assert requests[-1][0] == limited_target
    requests[-1][1](_page_response(2, 2), "")
    assert [t.target_id for t in lists[0]] == ["i-1", "i-2"]


def test_failed_page_is_retried_before_the_reading_restarts(reading):
    requests, timers, lists = reading
    requests[-1][1](_page_response(1, 2), "")
    timers.calls[-1][1]()
    failed_target = requests[-1][0]
    for _ in range(MAX_PAGE_ATTEMPTS):
        assert requests[-1][0] == failed_target
        requests[-1][1](None, "no answer in 0.8 s")
        timers.calls[-1][1]()
    assert requests[-1][0] == requests[0][0]
    assert lists == []


def test_failed_first_page_restarts_the_reading(reading):
    requests, timers, lists = reading
    requests[-1][1](None, "no answer in 0.8 s")
    timers.calls[-1][1]()
    assert requests[-1][0] == requests[0][0] and len(requests) == 2


def test_pages_are_delivered_before_the_list_is_complete(monkeypatch):
    requests, timers, lists, pages = _watch(monkeypatch)
    for number in (1, 2):
        requests[-1][1](_page_response(number, 3), "")
        timers.calls[-1][1]()
    assert [t.target_id for page in pages for t in page] == ["i-1", "i-2"]
    assert lists == []


def test_reading_adapts_to_a_rate_below_the_stated_limit(reading):
    # The list allows half of the rate that one reader uses, in a window of a second.
    requests, timers, lists = reading
    pages, answered_at, now = 60, [], 0.0
    number = 1
    while not lists:
        recent = [at for at in answered_at if at > now - 1.0]
        if len(recent) < RATE_SHARE * RATE / 2:
            answered_at.append(now)
            requests[-1][1](_page_response(number, pages), "")
            number += 1
        else:
            requests[-1][1](HttpResponse(429, Headers(()), b""), "")
        delay_s, call = timers.calls[-1]
        now += delay_s
        call()
    min_duration_s = pages / (RATE_SHARE * RATE / 2)
    assert now - PERIOD_S < 1.5 * min_duration_s


def test_pause_shrinks_back_after_rate_limiting_ends(reading):
    requests, timers, lists = reading
    requests[-1][1](_page_response(1, 2), "")
    timers.calls[-1][1]()
    requests[-1][1](HttpResponse(429, Headers(()), b""), "")
    limited_pause_s = timers.calls[-1][0]
    timers.calls[-1][1]()
    pauses = []
    for _ in range(8):
        requests[-1][1](_page_response(2, 2), "")
        timers.calls[-1][1]()
        requests[-1][1](_page_response(1, 2), "")
        pauses.append(timers.calls[-1][0])
        timers.calls[-1][1]()
    assert limited_pause_s > pauses[1] > pauses[2]
    assert pauses[-1] == PAGE_PAUSE_S


def _entry(target_id, **changes):
    entry = {
        "id": target_id,
        "service": "llm",
        "address": "10.0.0.1:80",
        "zone": "d",
        "state": "ready",
    }
    return {**entry, **changes}


def _response(*entries, next_token=None):
    body = {"instances": entries, "nextToken": next_token}
    return HttpResponse(200, Headers(()), json.dumps(body).encode())


def test_port_too_long_for_an_integer_does_not_end_the_reading(reading):
    requests, timers, lists = reading
    odd = _entry("odd", address="10.0.0.9:" + "9" * 5000)
    requests[-1][1](_response(odd, _entry("i-1")), "")
    assert [t.target_id for t in lists[0]] == ["i-1"]
    timers.calls[-1][1]()
    assert len(requests) == 2


@pytest.mark.parametrize("is_newer_first", [True, False])
@pytest.mark.parametrize("are_on_one_page", [True, False])
def test_of_two_entries_with_one_id_the_target_born_later_is_kept(
    reading, is_newer_first, are_on_one_page
):
    requests, timers, lists = reading
    older = _entry("i-1", address="10.0.0.7:80", born=1000)
    newer = _entry("i-1", address="10.0.0.8:80", born=2000)
    first, second = (newer, older) if is_newer_first else (older, newer)
    if are_on_one_page:
        requests[-1][1](_response(first, second), "")
    else:
        requests[-1][1](_response(first, next_token="p"), "")
        timers.calls[-1][1]()
        requests[-1][1](_response(second), "")
    assert [t.address for t in lists[0]] == ["10.0.0.8:80"]


def test_skipped_entries_are_logged_once_until_they_change(monkeypatch):
    log = RecordingLog()
    requests, timers, _, _ = _watch(monkeypatch, log)
    odd = _entry("odd", slots=-1)

    def read(*entries):
        requests[-1][1](_response(_entry("i-1"), *entries), "")
        timers.calls[-1][1]()

    for entries in ([odd], [odd], [odd, 7], [], [], [odd]):
        read(*entries)
    assert log.counts == [1, 2, 0, 1]


@pytest.mark.parametrize("failing", ["on_page", "on_list"])
def test_error_in_a_callback_does_not_end_the_reading(monkeypatch, failing):
    requests, timers, lists, pages = _watch(monkeypatch)
    reader = requests[-1][1].__self__

    def fail(targets):
        raise KeyError("target")

    monkeypatch.setattr(reader, f"_{failing}", fail)
    with pytest.raises(KeyError):
        next_token = "p" if failing == "on_page" else None
        requests[-1][1](_response(_entry("i-1"), next_token=next_token), "")
    timers.calls[-1][1]()
    assert len(requests) == 2
