"""Blocking client of the controllers, for the operators' command-line tool."""

from __future__ import annotations

import time
from typing import Any

from berylnotch.control.protocol import NotLeader, Refused
from berylnotch.errors import TransportError
from berylnotch.transport.errors import NotLeaderError, RefusedError
from berylnotch.transport.peers import Peers
from berylnotch.util.loop import Loop

#: Back-off in seconds after an attempt from which the leader is still unknown.
_RETRY_DELAY_S = 0.2
#: Maximum time in seconds of one attempt.
_MAX_ATTEMPT_S = 15.0


class Client:
    """Client that sends requests to the current leader of the controllers.

    A request is repeated until a reply arrives or the time limit expires, so it has to
    be idempotent. Every command carries a change id for this purpose.

    Parameters
    ----------
    addresses : tuple of str
        Addresses, as ``IP:port``, of the controllers or of one router.
    identity : str
        Identity of this process: ``operator/NAME`` or ``vm/NAME``.
    key : bytes
        Key of the identity.
    timeout_s : float, default=10.0
        Time limit of a call in seconds, over all attempts.
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
        self._leader_address = ""
        self._address_index = -1

    @property
    def peers(self) -> Peers:
        """Outgoing connections, also usable for requests to a single process."""
        return self._peers

    def start(self) -> None:
        """Start the thread of the event loop."""
        self._loop.start()

    def close(self) -> None:
        """Close the connections and stop the thread."""
        self._peers.close()
        self._loop.close()

    def call(self, message: object, timeout_s: float | None = None) -> Any:
        """Send a request to the leader and return the reply.

        Parameters
        ----------
        message : object
            Request of `berylnotch.control.protocol`.
        timeout_s : float, optional
            Time limit of this call in seconds, over all attempts. The default is the
            limit of the client.

        Raises
        ------
        RefusedError
            If the request is refused; the client does not repeat the request.
        TransportError
            If no leader replied within the time limit.
        """
        limit_s = self._timeout_s if timeout_s is None else timeout_s
        deadline = time.monotonic() + limit_s
        # The kernel still accepts connections to a suspended process, which does not
        # reply. Each attempt therefore has to leave time for the other addresses.
        attempt_timeout_s = min(limit_s / (len(self._addresses) + 1), _MAX_ATTEMPT_S)
        last_error: TransportError = NotLeaderError(
            "no address of a controller is configured"
        )
        while time.monotonic() < deadline and self._addresses:
            address = self._leader_address or self._next_address()
            try:
                return self._attempt(address, message, deadline, attempt_timeout_s)
            except RefusedError:
                raise
            except TransportError as error:
                last_error = error
            if not self._leader_address:
                time.sleep(min(_RETRY_DELAY_S, max(deadline - time.monotonic(), 0.0)))
        raise last_error

    def call_at(self, address: str, message: object, timeout_s: float = 5.0) -> Any:
        """Send a request to one process and return the reply.

        Raises
        ------
        TransportError
            If no reply arrived within the time limit or the request was refused.
        """
        reply = self._peers.call(address, message, timeout_s).result()
        if isinstance(reply, Refused):
            raise RefusedError(reply.message)
        return reply

    def _next_address(self) -> str:
        self._address_index += 1
        return self._addresses[self._address_index % len(self._addresses)]

    def _attempt(
        self, address: str, message: object, deadline: float, attempt_timeout_s: float
    ) -> Any:
        remaining_s = max(deadline - time.monotonic(), 0.05)
        try:
            reply = self._peers.call(
                address, message, min(remaining_s, attempt_timeout_s)
            ).result()
        except TransportError:
            self._leader_address = ""
            raise
        if isinstance(reply, NotLeader):
            self._leader_address = (
                "" if reply.leader_address == address else (reply.leader_address)
            )
            raise NotLeaderError(f"{address} is not the leader")
        if isinstance(reply, Refused):
            raise RefusedError(reply.message)
        self._leader_address = address
        return reply
