"""Router's link to the leader of the controllers."""

from __future__ import annotations

import itertools
from collections.abc import Callable

from attrs import evolve

from berylnotch.daemon.fleet.leader_probe import (
    MAX_ATTEMPT_S,
    SUSPECT_SILENCE_S,
    LeaderProbe,
)
from berylnotch.errors import ConfigurationError
from berylnotch.group.messages import ROUTER_MESSAGES, Redirect
from berylnotch.transport.link import SILENT, Link, LinkSettings, open_link
from berylnotch.util.address import parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Back-off in seconds before the next controller is tried.
RETRY_S = 0.1

#: Seconds within which a controller must answer a router's first report; heartbeats do
#: not count as an answer. A new leader answers all routers at the same time and needs
#: some milliseconds for each; a router that times out and reconnects adds to this
#: work.
ANSWER_TIMEOUT_S = 2.0

#: Seconds for which a controller that did not answer is tried after all others.
UNANSWERED_BACK_OFF_S = 1.5

#: Seconds for which a leader whose link was lost is tried after all others, unless a
#: probe reaches it.
LOST_LEADER_BACK_OFF_S = 3.0

#: Interval in seconds of the checks whether the leader's link is silent.
SILENCE_CHECK_INTERVAL_S = 0.1

#: Reason for closing a link when another controller leads.
NOT_LEADER = "not the leader"

#: Reason for closing a link when its controller or this process stops.
STOPPING = "stopping"


