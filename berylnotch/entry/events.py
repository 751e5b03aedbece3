"""Whole events out of a stream's bytes, which are handed on unchanged."""

from __future__ import annotations

import re

from attrs import frozen

#: Largest event that is held back until it is whole, in bytes.
MAX_EVENT_BYTES = 1024 * 1024

_BOUNDARY = re.compile(rb"\r?\n\r?\n")
_BOUNDARY_BYTES = 4
_DATA = re.compile(rb"(?:\A|\n)data[:\r\n]")
_ID = re.compile(rb"(?:\A|\n)id:[ \t]*(\d+)")


@frozen
class StreamEvent:
    """An event as it came, and its number, or None if it has none."""

    data: bytes
    number: int | None

    @property
    def is_progress(self) -> bool:
        """Whether it holds something for the caller, not a comment alone."""
        return self.number is not None or _DATA.search(self.data) is not None


class EventSplitter:
    """Cuts a stream into events, however its bytes were cut before."""

    def __init__(self) -> None:
        self._tail = b""

    @property
    def tail(self) -> bytes:
        """Bytes of an event that is not yet whole."""
        return self._tail

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that these bytes complete."""
        # A boundary may have begun in the bytes before, which hold no whole one.
        searched = max(0, len(self._tail) - _BOUNDARY_BYTES)
        self._tail += data
        events = []
        start = 0
        for match in _BOUNDARY.finditer(self._tail, searched):
            part = self._tail[start : match.end()]
            found = _ID.search(part)
            events.append(StreamEvent(part, int(found[1]) if found else None))
            start = match.end()
        self._tail = self._tail[start:]
        return events
