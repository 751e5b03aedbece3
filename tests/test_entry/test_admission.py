"""When a stream is refused instead of queued."""

from berylnotch.entry.admission import MAX_RETRY_S, judge
from berylnotch.entry.choice import Choice
from tests.test_entry.support import make_target


def choice(delay_ms, load=60, unread=300_000):
    target = make_target("e")
    target.in_flight, target.unread = load, unread
    return Choice(target, delay_ms)


def test_what_comes_in_time_or_a_little_late_is_sent():
    assert judge(choice(200), 1.0, 10.0).is_admitted
    assert judge(choice(2500), 1.0, 10.0).is_admitted


def test_what_comes_too_late_is_refused_with_the_time_to_come_back():
    verdict = judge(choice(3600), 1.0, 10.0)
    assert not verdict.is_admitted and verdict.retry_after_s == 2.6
    assert judge(choice(60_000), 1.0, 90.0).retry_after_s == MAX_RETRY_S


def test_what_cannot_meet_its_deadline_is_refused():
    assert not judge(choice(1500), 1.0, 1.2).is_admitted


def test_nothing_is_refused_by_an_engine_with_room_and_no_queue():
    assert judge(choice(5000, load=3, unread=1000), 1.0, 10.0).is_admitted
