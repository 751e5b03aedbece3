"""Loopback proxy that delays, resets or drops the traffic of connections."""

from __future__ import annotations

import selectors
import socket
from collections import Counter

from berylnotch.net.sockets import Acceptor
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

#: Fault modes of a proxy. ``ok`` forwards all bytes, ``delay`` forwards them late,
#: ``reset`` closes connections, ``one_way`` drops the bytes from the target, ``deaf``
#: drops the bytes to the target, and ``silence`` drops both.
MODES = ("ok", "delay", "reset", "one_way", "deaf", "silence")

#: Delay of each chunk of data in mode ``delay``, in seconds.
DELAY_S = 0.15

#: Time-out for connecting to the target, in seconds.
CONNECT_TIMEOUT_S = 1.0

_READ_BYTES = 64 * 1024


class FaultProxy:
    """Forwards connections to one address, with a fault mode that can change.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    target : Address
        Address that connections are forwarded to.
    listen : Address, optional
        Address that connections are accepted at; any port of 127.0.0.1 by default.
    """

    def __init__(
        self, loop: Loop, target: Address, listen: Address = Address("127.0.0.1", 0)
    ) -> None:
        self.mode = "ok"
        self._loop = loop
        self._target = target
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        #: Sockets to which bytes of their connection were not forwarded.
        self._lossy: set[socket.socket] = set()
        #: Number of delayed chunks of data by the socket that they go to.
        self._delayed: Counter[socket.socket] = Counter()
        self._acceptor = Acceptor(loop, listen, self._accept)

    @property
    def address(self) -> Address:
        """Address to connect to instead of the target."""
        return self._acceptor.address

    def start(self) -> None:
        """Start to accept connections."""
        self._acceptor.start()

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._acceptor.close()
        for pair in tuple(self._pairs):
            self._close_pair(pair)

    def set_mode(self, mode: str) -> None:
        """Set the fault mode; ``reset`` also closes the open connections."""
        self.mode = mode
        if mode == "reset":
            for pair in tuple(self._pairs):
                self._close_pair(pair)

    def _accept(self, client_socket: socket.socket) -> None:
        if self.mode == "reset":
            client_socket.close()
            return
        try:
            target_socket = socket.create_connection(
                self._target.pair, timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            client_socket.close()
            return
        target_socket.setblocking(False)
        pair = (client_socket, target_socket)
        self._pairs.add(pair)
        self._watch(pair, client_socket, target_socket, is_from_target=False)
        self._watch(pair, target_socket, client_socket, is_from_target=True)

    def _watch(self, pair, source, sink, is_from_target) -> None:
        def on_readable(_events: int) -> None:
            self._forward(pair, source, sink, is_from_target)

        self._loop.watch(source, selectors.EVENT_READ, on_readable)

    def _forward(self, pair, source, sink, is_from_target) -> None:
        if pair not in self._pairs:
            return
        try:
            data = source.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._close_pair(pair)
        elif self._is_dropping(is_from_target):
            self._lossy.add(sink)
        elif sink in self._lossy:
            # No connection goes on without the bytes in its middle.
            self._close_pair(pair)
        elif self.mode == "delay" or self._delayed[sink]:
            # Bytes stay in order when the mode changes.
            self._delayed[sink] += 1
            self._loop.call_later(DELAY_S, lambda: self._send_late(pair, sink, data))
        else:
            self._send_to_sink(pair, sink, data)

    def _is_dropping(self, is_from_target: bool) -> bool:
        return self.mode == "silence" or self.mode == (
            "one_way" if is_from_target else "deaf"
        )

    def _send_late(self, pair, sink, data) -> None:
        self._delayed[sink] -= 1
        self._send_to_sink(pair, sink, data)

    def _send_to_sink(self, pair, sink, data) -> None:
        if pair not in self._pairs:
            return
        try:
            sink.setblocking(True)
            sink.settimeout(1)
            sink.sendall(data)
            sink.setblocking(False)
        except OSError:
            self._close_pair(pair)

    def _close_pair(self, pair) -> None:
        self._pairs.discard(pair)
        for sock in pair:
            self._lossy.discard(sock)
            self._loop.watch(sock, 0, lambda _events: None)
            sock.close()
