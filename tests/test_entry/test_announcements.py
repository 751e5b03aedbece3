"""Tests the headers by which targets announce that they leave or are overloaded."""

import math

import pytest

from berylnotch.entry.announcements import BACK_OFF_SPREAD, MAX_BACK_OFF_S
from berylnotch.entry.choice import choose, delay_until_usable_s
from berylnotch.group.messages import LeavingWord, TargetEntry
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.messages import Headers
from berylnotch.net.response_reader import ResponseHead
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange, short_request


def target_entry(target_id, born_ms=0, is_leaving=False):
    models = (ModelVersion("model-1", 1),)
    target = ListedTarget(
        target_id, "llm", "127.0.0.1:9", "north", 8, is_leaving, born_ms, models
    )
    return TargetEntry(target)


def answer(context, status, *headers, request_id="id-1"):
    """Let the only target answer a new request, and return the attempt."""
    exchange, _, _ = make_exchange(context)
    attempt = exchange._attempt
    fields = (("Berylnotch-Request-Id", request_id), *headers)
    attempt.on_head(ResponseHead(status, Headers(fields), True))
    return attempt


@pytest.mark.parametrize("status", [200, 421, 500, 503])
@pytest.mark.parametrize("name", ["Server-Leaving", "server-leaving"])
def test_a_target_that_is_leaving_gets_no_more_requests(context, status, name):
    answer(context, status, (name, "1"))
    target = context.targets.get("e")
    assert not target.is_usable(boot_time())
    assert context.targets.announced_departures() == (LeavingWord("e", 0),)


def test_an_announcement_counts_in_an_answer_to_another_request(context):
    answer(context, 200, ("Server-Leaving", "1"), request_id="of-before")
    assert context.targets.get("e").is_leaving


def test_an_announcement_outlasts_a_list_that_shows_the_target_as_live(context):
    answer(context, 200, ("Server-Leaving", "1"))
    context.targets.update([target_entry("e")])
    assert context.targets.get("e").is_leaving


def test_an_announcement_does_not_apply_to_a_later_incarnation(context):
    answer(context, 200, ("Server-Leaving", "1"))
    context.targets.update([target_entry("e", born_ms=2000)])
    assert not context.targets.get("e").is_leaving
    assert context.targets.announced_departures() == ()


def test_a_departure_reported_by_another_router_can_be_revoked(context):
    context.targets.update([target_entry("e", is_leaving=True)])
    assert context.targets.get("e").is_leaving
    context.targets.update([target_entry("e")])
    assert not context.targets.get("e").is_leaving


@pytest.mark.parametrize("value", ["0", "", "no"])
def test_other_header_values_are_ignored(context, value):
    answer(context, 200, ("Server-Leaving", value))
    assert not context.targets.get("e").is_leaving


@pytest.mark.parametrize(
    "retry_after, pause_s", [("4", 4.0), ("0.8", 0.8), ("1e9", 300.0)]
)
def test_an_overloaded_target_is_not_used_during_its_back_off(
    context, retry_after, pause_s
):
    now = boot_time()
    answer(context, 503, ("Retry-After", retry_after), ("Berylnotch-Not-Executed", "1"))
    target = context.targets.get("e")
    assert now + pause_s <= target.refused_until
    assert target.refused_until <= boot_time() + pause_s * (1 + BACK_OFF_SPREAD)
    assert pause_s <= MAX_BACK_OFF_S


@pytest.mark.parametrize(
    "retry_after", ["", "soon", "-1", "nan", "Fri, 04 Dec 2026 08:00:00"]
)
def test_a_malformed_back_off_is_ignored(context, retry_after):
    answer(context, 503, ("Retry-After", retry_after))
    assert context.targets.get("e").refused_until == 0.0


def test_a_shorter_back_off_does_not_end_a_longer_one(context):
    answer(context, 503, ("Retry-After", "5"))
    target = context.targets.get("e")
    longer = target.refused_until
    target.back_off(boot_time(), 0.15)
    assert target.refused_until == longer


def test_refused_callers_get_the_end_of_the_shortest_back_off(context):
    answer(context, 503, ("Retry-After", "2"))
    _, connection, _ = make_exchange(context)
    status, headers, _ = connection.answers[0]
    assert status == 503 and 1.9 < float(headers.get("Retry-After")) <= 2.2
    targets = context.targets.of("llm")
    inputs = short_request(now=boot_time(), model="model-1")
    assert choose(targets, inputs) is None
    assert delay_until_usable_s(targets, inputs) > 1.9


def test_a_back_off_with_another_status_is_ignored(context):
    answer(context, 429, ("Retry-After", "5"))
    assert context.targets.get("e").refused_until == 0.0


def limit_answer(context, *headers, request_id="id-1", attempt=None, sent_at=None):
    """Let the target answer a new or given attempt, and return the target's limit."""
    attempt = attempt or make_exchange(context)[0]._attempt
    if sent_at is not None:
        attempt._sent_at = sent_at
    fields = (("Berylnotch-Request-Id", request_id), *headers)
    attempt.on_head(ResponseHead(200, Headers(fields), True))
    return context.targets.get("e").limit_per_s


@pytest.fixture
def limited_attempt(context):
    """An attempt that began before the target announced a limit of 900."""
    attempt = make_exchange(context)[0]._attempt
    limit_answer(context, ("Server-Limit", "900"))
    return attempt


@pytest.mark.parametrize("name", ["Server-Limit", "server-limit"])
@pytest.mark.parametrize("value, limit_per_s", [("2.5", 2.5), ("0", 0.0), ("1e3", 1e3)])
def test_a_limit_is_read_from_any_answer(context, name, value, limit_per_s):
    assert limit_answer(context, (name, value), request_id="of-before") == limit_per_s


@pytest.mark.parametrize("value", ["", "many", "-1", "nan", "inf"])
def test_a_malformed_limit_is_ignored(context, value):
    assert limit_answer(context, ("Server-Limit", value)) == math.inf


def test_a_limit_ends_with_an_answer_without_it(context, limited_attempt):
    limit_per_s = limit_answer(context, attempt=limited_attempt, sent_at=boot_time())
    assert limit_per_s == math.inf


def test_an_overtaken_answer_does_not_end_a_limit(context, limited_attempt):
    assert limit_answer(context, attempt=limited_attempt) == 900


def test_an_answer_to_another_request_does_not_end_a_limit(context, limited_attempt):
    options = {"attempt": limited_attempt, "sent_at": boot_time()}
    assert limit_answer(context, request_id="foreign", **options) == 900
