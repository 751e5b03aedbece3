"""Router's reports to the quota owner, and the grants that come back."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

from berylnotch.control.protocol import NotLeader
from berylnotch.quota.messages import GrantReply, GrantRequest

if TYPE_CHECKING:
    from berylnotch.quota.local import LocalQuota
    from berylnotch.settings.router import RouterSettings
    from berylnotch.transport.peers import Peers
    from berylnotch.util.loop import Loop, Timer

#: Seconds between two reports of an idle router.
IDLE_INTERVAL_S = 0.5
#: Fewest seconds between an answer and the next report.
_MIN_DELAY_S = 0.005
#: Seconds before a report that another controller named the leader for.
_REDIRECT_S = 0.05
_TIMEOUT_S = 1.0


class Heartbeat:
    """One report at a time to the leader; runs in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Loop of the router.
    peers : Peers
        Connections to other processes.
    settings : RouterSettings
        Settings of the process.
    quota : LocalQuota
        Grants held here.
    leader_address : callable
        Address of the leader as the follower knows it.
    on_grant : callable
        Called after grants came.
    incarnation : str
        Random id of this process.
    """

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        settings: RouterSettings,
        quota: LocalQuota,
        leader_address: Callable[[], str],
        on_grant: Callable[[], None],
        incarnation: str,
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._settings = settings
        self._quota = quota
        self._leader_address = leader_address
        self._on_grant = on_grant
        self._incarnation = incarnation
        self._http_address = ""
        self._leaving = False
        self._busy = False
        self._sent_at = 0.0
        self._urgent = False
        self._hint = ""
        self._controller = 0
        self._closed = False
        self._timer: Timer | None = None

    def start(self, http_address: str) -> None:
        """Begin to report this router under the address that callers use."""
        self._http_address = http_address
        self._loop.call_soon(self._send)

    def close(self) -> None:
        """Stop reporting."""
        self._closed = True

    def set_leaving(self) -> None:
        """Report from now on that this router takes no new callers."""
        self._leaving = True
        self.hurry()

    def hurry(self) -> None:
        """Report soon: a request waits for tokens."""
        if self._urgent or self._closed:
            return
        self._urgent = True
        if not self._busy:
            self._schedule(True)

    def _send(self) -> None:
        if self._busy or self._closed:
            return
        self._urgent = False
        self._busy = True
        self._sent_at = now = time.monotonic()
        asks = self._quota.asks(now)
        request = GrantRequest(
            self._settings.name,
            self._incarnation,
            self._http_address,
            self._settings.failure_domain,
            self._leaving,
            self._quota.sequence,
            asks,
        )
        future = self._peers.call(self._target(), request, _TIMEOUT_S)
        future.add_done_callback(lambda done: self._answered(now, bool(asks), done))

    def _target(self) -> str:
        address = self._hint or self._leader_address()
        if address:
            return address
        controllers = self._settings.controllers
        return str(controllers[self._controller % len(controllers)].address)

    def _answered(self, sent_at: float, active: bool, future: Future[Any]) -> None:
        self._busy = False
        answer = None if future.exception() is not None else future.result()
        if isinstance(answer, GrantReply):
            self._quota.receive(sent_at, answer)
            self._on_grant()
        elif isinstance(answer, NotLeader):
            self._hint = answer.leader_address
            self._controller += 1
            if answer.leader_address:
                self._arm(_REDIRECT_S)
                return
        else:
            self._hint = ""
            self._controller += 1
        self._schedule(active or self._urgent)

    def _schedule(self, is_active: bool) -> None:
        due = self._quota.next_ask_at
        if not is_active:
            due = max(due, self._sent_at + IDLE_INTERVAL_S)
        self._arm(max(due - time.monotonic(), _MIN_DELAY_S))

    def _arm(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._send)
