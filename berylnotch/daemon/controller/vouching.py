"""A follower's knowledge of how fresh its applied state is."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

from berylnotch.control.protocol import VouchReply, VouchRequest
from berylnotch.daemon.controller.inbound import Vouched
from berylnotch.keys.freshness import Freshness

if TYPE_CHECKING:
    from berylnotch.transport.peers import Peers

#: Seconds between two questions to the leader.
VOUCH_INTERVAL_S = 0.2
_TIMEOUT_S = 1.0


class Vouching:
    """Asks the leader how far the log is committed.

    Parameters
    ----------
    peers : Peers
        Connections to the other controllers.
    lease_s : float
        How long a vouch counts, in seconds.
    deliver : callable
        Brings an answer into the core thread.
    """

    def __init__(
        self, peers: Peers, lease_s: float, deliver: Callable[[Vouched], None]
    ) -> None:
        self._peers = peers
        self._freshness = Freshness(lease_s)
        self._deliver = deliver
        self._asked: Future[Any] | None = None
        self._next = 0.0
        self._unmet: Vouched | None = None

    def age_ms(self, now: float) -> int:
        """Return the age of the applied state, or -1 if nobody vouched for it."""
        return self._freshness.age_ms(now)

    def tick(self, now: float, leader_address: str, applied: int) -> None:
        """Ask again when it is time, and settle an answer that was too new."""
        self._settle(applied)
        if not leader_address or now < self._next:
            return
        if self._asked is not None and not self._asked.done():
            return
        self._next = now + VOUCH_INTERVAL_S
        self._asked = self._peers.call(leader_address, VouchRequest(), _TIMEOUT_S)
        self._asked.add_done_callback(lambda future: self._answered(now, future))

    def take(self, vouched: Vouched, applied: int) -> None:
        """Take an answer, in the core thread."""
        if vouched.reply.age_ms >= 0:
            self._unmet = vouched
        self._settle(applied)

    def _settle(self, applied: int) -> None:
        # The answer vouches only for a state that holds all it names.
        vouched = self._unmet
        if vouched is not None and applied >= vouched.reply.commit:
            self._freshness.observe(vouched.sent_at, vouched.reply.age_ms)
            self._unmet = None

    def _answered(self, sent_at: float, future: Future[Any]) -> None:
        if future.exception() is None and isinstance(future.result(), VouchReply):
            self._deliver(Vouched(sent_at, future.result()))
