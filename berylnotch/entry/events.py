"""Splits a server-sent event stream into whole events with unchanged bytes."""

from __future__ import annotations

import re

from attrs import frozen

#: Maximum size, in bytes, of an incomplete event that is buffered.
MAX_EVENT_BYTES = 1024 * 1024

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_BOUNDARY_BYTES = 4
_DATA = re.compile(rb"(?:\A|\n)data[:\r\n]")
_STATUS_LINE = re.compile(rb"\s*HTTP/\d")
_ID = re.compile(rb"(?:\A|\n)id:[ \t]*(\d{1,18})(?!\d)")


@frozen
class StreamEvent:
    """An event of a stream.

    Parameters
    ----------
    data : bytes
        Unchanged bytes of the event with its boundary.
    number : int or None
        Numeric ``id`` field of the event, None without such a field.
    """

    data: bytes
    number: int | None

    @property
    def is_progress(self) -> bool:
        """Whether the event has an id or data, so that it is not only a comment."""
        return self.number is not None or _DATA.search(self.data) is not None

    @property
    def is_response_head(self) -> bool:
        """Whether the bytes are the head of an HTTP response instead of an event."""
        return _STATUS_LINE.match(self.data) is not None


class EventSplitter:
    """Splits a stream into events, however the network splits the bytes."""

    def __init__(self) -> None:
        self._tail = b""

    @property
    def tail(self) -> bytes:
        """Bytes of the last, still incomplete event."""
        return self._tail

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes, and return the events that they complete."""
        # The bytes of earlier calls hold no whole boundary, but may end with its start.
        search_from = max(0, len(self._tail) - _BOUNDARY_BYTES)
        self._tail += data
        events = []
        start = 0
        for match in _BOUNDARY.finditer(self._tail, search_from):
            event_data = self._tail[start : match.end()]
            id_match = _ID.search(event_data)
            events.append(
                StreamEvent(event_data, int(id_match[1]) if id_match else None)
            )
            start = match.end()
        self._tail = self._tail[start:]
        return events
