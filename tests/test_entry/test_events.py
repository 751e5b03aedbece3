"""Events are cut out of a stream without changing a byte."""

from hypothesis import given
from hypothesis import strategies as st

from berylnotch.entry.events import EventSplitter

EVENTS = [
    b"id: 1\ndata: a\n\n",
    b"id: 2\ndata: b\r\n\r\n",
    b"versions: 3\nid: 30\ndata: c\n\n",
    b": comment\n\n",
]


@given(st.lists(st.integers(1, 12), min_size=1, max_size=40))
def test_any_cut_gives_the_same_events(sizes):
    data, splitter, events = b"".join(EVENTS), EventSplitter(), []
    position = 0
    for size in sizes:
        events += splitter.feed(data[position : position + size])
        position += size
    events += splitter.feed(data[position:])
    assert b"".join(event.data for event in events) + splitter.tail == data
    assert [event.number for event in events] == [1, 2, 30, None]


def test_an_event_that_is_not_whole_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.tail == b"id: 1\ndata: a\n"
