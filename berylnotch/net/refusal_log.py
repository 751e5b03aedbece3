"""Bounded log of requests that are refused, and of connections closed, unread."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.util.clock import boot_time
from berylnotch.util.metrics import Label, Metrics

#: Maximum number of lines per second. Hostile clients can cause thousands of refusals
#: per second, and warnings are not sampled.
MAX_LINES_PER_S = 10


class RefusalLog:
    """Counts refusals, and logs the first ones of each second.

    Parameters
    ----------
    warn : callable
        Writes a line to the log, with an event and its fields.
    metrics : Metrics
        Metrics of the process.
    event : str
        Name of the event of each line.
    """

    def __init__(self, warn: Callable[..., None], metrics: Metrics, event: str) -> None:
        self._warn, self._metrics, self._event = warn, metrics, event
        self._second = 0
        self._line_count = 0
        self._omitted_count = 0

    def record(self, status: int, reason: str, client: str) -> None:
        """Count a refusal, and log it unless there were many in this second.

        Parameters
        ----------
        status : int
            Status of the response; 0 if the connection was closed without one.
        reason : str
            Reason of the refusal.
        client : str
            IP address of the client.
        """
        self._metrics.count(
            "berylnotch_unreadable_requests_total", Label("status", str(status))
        )
        second = int(boot_time())
        if second != self._second:
            self._second, self._line_count = second, 0
        if self._line_count >= MAX_LINES_PER_S:
            self._omitted_count += 1
            return
        self._line_count += 1
        omitted_count, self._omitted_count = self._omitted_count, 0
        self._warn(
            self._event,
            status=status,
            reason=reason,
            client=client,
            omitted=omitted_count,
        )
