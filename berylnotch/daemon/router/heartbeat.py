"""Heartbeats of a router to the leader, which carry quota requests and grants."""

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

#: Interval in seconds between heartbeats of an idle router.
IDLE_INTERVAL_S = 0.5
#: Shortest delay in seconds between an answer and the next heartbeat.
_MIN_DELAY_S = 0.005
#: Delay in seconds before a heartbeat is sent to the leader named in a redirect.
_REDIRECT_DELAY_S = 0.05
_ANSWER_TIMEOUT_S = 1.0


class Heartbeat:
    """Sends heartbeats to the leader, one at a time; runs in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Event loop of the router.
    peers : Peers
        Connections to other processes.
    settings : RouterSettings
        Settings of the process.
    quota : LocalQuota
        Quota that is granted to this router.
    leader_address : callable
        Returns the last known address of the leader, empty if unknown.
    on_grant : callable
        Called after grants were received.
    incarnation : str
        Random id of this process.
    view_version : callable
        Returns the version of this router's view.
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
        view_version: Callable[[], int],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._settings = settings
        self._quota = quota
        self._leader_address = leader_address
        self._on_grant = on_grant
        self._incarnation = incarnation
        self._view_version = view_version
        self._sent_version = 0
        self._shared_version = 0
        self._is_answered = False
        self._http_address = ""
        self._is_leaving = False
        self._is_awaiting_answer = False
        self._sent_at = 0.0
        self._is_urgent = False
        self._leader_hint = ""
        self._controller_index = 0
        self._is_closed = False
        self._timer: Timer | None = None

    @property
    def shared_version(self) -> int:
        """Version that the views of all live routers have reached."""
        return self._shared_version

    @property
    def is_answered(self) -> bool:
        """Whether a leader has answered a heartbeat."""
        return self._is_answered

    def on_view_change(self) -> None:
        """Report a new version of the view early; other routers may wait for it."""
        if self._view_version() != self._sent_version:
            self.send_soon()

    def start(self, http_address: str) -> None:
        """Start to send heartbeats.

        Parameters
        ----------
        http_address : str
            Address at which this router serves callers.
        """
        self._http_address = http_address
        self._loop.call_soon(self._send)

    def close(self) -> None:
        """Stop sending heartbeats."""
        self._is_closed = True

    def set_leaving(self) -> None:
        """Report in all further heartbeats that this router takes no new callers."""
        self._is_leaving = True
        self.send_soon()

    def send_soon(self) -> None:
        """Send the next heartbeat early, because a request waits for tokens."""
        if self._is_urgent or self._is_closed:
            return
        self._is_urgent = True
        if not self._is_awaiting_answer:
            self._schedule(True)

    def _send(self) -> None:
        if self._is_awaiting_answer or self._is_closed:
            return
        self._is_urgent = False
        self._is_awaiting_answer = True
        self._sent_at = now = time.monotonic()
        asks = self._quota.asks(now)
        self._sent_version = self._view_version()
        request = GrantRequest(
            self._settings.name,
            self._incarnation,
            self._http_address,
            self._settings.failure_domain,
            self._is_leaving,
            self._quota.sequence,
            asks,
            self._sent_version,
        )
        future = self._peers.call(self._pick_controller(), request, _ANSWER_TIMEOUT_S)
        future.add_done_callback(lambda done: self._on_answer(now, bool(asks), done))

    def _pick_controller(self) -> str:
        address = self._leader_hint or self._leader_address()
        if address:
            return address
        controllers = self._settings.controllers
        return str(controllers[self._controller_index % len(controllers)].address)

    def _on_answer(self, sent_at: float, has_asks: bool, future: Future[Any]) -> None:
        self._is_awaiting_answer = False
        answer = None if future.exception() is not None else future.result()
        if isinstance(answer, GrantReply):
            self._quota.receive(sent_at, answer)
            self._shared_version = answer.shared_version
            self._is_answered = True
            self._on_grant()
        elif isinstance(answer, NotLeader):
            self._leader_hint = answer.leader_address
            self._controller_index += 1
            if answer.leader_address:
                self._set_timer(_REDIRECT_DELAY_S)
                return
        else:
            self._leader_hint = ""
            self._controller_index += 1
        self._schedule(has_asks or self._is_urgent)

    def _schedule(self, is_active: bool) -> None:
        next_at = self._quota.next_ask_at
        if not is_active:
            next_at = max(next_at, self._sent_at + IDLE_INTERVAL_S)
        self._set_timer(max(next_at - time.monotonic(), _MIN_DELAY_S))

    def _set_timer(self, delay_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_later(delay_s, self._send)
