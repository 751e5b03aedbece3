"""What one caller has got of its answer."""

from __future__ import annotations

from berylnotch.net.messages import Headers
from berylnotch.net.server import ServerConnection
from berylnotch.util.clock import boot_time
from berylnotch.util.metrics import Label, Metrics


class Reply:
    """The answer to one request, whole or as a stream.

    A stream keeps the head of its first target, and no event is sent twice, however
    many targets it comes from.

    Parameters
    ----------
    connection : ServerConnection
        The caller.
    metrics : Metrics
        Gets the times of events.
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
        self._event_at = 0.0

    @property
    def has_head(self) -> bool:
        """Whether the caller has the head of a stream; nothing else may follow it."""
        return self._has_head

    @property
    def last_event(self) -> int | None:
        """Number of the last event that was sent, None if there was none."""
        return self._last_event

    @property
    def first_event_s(self) -> float:
        """Seconds to the first event of a stream, 0 if there was none."""
        return self._first_event_at - self._started_at if self._first_event_at else 0.0

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than events come."""
        return self._connection.is_congested

    def begin_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a stream, of its first target only."""
        if not self._has_head:
            self._has_head = True
            self._connection.start_stream(status, headers)

    def send_event(self, data: bytes, number: int | None) -> None:
        """Send an event, unless the caller has it already."""
        if number is not None:
            if self._last_event is not None and number <= self._last_event:
                return
            self._last_event = number
        self._observe(boot_time())
        self._connection.send_piece(data)

    def end_stream(self) -> None:
        """End a complete stream."""
        self._connection.end_stream()

    def break_off(self) -> None:
        """End a stream so that the caller sees that it is not complete."""
        self._connection.abort()

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a whole answer."""
        self._connection.respond(status, headers, body)

    def _observe(self, now: float) -> None:
        if not self._first_event_at:
            self._first_event_at = now
            self._metrics.observe(
                "berylnotch_first_event_seconds",
                now - self._started_at,
                Label("route", self._route),
            )
        else:
            self._metrics.observe("berylnotch_event_gap_seconds", now - self._event_at)
        self._event_at = now
