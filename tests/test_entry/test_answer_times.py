"""Prediction of how long answers take.

The tests guard against stopping routers that send requests whose answers they will cut.
"""

from berylnotch.entry.answer_times import MARGIN_S, MAX_SAMPLES, AnswerTimes


def test_longest_recent_answer_counts_not_the_usual_one():
    times = AnswerTimes()
    for _ in range(20):
        times.record("read", 0.1, 0)
    times.record("read", 1.0, 0)
    assert times.longest_s("read", 0, is_repeatable=True) >= 1.0 + MARGIN_S


def test_unrepeatable_request_needs_more_time_than_a_repeatable_one():
    times = AnswerTimes()
    times.record("book", 1.0, 0)
    repeatable_s = times.longest_s("book", 0, is_repeatable=True)
    assert times.longest_s("book", 0, is_repeatable=False) > repeatable_s > 1.0


def test_longer_stream_needs_more_time():
    times = AnswerTimes()
    times.record("chat", 2.0, 100)
    short_s = times.longest_s("chat", 100, is_repeatable=True)
    assert times.longest_s("chat", 300, is_repeatable=True) > 2 * short_s


def test_old_answers_of_another_route_do_not_count():
    times = AnswerTimes()
    assert times.longest_s("read", 0, is_repeatable=True) is None
    times.record("read", 9.0, 0)
    for _ in range(MAX_SAMPLES):
        times.record("read", 0.1, 0)
    assert times.longest_s("read", 0, is_repeatable=True) < 1.0
    assert times.longest_s("book", 0, is_repeatable=True) is None
