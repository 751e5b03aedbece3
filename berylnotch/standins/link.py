"""Forwarding proxy that simulates network partitions between processes on loopback.

A process that listens on an address of 127.0.0.0/8 also connects from that address,
so that the proxy identifies the process by the source address of its connections.
"""

from __future__ import annotations

import selectors
import socket

from berylnotch.util.address import Address, parse_address
from berylnotch.util.loop import Loop

_READ_BYTES = 65536


class Link:
    """Forwards connections to one process, except those of partitioned sources.

    The bytes of a partitioned source stay unread in the socket buffers. Neither end
    gets an error, as in a real network partition.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    target : str
        ``IP:port`` of the process that connections are forwarded to.
    """

    def __init__(self, loop: Loop, target: str) -> None:
        self._loop = loop
        self._target = parse_address(target)
        self._cut_sources: set[str] = set()
        self._connections: list[_ForwardedConnection] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setblocking(False)

    @property
    def address(self) -> str:
        """``IP:port`` at which other processes reach the target through the link."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to accept and forward connections."""
        self._loop.call_soon(
            lambda: self._loop.watch(self._listener, selectors.EVENT_READ, self._accept)
        )

    def cut(self, source: str) -> None:
        """Stop forwarding between the IP address ``source`` and the target."""
        self._loop.call_soon(lambda: self._set_cut(source, True))

    def heal(self, source: str) -> None:
        """Forward the connections of ``source`` again."""
        self._loop.call_soon(lambda: self._set_cut(source, False))

    def _set_cut(self, source: str, is_cut: bool) -> None:
        if is_cut:
            self._cut_sources.add(source)
        else:
            self._cut_sources.discard(source)
        for connection in self._connections:
            if connection.source == source:
                connection.set_paused(is_cut)

    def _accept(self, _events: int) -> None:
        sock, (source, _port) = self._listener.accept()
        connection = _ForwardedConnection(self._loop, sock, source, self._target)
        self._connections.append(connection)
        connection.set_paused(source in self._cut_sources)


class _ForwardedConnection:
    """Connection pair of a client and the target."""

    def __init__(
        self, loop: Loop, client_sock: socket.socket, source: str, target: Address
    ) -> None:
        self.source = source
        self._loop = loop
        self._client_sock = client_sock
        self._server_sock = socket.create_connection(target.pair)
        self._is_open = True

    def set_paused(self, is_paused: bool) -> None:
        """Stop or resume reading from both sockets."""
        if not self._is_open:
            return
        events = 0 if is_paused else selectors.EVENT_READ
        self._loop.watch(self._client_sock, events, self._on_client_readable)
        self._loop.watch(self._server_sock, events, self._on_server_readable)

    def _on_client_readable(self, _events: int) -> None:
        self._forward(self._client_sock, self._server_sock)

    def _on_server_readable(self, _events: int) -> None:
        self._forward(self._server_sock, self._client_sock)

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            data = source.recv(_READ_BYTES)
            if data:
                sink.sendall(data)
                return
        except OSError:
            pass
        self._is_open = False
        self._loop.watch(self._client_sock, 0, self._on_client_readable)
        self._loop.watch(self._server_sock, 0, self._on_server_readable)
        self._client_sock.close()
        self._server_sock.close()
