"""A router's link to the leading controller."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from berylnotch.errors import ConfigurationError
from berylnotch.group.messages import ROUTER_MESSAGES, Redirect
from berylnotch.transport.link import Link, LinkSettings, open_link
from berylnotch.util.address import parse_address
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Pause in seconds before the next controller is asked.
RETRY_S = 0.15


class LeaderLink:
    """Finds the leader, by way of the seeds and all controllers it hears of.

    Parameters
    ----------
    loop : Loop
        Loop in which everything runs.
    seeds : callable
        Returns the addresses to begin with.
    on_open : callable
        Called with each new link, to report on it.
    on_message : callable
        Gets each message of a controller.
    log : EventLog
        Log of the process.
    settings : LinkSettings
        Timing.
    """

    def __init__(
        self,
        loop: Loop,
        seeds: Callable[[], tuple[str, ...]],
        on_open: Callable[[], None],
        on_message: Callable[[object], None],
        log: EventLog,
        settings: LinkSettings,
    ) -> None:
        self._loop = loop
        self._seeds = seeds
        self._on_open = on_open
        self._on_message = on_message
        self._log = log
        self._settings = settings
        self._link: Link | None = None
        self._next = ""
        self._known: tuple[str, ...] = ()
        self._turn = itertools.count()
        self._is_closed = False
        self._has_leader = False

    @property
    def has_leader(self) -> bool:
        """Whether the present link leads to a controller that answered as leader."""
        return self._has_leader and self._link is not None

    def start(self) -> None:
        """Look for the leader."""
        self._connect()

    def close(self) -> None:
        """End the link."""
        self._is_closed = True
        if self._link is not None:
            self._link.close("stopping")

    def send(self, message: object) -> None:
        """Send a message, if there is a link."""
        if self._link is not None:
            self._link.send(message)

    def _connect(self) -> None:
        if self._is_closed or self._link is not None:
            return
        address = self._next or self._any()
        self._next = ""
        try:
            self._link = open_link(
                self._loop,
                parse_address(address),
                ROUTER_MESSAGES,
                self._receive,
                self._closed,
                self._settings,
            )
        except (OSError, ConfigurationError) as error:
            self._log.warning("controller_unreachable", at=address, reason=str(error))
            self._loop.call_later(RETRY_S, self._connect)
            return
        self._link.start()
        self._on_open()

    def _any(self) -> str:
        addresses = sorted({*self._known, *self._seeds()})
        return addresses[next(self._turn) % len(addresses)]

    def _receive(self, link: Link, message: object) -> None:
        if link is not self._link:
            return
        if not isinstance(message, Redirect):
            if not self._has_leader:
                self._has_leader = True
                self._log.info("leader_found", at=link.peer)
            self._on_message(message)
            return
        self._known = message.members
        if message.leader and message.leader != link.peer:
            self._next = message.leader
        link.close("not the leader")

    def _closed(self, link: Link, reason: str) -> None:
        if link is not self._link:
            return
        self._link = None
        if self._has_leader:
            self._log.warning("leader_lost", at=link.peer, reason=reason)
        self._has_leader = False
        if not self._is_closed:
            delay_s = 0.0 if self._next else RETRY_S
            self._loop.call_later(delay_s, self._connect)
