"""Intake of a target's stream, with a limited amount of work for each loop iteration.

A stream of tiny events or comments costs much more time than its bytes suggest. If all
received bytes were processed at once, one such stream would delay all other requests.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from berylnotch.entry.events import MAX_EVENT_BYTES, EventSplitter, StreamEvent
from berylnotch.entry.stream_turns import StreamTurns
from berylnotch.util.loop import Loop

#: Maximum number of events of one stream that are processed in one iteration of the
#: loop.
MAX_EVENTS_PER_TURN = 32

#: Maximum number and size in bytes of the comments between two events. Comments only
#: keep a connection alive.
MAX_COMMENTS, MAX_COMMENT_BYTES = 500, 8 * 1024

#: Factor and offset of the largest number of events, from the number of output tokens
#: that the caller allows. An event has one token or more, but servers may add others.
EVENTS_PER_TOKEN, ADDITIONAL_EVENTS = 2, 1000


class StreamIntake:
    """Splits received bytes into events, and checks that they are a stream.

    Parameters
    ----------
    loop : Loop
        Event loop that delivers the bytes.
    turns : StreamTurns
        Order in which the streams of this loop are continued.
    output_tokens : int
        Largest number of tokens that the caller allows, 0 if it is not stated.
    on_events : callable
        Called with the events that a part of the bytes completes. It may call `close`.
    set_paused : callable
        Called with whether the source has to pause.
    """

    def __init__(
        self,
        loop: Loop,
        turns: StreamTurns,
        output_tokens: int,
        on_events: Callable[[Iterable[StreamEvent]], None],
        set_paused: Callable[[bool], None],
    ) -> None:
        self._loop = loop
        self._turns = turns
        self._on_events = on_events
        self._set_paused = set_paused
        self._max_events = EVENTS_PER_TOKEN * output_tokens + ADDITIONAL_EVENTS
        self._is_counted = output_tokens > 0
        self._splitter = EventSplitter()
        self._turn = -1
        self._turn_events = 0
        self._is_scheduled = False
        self._is_closed = False
        self._event_count = 0
        self._comment_count = self._comment_bytes = 0
        self._on_processed: Callable[[], None] | None = None

    @property
    def tail(self) -> bytes:
        """Bytes of the last, incomplete event."""
        return self._splitter.tail

    @property
    def held_bytes(self) -> int:
        """Number of received bytes that have not become events."""
        return self._splitter.held_bytes

    @property
    def event_count(self) -> int:
        """Number of events that show progress of the run."""
        return self._event_count

    @property
    def problem(self) -> str:
        """Why the bytes are not a stream, empty if they may be one."""
        if self._comment_count > MAX_COMMENTS:
            return f"over {MAX_COMMENTS} comments without an event"
        if self._comment_bytes > MAX_COMMENT_BYTES:
            return f"over {MAX_COMMENT_BYTES} bytes of comments without an event"
        if self._is_counted and self._event_count > self._max_events:
            return f"over {self._max_events} events"
        if self._splitter.held_bytes > MAX_EVENT_BYTES:
            return f"event exceeds {MAX_EVENT_BYTES} bytes"
        return ""

    def feed(self, data: bytes) -> None:
        """Add received bytes, and process as many events as this iteration allows."""
        if self._turn != self._loop.turn:
            self._turn, self._turn_events = self._loop.turn, 0
        self._splitter.add(data)
        self._process()

    def call_when_processed(self, call: Callable[[], None]) -> bool:
        """Schedule a call for when all received events are processed.

        Returns
        -------
        bool
            Whether events are left; if none are, the call is not made.
        """
        if self._splitter.has_event and not self._is_closed:
            self._on_processed = call
            return True
        return False

    def count(self, event: StreamEvent) -> None:
        """Count an event or a comment."""
        if event.is_progress:
            self._event_count += 1
            self._comment_count = self._comment_bytes = 0
        else:
            self._comment_count += 1
            self._comment_bytes += len(event.data)

    def close(self) -> None:
        """Drop what is left."""
        self._is_closed = True

    def _process(self) -> None:
        events = self._splitter.take(MAX_EVENTS_PER_TURN - self._turn_events)
        self._turn_events += len(events)
        self._on_events(events)
        if not self._is_closed and self._splitter.has_event and not self._is_scheduled:
            self._is_scheduled = True
            self._set_paused(True)
            self._turns.add(self._continue)

    def _continue(self) -> None:
        if self._turn == self._loop.turn and not self._is_closed:
            # Bytes that came in this iteration have used up its limit.
            self._turns.add(self._continue)
            return
        self._is_scheduled = False
        if self._is_closed:
            return
        self._turn, self._turn_events = self._loop.turn, 0
        self._process()
        if self._is_closed or self._splitter.has_event:
            return
        self._set_paused(False)
        on_processed, self._on_processed = self._on_processed, None
        if on_processed is not None:
            on_processed()
