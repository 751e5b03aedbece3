"""Wait of one request for an engine with room."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.entry.admission import token_wait_s
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.entry.targets import Target
from berylnotch.util.clock import boot_time

if TYPE_CHECKING:
    from berylnotch.entry.context import EntryContext


class RoomWait:
    """Lets one request wait, as long as its answer can still be in time.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    send : callable
        Chooses a target again and sends the request.
    """

    def __init__(
        self, context: EntryContext, routed: RoutedRequest, send: Callable[[], None]
    ) -> None:
        self._context = context
        self._routed = routed
        self._send = send
        self._began_at: float | None = None

    def begin(self, target: Target, remaining_s: float) -> bool:
        """Return whether the request waits, because its best target has no room.

        Parameters
        ----------
        target : Target
            Best target at present.
        remaining_s : float
            Time until the request's deadline, in seconds.
        """
        now, capacity = boot_time(), self._context.capacity
        latency_s = self._routed.route.target_latency_s
        expires_at = self._routed.request.received_at + token_wait_s(
            latency_s, remaining_s
        )
        if now < expires_at and capacity.must_wait(target):
            if self._began_at is None:
                self._began_at = now
            priority = self._routed.priority
            capacity.wait(target.listed.service, priority, expires_at, self._send)
            return True
        if self._began_at is not None:
            self._context.metrics.observe(
                "berylnotch_room_wait_seconds", now - self._began_at
            )
            self._began_at = None
        return False