class LeaderLink:
    """Discovers the leader through the seeds and the addresses in redirects.

    The loss of a link does not tell whether the leader or only the link failed. So a
    probe connects to the leader beside the search at the other controllers, whose
    redirects may name a failed leader until they elect another one.

    Parameters
    ----------
    loop : Loop
        Event loop that runs all callbacks.
    seeds : callable
        Returns the addresses of the controllers that are tried first.
    on_open : callable
        Called when a link is opened; it must send the router's first report.
    on_message : callable
        Receives each message of the leader except redirects.
    log : EventLog
        Log of the process.
    settings : LinkSettings
        Time-outs of the link.
    on_found : callable, optional
        Called when the controller at the link has answered as leader.
    was_suspended : callable, optional
        Returns whether this process may have lost contact because it did not run.
    """

    def __init__(
        self,
        loop: Loop,
        seeds: Callable[[], tuple[str, ...]],
        on_open: Callable[[], None],
        on_message: Callable[[object], None],
        log: EventLog,
        settings: LinkSettings,
        on_found: Callable[[], None] = lambda: None,
        was_suspended: Callable[[], bool] = lambda: False,
    ) -> None:
        self._loop = loop
        self._seeds = seeds
        self._on_open = on_open
        self._on_found = on_found
        self._was_suspended = was_suspended
        self._on_message = on_message
        self._log = log
        self._settings = settings
        self._link: Link | None = None
        self._redirect_address = ""
        self._known_addresses: tuple[str, ...] = ()
        self._address_counter = itertools.count()
        self._is_closed = False
        self._has_leader = False
        #: Boot time of the last message on the newest link to a leader that was lost.
        self._lost_leader_heard_at = 0.0
        self._probe = LeaderProbe(loop, self._open_probe_link, self._use_probe_link)
        #: Boot times by address. Until the first, a controller is tried after all
        #: others; until the second, a redirect to a lost leader is ignored.
        self._back_off_until: dict[str, float] = {}
        self._lost_leader_until: dict[str, float] = {}

    @property
    def has_leader(self) -> bool:
        """Whether the controller at the current link has answered as leader."""
        return self._has_leader and self._link is not None

    @property
    def leader_silence_s(self) -> float | None:
        """Seconds since the leader's last message, None without a leader."""
        if self._link is None or not self._has_leader:
            return None
        return boot_time() - self._link.heard_at

    @property
    def leader_heard_at(self) -> float:
        """Boot time of the last message of a leader, 0 if there was none."""
        if self._link is None or not self._has_leader:
            return self._lost_leader_heard_at
        return self._link.heard_at

    def start(self) -> None:
        """Start to search for the leader."""
        self._connect()
        self._loop.call_later(SILENCE_CHECK_INTERVAL_S, self._check_silence)

    def close(self) -> None:
        """Close the link and stop the search."""
        self._is_closed = True
        self._probe.stop()
        if self._link is not None:
            self._link.close(STOPPING)

    def send(self, message: object) -> None:
        """Send a message, or drop the message if there is no link."""
        if self._link is not None:
            self._link.send(message)

    def _connect(self) -> None:
        if self._is_closed or self._link is not None:
            return
        address = self._redirect_address or self._pick_address()
        self._redirect_address = ""
        link = self._open(address, self._settings)
        if link is None:
            self._loop.call_later(RETRY_S, self._connect)
            return
        self._link = link
        # A refused link may close before `start` returns.
        link.start()
        if not link.is_closed:
            self._use(link)

    def _open(self, address: str, settings: LinkSettings) -> Link | None:
        try:
            return open_link(
                self._loop,
                parse_address(address),
                ROUTER_MESSAGES,
                self._receive,
                self._on_closed,
                settings,
            )
        except (OSError, ConfigurationError) as error:
            self._log.warning("controller_unreachable", at=address, reason=str(error))
            return None

    def _use(self, link: Link) -> None:
        self._link = link
        self._on_open()
        self._loop.call_later(ANSWER_TIMEOUT_S, lambda: self._check_answer(link))

    def _check_silence(self) -> None:
        if self._is_closed:
            return
        self._loop.call_later(SILENCE_CHECK_INTERVAL_S, self._check_silence)
        silence_s = self.leader_silence_s
        if silence_s is not None and silence_s > SUSPECT_SILENCE_S:
            self._probe.start(self._link.peer, self._link)

    def _open_probe_link(self, address: str) -> Link | None:
        return self._open(address, evolve(self._settings, connect_s=MAX_ATTEMPT_S))

    def _use_probe_link(self, link: Link) -> None:
        """Report over the probe's link, in place of a silent link or of the search."""
        replaced, self._link = self._link, None
        if replaced is not None:
            if self._has_leader:
                self._lost_leader_heard_at = replaced.heard_at
                silence_s = boot_time() - replaced.heard_at
                reason = f"{SILENT} for {silence_s:.1f} s, reached by another link"
                self._log.warning("leader_lost", at=link.peer, reason=reason)
            self._has_leader = False
            replaced.close("replaced")
        # The controller runs, so a redirect to it is followed again.
        self._lost_leader_until.pop(link.peer, None)
        self._back_off_until.pop(link.peer, None)
        self._redirect_address = ""
        self._use(link)

    def _check_answer(self, link: Link) -> None:
        if link is self._link and not self._has_leader and not link.is_closed:
            link.close(f"{SILENT}: no answer within {ANSWER_TIMEOUT_S:g} s")

    def _pick_address(self) -> str:
        now = boot_time()
        addresses = sorted({*self._known_addresses, *self._seeds()})
        preferred = [a for a in addresses if self._back_off_until.get(a, 0.0) < now]
        candidates = preferred or addresses
        return candidates[next(self._address_counter) % len(candidates)]

    def _receive(self, link: Link, message: object) -> None:
        if link is not self._link:
            return
        if not isinstance(message, Redirect):
            if not self._has_leader:
                self._has_leader = True
                self._probe.stop()
                self._log.info("leader_found", at=link.peer)
                self._on_found()
            self._on_message(message)
            return
        self._known_addresses = message.members
        # The other controllers name a frozen leader until they elect a new one, so a
        # lost leader is not followed. A controller that merely exceeded the answer
        # time-out may still be the leader, so a redirect to it is followed.
        was_lost = self._lost_leader_until.get(message.leader, 0.0) > boot_time()
        if message.leader and message.leader != link.peer and not was_lost:
            self._redirect_address = message.leader
        link.close(NOT_LEADER)

    def _on_closed(self, link: Link, reason: str) -> None:
        if link is not self._link:
            self._probe.on_closed(link)
            return
        self._link = None
        is_own_fault = self._has_leader and reason != STOPPING and self._was_suspended()
        if is_own_fault:
            # The leader has closed the link of a silent router, and still leads.
            self._redirect_address = link.peer
        elif reason != NOT_LEADER:
            self._back_off(link.peer, reason)
            if self._has_leader and not self._is_closed:
                self._probe.start(link.peer)
        if self._has_leader:
            self._lost_leader_heard_at = link.heard_at
            self._log.warning("leader_lost", at=link.peer, reason=reason)
        self._has_leader = False
        if not self._is_closed:
            delay_s = 0.0 if self._redirect_address else RETRY_S
            self._loop.call_later(delay_s, self._connect)

    def _back_off(self, address: str, reason: str) -> None:
        now = boot_time()
        if self._has_leader and reason != STOPPING:
            self._lost_leader_until[address] = self._back_off_until[address] = (
                now + LOST_LEADER_BACK_OFF_S
            )
        elif reason.startswith(SILENT):
            self._back_off_until[address] = now + UNANSWERED_BACK_OFF_S
