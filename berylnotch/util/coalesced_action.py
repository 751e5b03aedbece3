"""Coalescing of many calls into one delayed run of an action."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.util.loop import Loop, Timer


class CoalescedAction:
    """An action that runs once, a delay after the first of several requests for it.

    Further requests during the delay neither extend it nor start another run.

    Parameters
    ----------
    loop : Loop
        Event loop in which requests are made and the action runs.
    action : callable
        Runs once for all requests that arrive during a delay.
    delay_s : callable
        Returns the seconds from the first request to the run.
    """

    def __init__(
        self,
        loop: Loop,
        action: Callable[[], None],
        delay_s: Callable[[], float],
    ) -> None:
        self._loop = loop
        self._action = action
        self._delay_s = delay_s
        self._timer: Timer | None = None
        self._is_closed = False

    def schedule(self) -> None:
        """Schedule a run at the end of the delay, unless one is scheduled already."""
        if self._timer is None and not self._is_closed:
            self._timer = self._loop.call_later(self._delay_s(), self._run)

    def cancel(self) -> None:
        """Cancel the scheduled run, since the caller performed the action itself."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def close(self) -> None:
        """Cancel the scheduled run and ignore later requests."""
        self._is_closed = True
        self.cancel()

    def _run(self) -> None:
        self._timer = None
        self._action()
