"""What targets say of themselves with their answers: leaving, and for how long full."""

import pytest

from berylnotch.entry.choice import choose, usable_in_s
from berylnotch.entry.signals import BACK_OFF_SPREAD, MAX_BACK_OFF_S
from berylnotch.group.messages import LeavingWord, TargetEntry
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.client import ResponseHead
from berylnotch.net.messages import Headers
from berylnotch.util.clock import boot_time
from tests.test_entry.support import make_exchange, short_request


def listed(target_id, born_ms=0, is_leaving=False):
    models = (ModelVersion("model-1", 1),)
    target = ListedTarget(
        target_id, "llm", "127.0.0.1:9", "north", 8, is_leaving, born_ms, models
    )
    return TargetEntry(target)


def answer(context, status, *headers, request_id="id-1"):
    """Let the only target answer a new request; return its attempt."""
    exchange, _, _ = make_exchange(context)
    attempt = exchange._attempt
    fields = (("Berylnotch-Request-Id", request_id), *headers)
    attempt.on_head(ResponseHead(status, Headers(fields), True))
    return attempt


@pytest.mark.parametrize("status", [200, 421, 500, 503])
@pytest.mark.parametrize("name", ["Server-Leaving", "server-leaving"])
def test_a_target_that_says_it_leaves_gets_nothing_more(context, status, name):
    answer(context, status, (name, "1"))
    target = context.targets.get("e")
    assert not target.is_usable(boot_time())
    assert context.targets.leaving_words() == (LeavingWord("e", 0),)


def test_the_word_counts_with_an_answer_to_another_request(context):
    answer(context, 200, ("Server-Leaving", "1"), request_id="of-before")
    assert context.targets.get("e").is_leaving


def test_the_word_outlasts_a_list_that_shows_the_target_as_live(context):
    answer(context, 200, ("Server-Leaving", "1"))
    context.targets.update([listed("e")])
    assert context.targets.get("e").is_leaving


def test_the_word_does_not_strike_a_target_that_started_again(context):
    answer(context, 200, ("Server-Leaving", "1"))
    context.targets.update([listed("e", born_ms=2000)])
    assert not context.targets.get("e").is_leaving
    assert context.targets.leaving_words() == ()


def test_the_word_of_another_router_is_taken_back(context):
    context.targets.update([listed("e", is_leaving=True)])
    assert context.targets.get("e").is_leaving
    context.targets.update([listed("e")])
    assert not context.targets.get("e").is_leaving


@pytest.mark.parametrize("value", ["0", "", "no"])
def test_other_values_say_nothing(context, value):
    answer(context, 200, ("Server-Leaving", value))
    assert not context.targets.get("e").is_leaving


@pytest.mark.parametrize("told, pause_s", [("4", 4.0), ("0.8", 0.8), ("1e9", 300.0)])
def test_a_full_target_is_left_alone_for_as_long_as_it_says(context, told, pause_s):
    now = boot_time()
    answer(context, 503, ("Retry-After", told), ("Berylnotch-Not-Executed", "1"))
    target = context.targets.get("e")
    assert now + pause_s <= target.refused_until
    assert target.refused_until <= boot_time() + pause_s * (1 + BACK_OFF_SPREAD)
    assert pause_s <= MAX_BACK_OFF_S


@pytest.mark.parametrize("told", ["", "soon", "-1", "nan", "Fri, 04 Dec 2026 08:00:00"])
def test_a_malformed_pause_counts_as_none(context, told):
    answer(context, 503, ("Retry-After", told))
    assert context.targets.get("e").refused_until == 0.0


def test_a_shorter_pause_does_not_end_a_longer_one(context):
    answer(context, 503, ("Retry-After", "5"))
    target = context.targets.get("e")
    longer = target.refused_until
    target.back_off(boot_time(), 0.15)
    assert target.refused_until == longer


def test_callers_are_told_when_the_first_of_the_full_targets_is_back(context):
    answer(context, 503, ("Retry-After", "2"))
    _, connection, _ = make_exchange(context)
    status, headers, _ = connection.answers[0]
    assert status == 503 and 1.9 < float(headers.get("Retry-After")) <= 2.2
    targets = context.targets.of("llm")
    placing = short_request(now=boot_time(), model="model-1")
    assert choose(targets, placing) is None
    assert usable_in_s(targets, placing) > 1.9


def test_a_pause_of_another_status_is_not_the_targets_own(context):
    answer(context, 429, ("Retry-After", "5"))
    assert context.targets.get("e").refused_until == 0.0
