from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.streams.errors import SequenceError
from berylnotch.streams.sequence import EventSequence


def engine_event(number):
    return b'id: %d\ndata: {"text": "id: %d"}\n\n' % (number, number)


def caller_event(number):
    return engine_event(number).replace(b"id: ", b"id: B.", 1)


@given(st.integers(0, 20), st.integers(1, 9))
def test_ids_of_continuous_events_get_the_base(position, count):
    sequence = EventSequence("B", position)
    numbers = range(position + 1, position + 1 + count)
    numbered = sequence.rewrite_ids(b"".join(map(engine_event, numbers)), count)
    assert numbered.data == b"".join(map(caller_event, numbers))
    assert (numbered.events, sequence.position) == (count, position + count)


@given(st.lists(st.integers(1, 9), min_size=1, max_size=9))
def test_duplicates_are_dropped_and_gaps_refused(numbers):
    sequence = EventSequence("B")
    expected, has_gap = [], False
    for number in numbers:
        has_gap = has_gap or number > len(expected) + 1
        if not has_gap and number == len(expected) + 1:
            expected.append(number)
    data = b"".join(map(engine_event, numbers))
    if has_gap:
        with pytest.raises(SequenceError):
            sequence.rewrite_ids(data, len(numbers))
        assert sequence.position == 0
    else:
        numbered = sequence.rewrite_ids(data, len(numbers))
        assert numbered.data == b"".join(map(caller_event, expected))
        assert sequence.position == numbered.events == len(expected)


@pytest.mark.parametrize(
    "data", [b"", engine_event(1), engine_event(1) + engine_event(1)]
)
def test_gap_before_the_end_marker_leaves_position_unchanged(data):
    sequence = EventSequence("B")
    with pytest.raises(SequenceError):
        sequence.rewrite_ids(data, data.count(b"\n\n"), end_number=3)
    assert sequence.position == 0
    assert sequence.rewrite_ids(engine_event(1), 1, end_number=2).data == caller_event(
        1
    )
    assert sequence.rewrite_ids(b"", 0, end_number=2).data == b""


def test_comments_are_dropped_and_other_id_forms_are_read():
    sequence = EventSequence("B")
    data = b": ping\n\ndata: a\nid:1\n\nevent: e\nid: 2\ndata: b\n\n"
    assert sequence.rewrite_ids(data, 3).data == (
        b"id: B.1\ndata: a\n\nid: B.2\nevent: e\ndata: b\n\n"
    )


def test_event_without_number_is_refused():
    with pytest.raises(SequenceError):
        EventSequence("B").rewrite_ids(b"data: a\n\n", 1)


@pytest.mark.parametrize("count", [1, 2])
def test_id_too_long_for_an_integer_is_refused(count):
    event = b"id: %s\ndata: x\n\n" % (b"9" * 5000)
    with pytest.raises(SequenceError):
        EventSequence("B").rewrite_ids(event * count, count)
