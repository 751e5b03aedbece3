"""Confirmation that all routers know of the targets that were lost with a request."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylnotch.control.view import View
    from berylnotch.util.loop import Loop

#: Interval in seconds between checks of the views' versions.
CHECK_INTERVAL_S = 0.01


class LossConfirmation:
    """Waits until all live routers know that targets were lost with a request.

    A caller may repeat a failed request at another router at once. Without a
    confirmation, that router could run a request that has already crashed as many
    targets as it may.

    Parameters
    ----------
    loop : Loop
        Event loop of the router.
    view : View
        View of this router.
    shared_version : callable
        Returns the version that the views of all live routers have reached, as far as
        the leader reported it to this router.
    send_heartbeat_soon : callable
        Sends the next heartbeat early; its answer has a newer shared version.
    """

    def __init__(
        self,
        loop: Loop,
        view: View,
        shared_version: Callable[[], int],
        send_heartbeat_soon: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._view = view
        self._shared_version = shared_version
        self._send_heartbeat_soon = send_heartbeat_soon

    def confirm(
        self,
        fingerprint: bytes,
        targets: Collection[str],
        deadline: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Call a function once all live routers know of the losses.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.
        targets : collection of str
            Targets whose loss this router has reported.
        deadline : float
            Monotonic time in seconds at which the function is called in any case.
        on_done : callable
            Called in the loop's thread. Its argument tells whether all live routers
            know of the losses.
        """
        now_ms = int(time.time() * 1000)
        if self._view.targets_lost_with(fingerprint, now_ms).issuperset(targets):
            self._await_version(self._view.version, deadline, on_done)
        elif time.monotonic() >= deadline:
            on_done(False)
        else:
            self._loop.call_later(
                CHECK_INTERVAL_S,
                lambda: self.confirm(fingerprint, targets, deadline, on_done),
            )

    def _await_version(
        self, version: int, deadline: float, on_done: Callable[[bool], None]
    ) -> None:
        if self._shared_version() >= version:
            on_done(True)
        elif time.monotonic() >= deadline:
            on_done(False)
        else:
            self._send_heartbeat_soon()
            self._loop.call_later(
                CHECK_INTERVAL_S,
                lambda: self._await_version(version, deadline, on_done),
            )
