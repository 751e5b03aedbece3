"""A router's link to the leading controller."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from berylnotch.errors import ConfigurationError
from berylnotch.group.messages import ROUTER_MESSAGES, Redirect
from berylnotch.transport.link import SILENT, Link, LinkSettings, open_link
from berylnotch.util.address import parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Pause in seconds before the next controller is asked.
RETRY_S = 0.1

#: Seconds in which a controller must answer a first report, though it sends heartbeats.
#: A new leader answers all routers at the same time, some ms each, and one that comes
#: again because it did not wait adds to that.
ANSWER_S = 2.0

#: Seconds for which a controller that did not answer is asked last.
UNANSWERED_S = 1.5

#: Seconds for which a leader that fell silent is asked last.
AVOID_S = 3.0

#: Reason of a link's end when another controller leads.
NOT_LEADER = "not the leader"

#: Reason of a link's end when its controller or this process stops.
STOPPING = "stopping"


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
        #: Until when controllers are asked last, and which led and fell silent.
        self._last_until: dict[str, float] = {}
        self._lost_until: dict[str, float] = {}

    @property
    def has_leader(self) -> bool:
        """Whether the present link leads to a controller that answered as leader."""
        return self._has_leader and self._link is not None

    @property
    def heard_s(self) -> float | None:
        """Seconds since the leader was heard, None without a leader."""
        if self._link is None or not self._has_leader:
            return None
        return boot_time() - self._link.heard_at

    def start(self) -> None:
        """Look for the leader."""
        self._connect()

    def close(self) -> None:
        """End the link."""
        self._is_closed = True
        if self._link is not None:
            self._link.close(STOPPING)

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
        link = self._link
        link.start()
        self._on_open()
        self._loop.call_later(ANSWER_S, lambda: self._check_answer(link))

    def _check_answer(self, link: Link) -> None:
        if link is self._link and not self._has_leader and not link.is_closed:
            link.close(f"{SILENT}: no answer within {ANSWER_S:g} s")

    def _any(self) -> str:
        now = boot_time()
        addresses = sorted({*self._known, *self._seeds()})
        willing = [a for a in addresses if self._last_until.get(a, 0.0) < now]
        choices = willing or addresses
        return choices[next(self._turn) % len(choices)]

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
        # A frozen leader is named by the others until they elect another one. One
        # that merely did not answer in time is the leader all the same.
        is_lost = self._lost_until.get(message.leader, 0.0) > boot_time()
        if message.leader and message.leader != link.peer and not is_lost:
            self._next = message.leader
        link.close(NOT_LEADER)

    def _closed(self, link: Link, reason: str) -> None:
        if link is not self._link:
            return
        self._link = None
        if reason != NOT_LEADER:
            self._avoid(link.peer, reason)
        if self._has_leader:
            self._log.warning("leader_lost", at=link.peer, reason=reason)
        self._has_leader = False
        if not self._is_closed:
            delay_s = 0.0 if self._next else RETRY_S
            self._loop.call_later(delay_s, self._connect)

    def _avoid(self, address: str, reason: str) -> None:
        now = boot_time()
        if self._has_leader and reason != STOPPING:
            self._lost_until[address] = self._last_until[address] = now + AVOID_S
        elif reason.startswith(SILENT):
            self._last_until[address] = now + UNANSWERED_S
