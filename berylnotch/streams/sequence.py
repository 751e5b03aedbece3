"""Detection of gaps in a stream's event numbers, and rewriting of event ids."""

from __future__ import annotations

import re

from attrs import define

from berylnotch.streams.errors import SequenceError

_BOUNDARY = b"\n\n"
_ID_FIELD = b"id: "
# The pattern begins with a literal, because a search for a pattern that begins with
# an alternation is several times slower.
_EVENT_ID = re.compile(rb"\n\nid: (\d+)\n")
_ID_LINE = re.compile(rb"(?:\A|\n)id: ?(\d{1,18})(?=\n|\Z)")


@define(slots=True, eq=False)
class NumberedEvents:
    """Events with the ids that are sent to the caller.

    Attributes
    ----------
    data : bytes
        Complete events with the caller's ids.
    events : int
        Number of events in ``data``.
    """

    data: bytes
    events: int


class EventSequence:
    """Checks that event numbers have no gaps and rewrites ids for the caller.

    Events whose number was already delivered are dropped, and so are comments.

    Parameters
    ----------
    base : str
        Signed base of the caller's ids, as returned by `reference.sign_base`. If it
        is empty, the ids of the engine are kept.
    position : int, default=0
        Number of the last event that the caller has received.
    """

    __slots__ = ("_base", "_position")

    def __init__(self, base: str, position: int = 0) -> None:
        self._base = f"{base}.".encode() if base else b""
        self._position = position

    @property
    def position(self) -> int:
        """Number of the last event that was passed on to the caller."""
        return self._position

    def set_base(self, base: str) -> None:
        """Set the base of the ids of all following events."""
        self._base = f"{base}.".encode()

    def rewrite_ids(
        self, data: bytes, events: int, end_number: int = 0
    ) -> NumberedEvents:
        """Check the numbers of complete events and rewrite their ids.

        Parameters
        ----------
        data : bytes
            Complete events.
        events : int
            Number of events in ``data``.
        end_number : int, default=0
            Number of the end marker after the events; 0 without a numbered marker.

        Raises
        ------
        SequenceError
            If an event is missing or has no number. The position stays unchanged in
            this case, so that the events before the gap are requested again.
        """
        first_number = self._position + 1
        if events == 1:
            is_continuous = data.startswith(b"id: %d\n" % first_number)
        else:
            numbers = _EVENT_ID.findall(_BOUNDARY + data)
            is_continuous = len(numbers) == events and numbers == [
                b"%d" % n for n in range(first_number, first_number + events)
            ]
        if not is_continuous:
            return self._rewrite_each(data, end_number)
        _check_end_number(self._position + events, end_number)
        self._position += events
        return NumberedEvents(self._replace_bases(data), events)

    def _replace_bases(self, data: bytes) -> bytes:
        if not self._base or not data:
            return data
        # JSON contains no raw line feed, so the separator followed by "id: " can only
        # be the start of the next event.
        id_field = _ID_FIELD + self._base
        remaining_data = data[len(_ID_FIELD) :]
        return id_field + remaining_data.replace(
            _BOUNDARY + _ID_FIELD, _BOUNDARY + id_field
        )

    def _rewrite_each(self, data: bytes, end_number: int) -> NumberedEvents:
        position = self._position
        rewritten = []
        for event in data.split(_BOUNDARY)[:-1]:
            if event.startswith(b":") and b"\n" not in event:
                continue
            number = _event_number(event)
            if number <= position:
                continue
            if number != position + 1:
                raise SequenceError(
                    f"gap in the stream: event {number} follows event {position}"
                )
            position = number
            rewritten.append(self._rewrite_id(number, event))
        _check_end_number(position, end_number)
        self._position = position
        return NumberedEvents(b"".join(rewritten), len(rewritten))

    def _rewrite_id(self, number: int, event: bytes) -> bytes:
        fields = [line for line in event.split(b"\n") if not line.startswith(b"id:")]
        return b"id: %b%d\n%b\n\n" % (self._base, number, b"\n".join(fields))


def _check_end_number(position: int, end_number: int) -> None:
    if end_number > position + 1:
        raise SequenceError(
            f"gap in the stream: end marker {end_number} follows event {position}"
        )


def _event_number(event: bytes) -> int:
    match = _ID_LINE.search(event)
    if match is None:
        raise SequenceError("event has no id field with a number")
    return int(match.group(1))
