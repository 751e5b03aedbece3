"""Sockets of the event loop: listening, connecting, options."""

from __future__ import annotations

import selectors
import socket
from collections.abc import Callable

from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

#: Connections that may wait to be accepted.
BACKLOG = 512

#: Connections accepted before other sockets get their turn.
_ACCEPTS_AT_ONCE = 32

#: Seconds without traffic after which the kernel asks whether the peer is there,
#: and seconds between two such questions.
_KEEPALIVE_S = 1

#: Unanswered questions after which the kernel ends a connection.
_KEEPALIVE_PROBES = 2


def detect_dead_peer(sock: socket.socket, timeout_s: float) -> None:
    """Let the kernel end a connection whose peer fell silent for this long."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def connect(address: Address, dead_after_s: float) -> socket.socket:
    """Return a non-blocking socket that begins to connect.

    Raises
    ------
    OSError
        If the connection failed at once.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        detect_dead_peer(sock, dead_after_s)
        sock.connect(address.pair)
    except BlockingIOError:
        return sock
    except OSError:
        sock.close()
        raise
    return sock


class Acceptor:
    """Listening socket that hands each accepted connection on.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Where to listen; port 0 picks a free one.
    on_accept : callable
        Gets each accepted, non-blocking socket.
    """

    def __init__(
        self, loop: Loop, address: Address, on_accept: Callable[[socket.socket], None]
    ) -> None:
        self._loop = loop
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address.pair)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._is_open = False

    @property
    def address(self) -> Address:
        """Address in use."""
        host, port = self._sock.getsockname()
        return Address(host, port)

    def start(self) -> None:
        """Accept connections."""
        self._is_open = True
        self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def close(self) -> None:
        """Stop listening."""
        if self._is_open:
            self._is_open = False
            self._loop.watch(self._sock, 0, self._accept)
        self._sock.close()

    def _accept(self, _events: int) -> None:
        for _ in range(_ACCEPTS_AT_ONCE):
            try:
                sock, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            sock.setblocking(False)
            self._on_accept(sock)
