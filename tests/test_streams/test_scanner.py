from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.streams.errors import EventTooLongError
from berylnotch.streams.scanner import EventScanner

END_MARKER = b"data: [DONE]\n\n"
_texts = st.text(
    st.sampled_from('ab {}:"[DONE]data: id: é'), min_size=1, max_size=30
).filter(lambda text: text.strip() != "[DONE]")
_events = st.builds(
    lambda n, text: b"id: %d\ndata: {%b}\n\n" % (n, text.encode()),
    st.integers(1, 999),
    _texts,
)


def split_at(data, offsets):
    bounds = sorted({0, len(data), *(c % (len(data) + 1) for c in offsets)})
    return [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]


def scan(chunks):
    scanner = EventScanner()
    results = [scanner.feed(chunk) for chunk in chunks]
    data = b"".join(r.complete for r in results)
    return data, sum(r.events for r in results), scanner.is_ended


@given(
    st.lists(_events, max_size=8),
    st.booleans(),
    st.sampled_from((b"\n", b"\r\n", b"\r")),
    st.lists(st.integers(0, 500), max_size=20),
)
def test_events_do_not_depend_on_chunk_boundaries(events, is_ended, line_end, offsets):
    data = b"".join(events) + (END_MARKER + b"rest" if is_ended else b"data: part")
    chunks = split_at(data.replace(b"\n", line_end), offsets)
    assert scan(chunks) == (b"".join(events), len(events), is_ended)


@given(st.lists(_events, min_size=1, max_size=4), st.integers(1, 40))
def test_only_complete_events_are_returned(events, missing_bytes):
    data = b"".join(events)
    complete, count, is_ended = scan([data[: max(0, len(data) - missing_bytes)]])
    assert b"".join(events).startswith(complete)
    assert count < len(events)
    assert not is_ended


@pytest.mark.parametrize(
    "data",
    [b"data:[DONE]\n\n", b"id: 3\ndata: [DONE]\n\n", b"\n\n\ndata: [DONE]\n\n"],
)
def test_forms_of_the_end_marker(data):
    assert scan([b"data: a\n\n\n\n", data]) == (b"data: a\n\n", 1, True)


def test_end_marker_number_is_read():
    scanner = EventScanner()
    result = scanner.feed(b"id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n")
    assert (result.events, result.end_number) == (1, 2)
    assert scanner.feed(b"id: 3\ndata: b\n\n").events == 0


def test_end_marker_inside_an_event_is_text():
    event = b'data: {"text": "data: [DONE]"}\n\n'
    assert scan([event]) == (event, 1, False)


def test_buffer_is_bounded():
    scanner = EventScanner(max_event_bytes=100)
    scanner.feed(b"data: " + b"x" * 90)
    with pytest.raises(EventTooLongError):
        scanner.feed(b"x" * 10)
    assert scanner.buffered_bytes <= 100


def test_end_marker_with_an_id_too_long_for_an_integer_ends_the_stream():
    result = EventScanner().feed(b"id: %s\n%s" % (b"9" * 5000, END_MARKER))
    assert result.is_ended and result.end_number == 0
