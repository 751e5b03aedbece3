"""Whole server-sent events out of a byte stream, found by scanning."""

from __future__ import annotations

import re

from attrs import define

from berylnotch.streams.errors import EventTooLongError

#: Longest event accepted, in bytes.
MAX_EVENT_BYTES = 1024 * 1024

_BOUNDARY = b"\n\n"
_END_TEXT = b"[DONE]"
_END_EVENT = re.compile(rb"(?:\A|(?<=\n))data: ?\[DONE\]\n\n")
_END_ID = re.compile(rb"(?:\A|\n)id: ?(\d+)\n")
_EXTRA_BLANK_LINES = re.compile(rb"\n{3,}")


@define(slots=True, eq=False)
class ScanResult:
    """What one chunk of bytes completed.

    Attributes
    ----------
    complete : bytes
        Whole events with line feeds as line ends, without the end marker.
    events : int
        Number of events in ``complete``.
    ended : bool
        Whether the end marker has been seen, in this chunk or an earlier one.
    end_number : int
        Number that the end marker carries; 0 if it has none or wasn't seen.
    """

    complete: bytes
    events: int
    ended: bool
    end_number: int = 0


class EventScanner:
    """Cuts a byte stream into whole events.

    The events of a stream don't depend on how it was cut into chunks. Bytes
    after the end marker are dropped.

    Parameters
    ----------
    max_event_bytes : int, default=MAX_EVENT_BYTES
        Bound of the buffer for an event that isn't whole yet.
    """

    __slots__ = ("_end_number", "_ended", "_held_return", "_max_event_bytes", "_tail")

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._tail = b""
        self._held_return = False
        self._ended = False
        self._end_number = 0

    @property
    def buffered(self) -> int:
        """Bytes of the event that isn't whole yet."""
        return len(self._tail)

    @property
    def ended(self) -> bool:
        """Whether the end marker has been seen."""
        return self._ended

    def feed(self, data: bytes) -> ScanResult:
        """Take a chunk and return the events that it completes.

        Raises
        ------
        EventTooLongError
            If an event exceeds the bound.
        """
        if self._ended:
            return ScanResult(b"", 0, True, self._end_number)
        if self._held_return or b"\r" in data:
            data = self._normalise(data)
        if self._tail:
            data = self._tail + data
        if data[:1] == b"\n":
            data = data.lstrip(b"\n")
        cut = data.rfind(_BOUNDARY) + 2
        if cut < 2:
            self._keep(data)
            return ScanResult(b"", 0, False)
        complete = data
        if cut < len(data):
            complete = data[:cut]
        self._keep(data[cut:])
        if b"\n\n\n" in complete:
            complete = _EXTRA_BLANK_LINES.sub(_BOUNDARY, complete)
        if _END_TEXT in complete:
            complete = self._cut_at_end(complete)
        events = complete.count(_BOUNDARY)
        return ScanResult(complete, events, self._ended, self._end_number)

    def _keep(self, tail: bytes) -> None:
        if len(tail) > self._max_event_bytes:
            raise EventTooLongError(f"event exceeds {self._max_event_bytes} bytes")
        self._tail = tail

    def _normalise(self, data: bytes) -> bytes:
        if self._held_return:
            data = b"\r" + data
        # A return at the end may be the first half of a line end.
        self._held_return = data.endswith(b"\r")
        if self._held_return:
            data = data[:-1]
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")

    def _cut_at_end(self, complete: bytes) -> bytes:
        match = _END_EVENT.search(complete)
        if match is None:
            return complete
        self._ended = True
        self._tail = b""
        cut = complete.rfind(_BOUNDARY, 0, match.start()) + 2
        if cut < 2:
            cut = 0
        number = _END_ID.search(complete[cut : match.start()])
        if number is not None:
            self._end_number = int(number.group(1))
        return complete[:cut]
