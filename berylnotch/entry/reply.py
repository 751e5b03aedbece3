"""Sends the answer to one request to its caller."""

from __future__ import annotations

from berylnotch.net.messages import Headers
from berylnotch.net.response_memory import HeldResponse
from berylnotch.net.server import ServerConnection
from berylnotch.util.clock import boot_time
from berylnotch.util.metrics import Label, Metrics


class Reply:
    """Answer to one request, either whole or as a stream.

    Several targets may contribute to a stream. The caller receives only the head that
    the first of them sent, and each numbered event once.

    Parameters
    ----------
    connection : ServerConnection
        Connection to the caller.
    metrics : Metrics
        Metrics that record the times of events.
    route : str
        Name of the request's route.
    started_at : float
        Boot time at which the request was received.
    """

    def __init__(
        self,
        connection: ServerConnection,
        metrics: Metrics,
        route: str,
        started_at: float,
    ) -> None:
        self._connection = connection
        self._metrics = metrics
        self._route = route
        self._started_at = started_at
        self._has_head = False
        self._last_event: int | None = None
        self._first_event_at = 0.0
        self._last_event_at = 0.0

    @property
    def has_head(self) -> bool:
        """Whether the head of a stream was sent, so that no other answer may follow."""
        return self._has_head

    @property
    def last_event(self) -> int | None:
        """Number of the last numbered event that was sent, None before the first."""
        return self._last_event

    @property
    def first_event_s(self) -> float:
        """Seconds from the request to the first event of its stream, 0 before it."""
        return self._first_event_at - self._started_at if self._first_event_at else 0.0

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than events arrive."""
        return self._connection.is_congested

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a stream; only the first call has an effect."""
        if not self._has_head:
            self._has_head = True
            self._connection.start_stream(status, headers)

    def send_event(self, data: bytes, number: int | None) -> None:
        """Send an event, unless the caller has received it already."""
        if number is not None:
            if self._last_event is not None and number <= self._last_event:
                return
            self._last_event = number
        self._observe_event(boot_time())
        self._connection.send_chunk(data)

    def end_stream(self) -> None:
        """End a complete stream."""
        self._connection.end_stream()

    def break_off(self) -> None:
        """End a stream early, so that the caller sees that it is incomplete."""
        self._connection.break_off()

    def respond(
        self,
        status: int,
        headers: Headers,
        body: bytes | bytearray = b"",
        held: HeldResponse | None = None,
    ) -> None:
        """Send a whole answer, and free its memory once the caller has taken it."""
        if held is None:
            self._connection.respond(status, headers, body)
            return
        self._connection.respond(status, headers, body, on_sent=held.close)

    def _observe_event(self, now: float) -> None:
        if not self._first_event_at:
            self._first_event_at = now
            self._metrics.observe(
                "berylnotch_first_event_seconds",
                now - self._started_at,
                Label("route", self._route),
            )
        else:
            self._metrics.observe(
                "berylnotch_event_gap_seconds", now - self._last_event_at
            )
        self._last_event_at = now
