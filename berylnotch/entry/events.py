"""Splits a server-sent event stream into whole events with unchanged bytes."""

from __future__ import annotations

import re

from attrs import frozen

#: Maximum size, in bytes, of an incomplete event that is buffered.
MAX_EVENT_BYTES = 1024 * 1024

#: End of an event: an empty line, without the CR that may precede its first LF. With an
#: optional first byte, the search takes 21 ms for 1 MiB without a boundary instead of
#: 1.8 ms.
_BOUNDARY = re.compile(rb"\n\r?\n")
_BOUNDARY_BYTES = 3
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
        self._buffer = bytearray()
        #: Position before which no boundary begins.
        self._searched = 0
        self._has_event = False

    @property
    def tail(self) -> bytes:
        """Bytes after the last event that was taken."""
        return bytes(self._buffer)

    @property
    def held_bytes(self) -> int:
        """Number of bytes after the last event that was taken."""
        return len(self._buffer)

    @property
    def has_event(self) -> bool:
        """Whether a whole event may be left."""
        return self._has_event

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data
        self._has_event = True

    def take(self, max_count: int) -> list[StreamEvent]:
        """Remove and return the first events that are complete, up to a number."""
        events = []
        while len(events) < max_count:
            match = _BOUNDARY.search(self._buffer, self._searched)
            if match is None:
                # The end may be the begin of a boundary.
                self._searched = max(0, len(self._buffer) - _BOUNDARY_BYTES)
                self._has_event = False
                break
            data = bytes(self._buffer[: match.end()])
            del self._buffer[: match.end()]
            self._searched = 0
            id_match = _ID.search(data)
            events.append(StreamEvent(data, int(id_match[1]) if id_match else None))
        return events
