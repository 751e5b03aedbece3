"""Answer of one attempt: a stream of events or a whole body."""

from __future__ import annotations

from attrs import frozen

from berylnotch.streams.actions import RunMark, SendBytes, SendHead
from berylnotch.streams.inputs import ExchangeSettings, ResponseHead
from berylnotch.streams.scanner import EventScanner
from berylnotch.streams.sequence import EventSequence, Numbered

#: Last event of a stream.
END_MARKER = b"data: [DONE]\n\n"

_NO_EVENTS = Numbered(b"", 0)


class StreamAnswer:
    """Events of one attempt, continued in the exchange's sequence.

    Attributes
    ----------
    is_ended : bool
        Whether the end marker has been seen.
    """

    __slots__ = ("_scanner", "_sequence", "is_ended")

    def __init__(self, settings: ExchangeSettings, sequence: EventSequence) -> None:
        self._scanner = EventScanner(settings.max_event_bytes)
        self._sequence = sequence
        self.is_ended = False

    @property
    def buffered(self) -> int:
        """Bytes of the event that isn't whole yet."""
        return self._scanner.buffered

    def feed(self, data: bytes) -> Numbered:
        """Return the new events of a chunk; raises `StreamError`."""
        result = self._scanner.feed(data)
        self.is_ended = result.ended
        if not result.events and not result.end_number:
            return _NO_EVENTS
        return self._sequence.take(result.complete, result.events, result.end_number)


class WholeAnswer:
    """Body of one attempt, buffered until it is complete."""

    __slots__ = ("_length", "_max_bytes", "_parts", "head")

    def __init__(self, settings: ExchangeSettings, head: ResponseHead) -> None:
        self.head = head
        self._max_bytes = settings.max_answer_bytes
        self._parts: list[bytes] = []
        self._length = 0

    @property
    def buffered(self) -> int:
        """Bytes buffered."""
        return self._length

    def feed(self, data: bytes) -> bool:
        """Buffer a chunk; return False if the answer is too long for that."""
        if self._length + len(data) > self._max_bytes:
            return False
        self._length += len(data)
        self._parts.append(data)
        return True

    def body(self) -> bytes:
        """Return the body so far."""
        return b"".join(self._parts)


@frozen
class KeptAnswer:
    """A complete answer that isn't a stream."""

    head: ResponseHead
    body: bytes

    def actions(self, mark: RunMark) -> tuple[SendHead | SendBytes, ...]:
        """Return what sends the answer to the caller."""
        head = self.head
        send_head = SendHead(head.status, head.headers, mark, len(self.body))
        return (send_head, SendBytes(self.body, 0)) if self.body else (send_head,)
