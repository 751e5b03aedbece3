"""Keeps a router's view up to date from controllers or peer routers."""

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

#: How long, in milliseconds, a source may hold an answer back.
WAIT_MS = 400
#: Seconds for an answer beyond the time that it may be held back; shorter than a
#: freshness lease, so that another source can be asked before the lease ends.
_TIMEOUT_S = 0.6
#: Seconds for the first answer, which may be a large snapshot.
_FIRST_TIMEOUT_S = 5.0
#: Seconds before another source is asked after a failure.
_RETRY_S = 0.05
#: Answers in a row that vouch for nothing before another source is asked.
_MAX_STALE = 2


class Follower:
    """Subscription to one source at a time; runs in the loop's thread.

    Controllers are asked first, in an order that differs between routers, and
    peer routers when no controller answers.

    Parameters
    ----------
    loop : Loop
        Loop of the router.
    peers : Peers
        Connections to other processes.
    sources : tuple of str
        Addresses in order of preference.
    view : View
        View to keep up to date.
    freshness : Freshness
        Told when a leader vouched for the view.
    vm, incarnation : str
        Identity of this router.
    on_change : callable
        Called after the view or its freshness changed.
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
        on_change: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._sources = sources
        self._view = view
        self._freshness = freshness
        self._vm = vm
        self._incarnation = incarnation
        self._on_change = on_change
        self._position = 0
        self._stale = 0
        self._leader_address = ""
        self._closed = False

    @property
    def leader_address(self) -> str:
        """Controller that leads, as far as known; empty if unknown."""
        return self._leader_address

    def start(self) -> None:
        """Begin to follow."""
        self._loop.call_soon(self._ask)

    def close(self) -> None:
        """Stop following."""
        self._closed = True

    def _ask(self) -> None:
        if self._closed or not self._sources:
            return
        source = self._sources[self._position % len(self._sources)]
        wait_ms = WAIT_MS if self._freshness.is_fresh(time.monotonic()) else 0
        request = SyncRequest(self._vm, self._incarnation, self._view.version, wait_ms)
        sent_at = time.monotonic()
        timeout_s = _TIMEOUT_S + wait_ms / 1000
        if not self._view.version:
            timeout_s = _FIRST_TIMEOUT_S
        future = self._peers.call(source, request, timeout_s)
        future.add_done_callback(lambda done: self._answered(sent_at, done))

    def _answered(self, sent_at: float, future: Future[Any]) -> None:
        if self._closed:
            return
        if future.exception() is not None or not isinstance(future.result(), SyncReply):
            self._next_source()
            self._loop.call_later(_RETRY_S, self._ask)
            return
        try:
            self._take(sent_at, future.result())
        except BerylnotchError:
            logger.exception("event=sync_failed")
            self._next_source()
        self._on_change()
        self._ask_soon(sent_at)

    def _ask_soon(self, sent_at: float) -> None:
        # An answer that came at once must not make this a busy loop.
        elapsed = time.monotonic() - sent_at
        self._loop.call_later(max(_RETRY_S - elapsed, 0.0), self._ask)

    def _take(self, sent_at: float, reply: SyncReply) -> None:
        if reply.group and not self._view.group:
            self._view.set_group(reply.group)
        if reply.group != self._view.group:
            self._take_other_group(reply)
            return
        if reply.leader_address:
            self._leader_address = reply.leader_address
        if reply.snapshot:
            self._view.restore(reply.snapshot)
        elif reply.events:
            self._view.apply(reply.events)
        if reply.age_ms < 0 or self._view.version < reply.version:
            self._stale += 1
            if self._stale >= _MAX_STALE:
                self._next_source()
            return
        self._stale = 0
        self._freshness.observe(sent_at, reply.age_ms)

    def _take_other_group(self, reply: SyncReply) -> None:
        # Only a leader with a lease speaks for a group; what is left of one
        # that was given up has none.
        if reply.group and reply.age_ms >= 0:
            logger.warning("event=group_changed group={}", reply.group)
            self._view.reset()
        else:
            self._next_source()

    def _next_source(self) -> None:
        self._position += 1
        self._stale = 0
