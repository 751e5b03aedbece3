"""Action that runs once for all calls within a pause after the first of them."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.util.loop import Loop, Timer


class CoalescedAction:
    """An action that is due some time after the first call for it.

    Parameters
    ----------
    loop : Loop
        Event loop that runs the action.
    action : callable
        Called once for all calls of a pause.
    pause_s : callable
        Returns the seconds from the first call to the action.
    """

    def __init__(
        self,
        loop: Loop,
        action: Callable[[], None],
        pause_s: Callable[[], float],
    ) -> None:
        self._loop = loop
        self._action = action
        self._pause_s = pause_s
        self._timer: Timer | None = None
        self._is_closed = False

    def schedule(self) -> None:
        """Schedule the action for the end of the pause, unless it is scheduled."""
        if self._timer is None and not self._is_closed:
            self._timer = self._loop.call_later(self._pause_s(), self._run)

    def cancel(self) -> None:
        """Cancel the scheduled run, because the action was done otherwise."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Cancel the scheduled run, and ignore further calls."""
        self._is_closed = True
        self.cancel()

    def _run(self) -> None:
        self._timer = None
        self._action()
