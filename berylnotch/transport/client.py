"""Blocking client of the controllers, for the operators' tool."""

from __future__ import annotations

import time
from typing import Any

from berylnotch.control.protocol import NotLeader, Refused
from berylnotch.errors import TransportError
from berylnotch.transport.errors import NotLeaderError, RefusedError
from berylnotch.transport.peers import Peers
from berylnotch.util.loop import Loop

#: Seconds between two tries.
_RETRY_S = 0.2
#: Seconds after which one try is given up.
_TRY_S = 15.0


class Client:
    """Connection to whichever controller leads.

    A request is repeated until an answer comes or the time is over, so it has
    to be idempotent: every command carries a change id for that.

    Parameters
    ----------
    addresses : tuple of str
        ``IP:port`` of the controllers, or of one router.
    identity : str
        ``operator/NAME`` or ``vm/NAME``.
    key : bytes
        Key of the identity.
    timeout_s : float, default=10.0
        Time limit of a call in seconds, over all tries.
    """

    def __init__(
        self,
        addresses: tuple[str, ...],
        identity: str,
        key: bytes,
        timeout_s: float = 10.0,
    ) -> None:
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._loop = Loop("client")
        self._peers = Peers(self._loop, identity, lambda _identity: key)
        self._leader = ""
        self._position = -1

    @property
    def peers(self) -> Peers:
        """Connections by address."""
        return self._peers

    def start(self) -> None:
        """Start the client's thread."""
        self._loop.start()

    def close(self) -> None:
        """End the connections and the thread."""
        self._peers.close()
        self._loop.close()

    def call(self, message: object, timeout_s: float | None = None) -> Any:
        """Send a request to the leader and return its answer.

        Parameters
        ----------
        message : object
            Request of `berylnotch.control.protocol`.
        timeout_s : float, optional
            Time limit of this call in seconds.

        Raises
        ------
        RefusedError
            If the request is wrong.
        TransportError
            If no controller answered in time.
        """
        limit = self._timeout_s if timeout_s is None else timeout_s
        deadline = time.monotonic() + limit
        # A stopped process accepts connections and never answers, so that one
        # try must leave time for the others.
        try_s = min(limit / (len(self._addresses) + 1), _TRY_S)
        failure: TransportError = NotLeaderError("no controllers are named")
        while time.monotonic() < deadline and self._addresses:
            address = self._leader or self._next_address()
            try:
                return self._try(address, message, deadline, try_s)
            except RefusedError:
                raise
            except TransportError as error:
                failure = error
            if not self._leader:
                time.sleep(min(_RETRY_S, max(deadline - time.monotonic(), 0.0)))
        raise failure

    def call_at(self, address: str, message: object, timeout_s: float = 5.0) -> Any:
        """Send a request to one process and return its answer.

        Raises
        ------
        TransportError
            If no answer came in time or it is a refusal.
        """
        answer = self._peers.call(address, message, timeout_s).result()
        if isinstance(answer, Refused):
            raise RefusedError(answer.message)
        return answer

    def _next_address(self) -> str:
        self._position += 1
        return self._addresses[self._position % len(self._addresses)]

    def _try(self, address: str, message: object, deadline: float, try_s: float) -> Any:
        left = max(deadline - time.monotonic(), 0.05)
        try:
            answer = self._peers.call(address, message, min(left, try_s)).result()
        except TransportError:
            self._leader = ""
            raise
        if isinstance(answer, NotLeader):
            self._leader = (
                "" if answer.leader_address == address else (answer.leader_address)
            )
            raise NotLeaderError(f"{address} does not lead")
        if isinstance(answer, Refused):
            raise RefusedError(answer.message)
        self._leader = address
        return answer
