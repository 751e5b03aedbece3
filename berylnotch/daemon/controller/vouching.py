"""Client with which a follower confirms the age of its state with the leader."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any

from berylnotch.control.protocol import VouchReply, VouchRequest
from berylnotch.daemon.controller.inbound import VouchAnswer
from berylnotch.keys.freshness import Freshness

if TYPE_CHECKING:
    from berylnotch.transport.peers import Peers

#: Interval in seconds between requests to the leader.
VOUCH_INTERVAL_S = 0.2
_REQUEST_TIMEOUT_S = 1.0


class VouchClient:
    """Requests the leader's commit index to confirm that the applied state is current.

    Parameters
    ----------
    peers : Peers
        Connections to the other controllers.
    lease_s : float
        Time in seconds for which a confirmation of the leader is valid.
    deliver : callable
        Delivers an answer to the core thread.
    """

    def __init__(
        self, peers: Peers, lease_s: float, deliver: Callable[[VouchAnswer], None]
    ) -> None:
        self._peers = peers
        self._freshness = Freshness(lease_s)
        self._deliver = deliver
        self._request: Future[Any] | None = None
        self._next_request_at = 0.0
        self._pending: VouchAnswer | None = None

    def age_ms(self, now: float) -> int:
        """Return the age of the applied state in ms, -1 if no leader confirmed it."""
        return self._freshness.age_ms(now)

    def tick(self, now: float, leader_address: str, applied: int) -> None:
        """Send the next request if it is due, and process a pending answer.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        leader_address : str
            Address of the leader, empty if it is unknown.
        applied : int
            Index of the last applied log entry.
        """
        self._process_pending(applied)
        if not leader_address or now < self._next_request_at:
            return
        if self._request is not None and not self._request.done():
            return
        self._next_request_at = now + VOUCH_INTERVAL_S
        self._request = self._peers.call(
            leader_address, VouchRequest(), _REQUEST_TIMEOUT_S
        )
        self._request.add_done_callback(lambda future: self._on_reply(now, future))

    def on_answer(self, answer: VouchAnswer, applied: int) -> None:
        """Process an answer in the core thread.

        The answer of a leader that has no lease is ignored.
        """
        if answer.reply.age_ms >= 0:
            self._pending = answer
        self._process_pending(applied)

    def _process_pending(self, applied: int) -> None:
        # The answer confirms the applied state only once all entries up to the leader's
        # commit index are applied.
        answer = self._pending
        if answer is not None and applied >= answer.reply.commit:
            self._freshness.observe(answer.sent_at, answer.reply.age_ms)
            self._pending = None

    def _on_reply(self, sent_at: float, future: Future[Any]) -> None:
        if future.exception() is None and isinstance(future.result(), VouchReply):
            self._deliver(VouchAnswer(sent_at, future.result()))
