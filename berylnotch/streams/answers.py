"""Response of one attempt: a stream of events or a buffered body."""

from __future__ import annotations

from attrs import frozen

from berylnotch.streams.actions import RunStatus, SendBytes, SendHead
from berylnotch.streams.inputs import ExchangeSettings, ResponseHead
from berylnotch.streams.scanner import EventScanner
from berylnotch.streams.sequence import EventSequence, NumberedEvents

#: Event that marks the end of a stream.
END_MARKER = b"data: [DONE]\n\n"

_NO_EVENTS = NumberedEvents(b"", 0)


class StreamedResponse:
    """Streamed response of one attempt; continues the exchange's event sequence.

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
    def buffered_bytes(self) -> int:
        """Number of buffered bytes of the incomplete event."""
        return self._scanner.buffered_bytes

    def feed(self, data: bytes) -> NumberedEvents:
        """Return the new events that a chunk completes; raises `StreamError`."""
        result = self._scanner.feed(data)
        self.is_ended = result.is_ended
        if not result.events and not result.end_number:
            return _NO_EVENTS
        return self._sequence.rewrite_ids(
            result.complete, result.events, result.end_number
        )


class BufferedResponse:
    """Response of one attempt whose body is buffered until it is complete."""

    __slots__ = ("_buffered_bytes", "_max_bytes", "_chunks", "head")

    def __init__(self, settings: ExchangeSettings, head: ResponseHead) -> None:
        self.head = head
        self._max_bytes = settings.max_answer_bytes
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes of the body."""
        return self._buffered_bytes

    def feed(self, data: bytes) -> bool:
        """Buffer a chunk; return False if the body would exceed the size limit."""
        if self._buffered_bytes + len(data) > self._max_bytes:
            return False
        self._buffered_bytes += len(data)
        self._chunks.append(data)
        return True

    def body(self) -> bytes:
        """Return the bytes of the body received so far."""
        return b"".join(self._chunks)


@frozen
class CompleteResponse:
    """Complete response that is not a stream of events."""

    head: ResponseHead
    body: bytes

    def delivery_actions(
        self, run_status: RunStatus
    ) -> tuple[SendHead | SendBytes, ...]:
        """Return the actions that send the response to the caller."""
        head = self.head
        send_head = SendHead(head.status, head.headers, run_status, len(self.body))
        return (send_head, SendBytes(self.body, 0)) if self.body else (send_head,)
