"""Second connection to a leader whose link is silent or was lost."""

from __future__ import annotations

import random
from collections.abc import Callable

from berylnotch.transport.link import SILENT, Link
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

#: Seconds of silence of a leader's link after which a probe starts. A live link has
#: gaps of at most 1.5 heartbeat intervals of 0.25 s.
SUSPECT_SILENCE_S = 0.4

#: Longest delay in seconds before the first attempt. It spreads the attempts of
#: hundreds of routers whose links are lost at the same time.
FIRST_ATTEMPT_SPREAD_S = 0.1

#: Shortest and longest time in seconds between the starts of two attempts: short enough
#: that routers reach a leader within 0.3 s once it can be reached, and random so that
#: they do not all connect to a started leader at the same time.
MIN_ATTEMPT_S, MAX_ATTEMPT_S = 0.1, 0.15

#: Longest time in seconds for which an established connection may stay silent. The
#: limit doubles from `MAX_ATTEMPT_S` to this value, since a suspended leader has to
#: accept all of them when it resumes.
MAX_ANSWER_S = 0.9

#: Seconds for which the link must stay silent after the probe got a heartbeat. A leader
#: that was suspended resumes on both, and keeps the link.
CONFIRMATION_S = 0.05

#: Interval of the checks of a probe in seconds.
CHECK_INTERVAL_S = 0.02


class LeaderProbe:
    """Connects to one address until the process there sends a heartbeat.

    A controller sends a heartbeat on each accepted link, so a probe costs it no report.
    A suspended process sends none, although its kernel accepts connections.

    Parameters
    ----------
    loop : Loop
        Event loop that runs all callbacks.
    open_link : callable
        Returns a link to an address that is not started, None if it failed immediately.
        The caller passes the end of the link to `on_closed`.
    on_reachable : callable
        Called with the link that got a heartbeat; the probe has ended and the link
        belongs to the callee.
    """

    def __init__(
        self,
        loop: Loop,
        open_link: Callable[[str], Link | None],
        on_reachable: Callable[[Link], None],
    ) -> None:
        self._loop = loop
        self._open_link = open_link
        self._on_reachable = on_reachable
        self._address = ""
        #: Number of the current probe; checks of an earlier one have no effect.
        self._number = 0
        self._silent_link: Link | None = None
        self._silent_since = 0.0
        self._link: Link | None = None
        self._opened_at = 0.0
        #: Time of the first heartbeat on the current link as the checks saw it.
        self._reached_at: float | None = None
        self._next_attempt_at = 0.0
        self._answer_limit_s = MAX_ATTEMPT_S

    def start(self, address: str, silent_link: Link | None = None) -> None:
        """Start to probe an address, or continue a probe of it.

        Parameters
        ----------
        address : str
            Address of the leader.
        silent_link : Link or None, default=None
            Link to the leader that is still open. A message on it ends the probe.
        """
        if address != self._address:
            self.stop()
            self._address = address
            self._answer_limit_s = MAX_ATTEMPT_S
            spread_s = random.uniform(0, FIRST_ATTEMPT_SPREAD_S)
            self._next_attempt_at = boot_time() + spread_s
            self._schedule_check()
        self._silent_link = silent_link
        self._silent_since = silent_link.heard_at if silent_link is not None else 0.0

    def stop(self) -> None:
        """End the probe and close its link."""
        link = self._link
        self._end()
        if link is not None:
            link.close("probe ended")

    def on_closed(self, link: Link) -> None:
        """Schedule the next attempt if the link is that of the current one."""
        if link is self._link:
            self._link = None
            interval_s = random.uniform(MIN_ATTEMPT_S, MAX_ATTEMPT_S)
            self._next_attempt_at = self._opened_at + interval_s

    def _end(self) -> None:
        self._number += 1
        self._address = ""
        self._link = self._silent_link = self._reached_at = None

    def _schedule_check(self) -> None:
        number = self._number
        self._loop.call_later(CHECK_INTERVAL_S, lambda: self._check(number))

    def _check(self, number: int) -> None:
        if number != self._number:
            return
        now, link, silent_link = boot_time(), self._link, self._silent_link
        if silent_link is not None and silent_link.heard_at > self._silent_since:
            self.stop()
            return
        if link is None:
            if now >= self._next_attempt_at:
                self._open(now)
        elif link.heard_at > self._opened_at:
            self._reached_at = self._reached_at or now
            if silent_link is None or now - self._reached_at >= CONFIRMATION_S:
                self._end()
                self._on_reachable(link)
                return
        elif now - self._opened_at >= self._answer_limit_s:
            self._answer_limit_s = min(2 * self._answer_limit_s, MAX_ANSWER_S)
            link.close(f"{SILENT}: no heartbeat")
        self._schedule_check()

    def _open(self, now: float) -> None:
        self._reached_at = None
        self._opened_at = now
        link = self._link = self._open_link(self._address)
        if link is None:
            self._next_attempt_at = now + MAX_ATTEMPT_S
            return
        self._opened_at = link.heard_at
        # A refused link may close before `start` returns.
        link.start()
