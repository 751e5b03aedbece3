"""Numbers of a stream's events: checked against gaps and written for the caller."""

from __future__ import annotations

import re

from attrs import define

from berylnotch.streams.errors import SequenceError

_BOUNDARY = b"\n\n"
_ID_FIELD = b"id: "
# A literal beginning is searched for several times faster than an alternation.
_EVENT_ID = re.compile(rb"\n\nid: (\d+)\n")
_ID_LINE = re.compile(rb"(?:\A|\n)id: ?(\d+)(?=\n|\Z)")


@define(slots=True, eq=False)
class Numbered:
    """Events ready for the caller.

    Attributes
    ----------
    data : bytes
        Whole events with the caller's ids.
    events : int
        Number of events in ``data``.
    """

    data: bytes
    events: int


class EventSequence:
    """Checks that events are continuous and gives them the caller's ids.

    Events with a number that was already delivered and comments are dropped.

    Parameters
    ----------
    base : str
        First part of the caller's ids; with an empty base the ids stay as the
        engine wrote them.
    position : int, default=0
        Number of the last event that the caller has.
    """

    __slots__ = ("_base", "_position")

    def __init__(self, base: str, position: int = 0) -> None:
        self._base = f"{base}.".encode() if base else b""
        self._position = position

    @property
    def position(self) -> int:
        """Number of the last event passed on."""
        return self._position

    def set_base(self, base: str) -> None:
        """Set the first part of the ids of the events that follow."""
        self._base = f"{base}.".encode()

    def take(self, data: bytes, events: int, end_number: int = 0) -> Numbered:
        """Pass whole events on.

        Parameters
        ----------
        data : bytes
            Whole events.
        events : int
            How many.
        end_number : int, default=0
            Number of the end marker that follows them; 0 if it has none.

        Raises
        ------
        SequenceError
            If an event is missing or has no number. None of ``data`` is taken
            then, so that events before the gap are asked for again.
        """
        first = self._position + 1
        if events == 1:
            continuous = data.startswith(b"id: %d\n" % first)
        else:
            numbers = _EVENT_ID.findall(_BOUNDARY + data)
            continuous = len(numbers) == events and numbers == [
                b"%d" % n for n in range(first, first + events)
            ]
        if not continuous:
            return self._take_each(data, end_number)
        _check_end(self._position + events, end_number)
        self._position += events
        return Numbered(self._with_base(data), events)

    def _with_base(self, data: bytes) -> bytes:
        if not self._base or not data:
            return data
        # A line feed can't stand in the JSON of an event, so that this only
        # meets id fields.
        start = _ID_FIELD + self._base
        rest = data[len(_ID_FIELD) :]
        return start + rest.replace(_BOUNDARY + _ID_FIELD, _BOUNDARY + start)

    def _take_each(self, data: bytes, end_number: int) -> Numbered:
        position = self._position
        kept = []
        for event in data.split(_BOUNDARY)[:-1]:
            if event.startswith(b":") and b"\n" not in event:
                continue
            number = _event_number(event)
            if number <= position:
                continue
            if number != position + 1:
                raise SequenceError(f"event {number} came after event {position}")
            position = number
            kept.append(self._rewrite(number, event))
        _check_end(position, end_number)
        self._position = position
        return Numbered(b"".join(kept), len(kept))

    def _rewrite(self, number: int, event: bytes) -> bytes:
        fields = [line for line in event.split(b"\n") if not line.startswith(b"id:")]
        return b"id: %b%d\n%b\n\n" % (self._base, number, b"\n".join(fields))


def _check_end(position: int, end_number: int) -> None:
    if end_number > position + 1:
        raise SequenceError(f"end {end_number} came after event {position}")


def _event_number(event: bytes) -> int:
    match = _ID_LINE.search(event)
    if match is None:
        raise SequenceError("event without a number")
    return int(match.group(1))
