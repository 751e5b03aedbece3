"""Replication of the control state from a controller or peer router to a router."""

from __future__ import annotations

import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

from loguru import logger

from berylnotch.control.protocol import SyncReply, SyncRequest
from berylnotch.errors import BerylnotchError

if TYPE_CHECKING:
    from berylnotch.control.view import View
    from berylnotch.keys.freshness import Freshness
    from berylnotch.transport.peers import Peers
    from berylnotch.util.loop import Loop

#: Longest time in milliseconds for which a source may delay its reply.
SYNC_WAIT_MS = 400
#: Timeout in seconds for a reply, added to the time for which the source may delay the
#: reply. The timeout is shorter than a freshness lease, so that another source can be
#: asked before the lease ends.
_REPLY_TIMEOUT_S = 0.6
#: Timeout in seconds for the first reply, which may hold a large snapshot.
_FIRST_REPLY_TIMEOUT_S = 5.0
#: Delay in seconds before the next source is asked after a failure, and shortest
#: interval between requests.
_RETRY_DELAY_S = 0.05
#: Longest time in seconds for which a new router waits for the leader's first answer to
#: a heartbeat before it uses its view. The answer to a failed request waits as long for
#: the views of the routers that the leader has heard of.
LEADER_CONTACT_S = 1.0
#: Number of consecutive replies without a confirmation of the view after which the
#: follower switches to the next source.
_MAX_STALE_REPLIES = 2


class Follower:
    """Subscription to the events of one source at a time; runs in the loop's thread.

    Controllers are asked first, in an order that differs between routers, and peer
    routers only if no controller answers.

    Parameters
    ----------
    loop : Loop
        Event loop of the router.
    peers : Peers
        Connections to other processes.
    sources : tuple of str
        Addresses in order of preference.
    view : View
        View that receives the events and snapshots.
    freshness : Freshness
        Lease that each confirmation of the view renews.
    vm, incarnation : str
        Name and incarnation of this router.
    is_known_to_leader : callable
        Returns whether the leader has answered a heartbeat of this router.
    on_change : callable
        Called after each reply has been processed.
    """

    def __init__(
        self,
        loop: Loop,
        peers: Peers,
        sources: tuple[str, ...],
        view: View,
        freshness: Freshness,
        vm: str,
        incarnation: str,
        is_known_to_leader: Callable[[], bool],
        on_change: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._sources = sources
        self._view = view
        self._freshness = freshness
        self._vm = vm
        self._incarnation = incarnation
        self._is_known_to_leader = is_known_to_leader
        self._on_change = on_change
        self._started_at = 0.0
        self._source_index = 0
        self._stale_replies = 0
        self._leader_address = ""
        self._is_closed = False

    @property
    def leader_address(self) -> str:
        """Last known address of the leader, empty if unknown."""
        return self._leader_address

    def start(self) -> None:
        """Start to send requests."""
        self._started_at = time.monotonic()
        self._loop.call_soon(self._send_request)

    def close(self) -> None:
        """Stop sending requests; an outstanding reply is ignored."""
        self._is_closed = True

    def _send_request(self) -> None:
        if self._is_closed or not self._sources:
            return
        source = self._sources[self._source_index % len(self._sources)]
        wait_ms = SYNC_WAIT_MS if self._freshness.is_fresh(time.monotonic()) else 0
        request = SyncRequest(self._vm, self._incarnation, self._view.version, wait_ms)
        sent_at = time.monotonic()
        timeout_s = _REPLY_TIMEOUT_S + wait_ms / 1000
        if not self._view.version:
            timeout_s = _FIRST_REPLY_TIMEOUT_S
        future = self._peers.call(source, request, timeout_s)
        future.add_done_callback(lambda done: self._on_reply(sent_at, done))

    def _on_reply(self, sent_at: float, future: Future[Any]) -> None:
        if self._is_closed:
            return
        if future.exception() is not None or not isinstance(future.result(), SyncReply):
            self._switch_source()
            self._loop.call_later(_RETRY_DELAY_S, self._send_request)
            return
        try:
            self._process_reply(sent_at, future.result())
        except BerylnotchError:
            logger.exception("event=sync_failed")
            self._switch_source()
        self._on_change()
        self._schedule_request(sent_at)

    def _schedule_request(self, sent_at: float) -> None:
        # Sources that answer immediately must not cause a busy loop.
        elapsed_s = time.monotonic() - sent_at
        self._loop.call_later(max(_RETRY_DELAY_S - elapsed_s, 0.0), self._send_request)

    def _process_reply(self, sent_at: float, reply: SyncReply) -> None:
        if reply.group and not self._view.group:
            self._view.set_group(reply.group)
        if reply.group != self._view.group:
            self._on_other_group(reply)
            return
        if reply.leader_address:
            self._leader_address = reply.leader_address
        if reply.snapshot:
            self._view.restore(reply.snapshot)
        elif reply.events:
            self._view.apply(reply.events)
        if reply.age_ms < 0 or self._view.version < reply.version:
            self._stale_replies += 1
            if self._stale_replies >= _MAX_STALE_REPLIES:
                self._switch_source()
            return
        self._stale_replies = 0
        if self._is_awaited_by_others():
            self._freshness.observe(sent_at, reply.age_ms)

    def _is_awaited_by_others(self) -> bool:
        """Return whether other routers wait for this router's view before they answer.

        They do so once the leader has heard of this router. Without a leader, they wait
        for a fixed time instead.
        """
        is_new = time.monotonic() - self._started_at < LEADER_CONTACT_S
        return self._is_known_to_leader() or not is_new

    def _on_other_group(self, reply: SyncReply) -> None:
        # The view switches to another group only if its leader has a lease. A
        # controller left over from an abandoned group has no lease.
        if reply.group and reply.age_ms >= 0:
            logger.warning("event=group_changed group={}", reply.group)
            self._view.reset()
        else:
            self._switch_source()

    def _switch_source(self) -> None:
        self._source_index += 1
        self._stale_replies = 0
