"""Scanner that splits a byte stream into complete server-sent events."""

from __future__ import annotations

import re

from attrs import define

from berylnotch.streams.errors import EventTooLongError

#: Longest event accepted, in bytes.
MAX_EVENT_BYTES = 1024 * 1024

_BOUNDARY = b"\n\n"
_END_MARKER_TEXT = b"[DONE]"
_END_MARKER_EVENT = re.compile(rb"(?:\A|(?<=\n))data: ?\[DONE\]\n\n")
_END_MARKER_ID = re.compile(rb"(?:\A|\n)id: ?(\d{1,18})\n")
_EXTRA_BLANK_LINES = re.compile(rb"\n{3,}")


@define(slots=True, eq=False)
class ScanResult:
    """Events that one chunk of bytes completed.

    Attributes
    ----------
    complete : bytes
        Complete events with line feeds as line ends, without the end marker.
    events : int
        Number of events in ``complete``.
    is_ended : bool
        Whether the end marker has been seen, in this chunk or an earlier one.
    end_number : int
        Event number of the end marker; 0 if the marker has no number or has not been
        seen.
    """

    complete: bytes
    events: int
    is_ended: bool
    end_number: int = 0


class EventScanner:
    """Splits a byte stream into complete events.

    The events do not depend on the chunk boundaries. Bytes after the end marker
    are dropped.

    Parameters
    ----------
    max_event_bytes : int, default=MAX_EVENT_BYTES
        Largest number of bytes buffered for an incomplete event.
    """

    __slots__ = (
        "_end_number",
        "_is_ended",
        "_has_pending_cr",
        "_max_event_bytes",
        "_tail",
    )

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self._max_event_bytes = max_event_bytes
        self._tail = b""
        self._has_pending_cr = False
        self._is_ended = False
        self._end_number = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes of the incomplete event."""
        return len(self._tail)

    @property
    def is_ended(self) -> bool:
        """Whether the end marker has been seen."""
        return self._is_ended

    def feed(self, data: bytes) -> ScanResult:
        """Process a chunk and return the events that it completes.

        Raises
        ------
        EventTooLongError
            If an incomplete event exceeds ``max_event_bytes``.
        """
        if self._is_ended:
            return ScanResult(b"", 0, True, self._end_number)
        if self._has_pending_cr or b"\r" in data:
            data = self._normalise_line_ends(data)
        if self._tail:
            data = self._tail + data
        if data[:1] == b"\n":
            data = data.lstrip(b"\n")
        complete_length = data.rfind(_BOUNDARY) + 2
        if complete_length < 2:
            self._buffer_tail(data)
            return ScanResult(b"", 0, False)
        complete = data
        if complete_length < len(data):
            complete = data[:complete_length]
        self._buffer_tail(data[complete_length:])
        if b"\n\n\n" in complete:
            complete = _EXTRA_BLANK_LINES.sub(_BOUNDARY, complete)
        if _END_MARKER_TEXT in complete:
            complete = self._truncate_at_end_marker(complete)
        events = complete.count(_BOUNDARY)
        return ScanResult(complete, events, self._is_ended, self._end_number)

    def _buffer_tail(self, tail: bytes) -> None:
        if len(tail) > self._max_event_bytes:
            raise EventTooLongError(
                f"event exceeds the limit of {self._max_event_bytes} bytes"
            )
        self._tail = tail

    def _normalise_line_ends(self, data: bytes) -> bytes:
        if self._has_pending_cr:
            data = b"\r" + data
        # A carriage return at the end may be the first half of a CRLF line end.
        self._has_pending_cr = data.endswith(b"\r")
        if self._has_pending_cr:
            data = data[:-1]
        return data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")

    def _truncate_at_end_marker(self, complete: bytes) -> bytes:
        match = _END_MARKER_EVENT.search(complete)
        if match is None:
            return complete
        self._is_ended = True
        self._tail = b""
        marker_start = complete.rfind(_BOUNDARY, 0, match.start()) + 2
        if marker_start < 2:
            marker_start = 0
        id_match = _END_MARKER_ID.search(complete[marker_start : match.start()])
        if id_match is not None:
            self._end_number = int(id_match.group(1))
        return complete[:marker_start]
