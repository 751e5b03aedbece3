"""Checks whether a process still listens at an address."""

from __future__ import annotations

import errno
import selectors
import socket
from collections.abc import Callable
from enum import Enum

from berylnotch.net.sockets import connect
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop


class ListenerState(Enum):
    """Outcome of a probe."""

    #: A connection was established.
    LISTENING = "listening"
    #: The host of the address refused the connection: no process listens.
    REFUSED = "refused"
    #: The attempt timed out or failed in another way, such as a lost route.
    UNKNOWN = "unknown"


def probe_listener(
    loop: Loop,
    address: Address,
    timeout_s: float,
    done: Callable[[ListenerState], None],
) -> None:
    """Open a connection to an address, and close it again without sending anything.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Address to connect to.
    timeout_s : float
        Time in seconds after which the state is unknown.
    done : callable
        Called once with the state, possibly before this function returns.
    """
    try:
        sock = connect(address, timeout_s)
    except OSError as error:
        done(_state_of(error.errno))
        return

    def finish(state: ListenerState) -> None:
        timer.cancel()
        loop.watch(sock, 0, on_ready)
        sock.close()
        done(state)

    def on_ready(_events: int) -> None:
        finish(_state_of(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)))

    timer = loop.call_later(timeout_s, lambda: finish(ListenerState.UNKNOWN))
    loop.watch(sock, selectors.EVENT_WRITE, on_ready)


def _state_of(error_number: int | None) -> ListenerState:
    if error_number == 0:
        return ListenerState.LISTENING
    if error_number == errno.ECONNREFUSED:
        return ListenerState.REFUSED
    return ListenerState.UNKNOWN
