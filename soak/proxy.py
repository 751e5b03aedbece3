"""Loopback proxy that delays, resets, cuts one way or silences connections."""

from __future__ import annotations

import selectors
import socket

from berylnotch.net.sockets import Acceptor
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

#: What a proxy does to the bytes; ``ok`` passes them on.
#: ``one_way`` drops what the target sends, ``deaf`` what is sent to it.
MODES = ("ok", "delay", "reset", "one_way", "deaf", "silence")

#: Delay of each piece in the mode ``delay``, in seconds.
DELAY_S = 0.15

#: Longest wait for the target to accept, in seconds.
CONNECT_S = 1.0

_READ_BYTES = 64 * 1024


class FaultProxy:
    """Passes connections on to one address, with a fault that can change.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    target : Address
        Where connections are passed on to.
    listen : Address, optional
        Where they are accepted; any port of 127.0.0.1 by default.
    """

    def __init__(
        self, loop: Loop, target: Address, listen: Address = Address("127.0.0.1", 0)
    ) -> None:
        self.mode = "ok"
        self._loop = loop
        self._target = target
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._acceptor = Acceptor(loop, listen, self._accept)

    @property
    def address(self) -> Address:
        """Where to connect instead of the target."""
        return self._acceptor.address

    def start(self) -> None:
        """Accept connections."""
        self._acceptor.start()

    def close(self) -> None:
        """Accept no more, and end what is open."""
        self._acceptor.close()
        for pair in tuple(self._pairs):
            self._end(pair)

    def set_mode(self, mode: str) -> None:
        """Change the fault; ``reset`` also ends what is open."""
        self.mode = mode
        if mode == "reset":
            for pair in tuple(self._pairs):
                self._end(pair)

    def _accept(self, sock: socket.socket) -> None:
        if self.mode == "reset":
            sock.close()
            return
        try:
            other = socket.create_connection(self._target.pair, timeout=CONNECT_S)
        except OSError:
            sock.close()
            return
        other.setblocking(False)
        pair = (sock, other)
        self._pairs.add(pair)
        self._watch(pair, sock, other, is_answer=False)
        self._watch(pair, other, sock, is_answer=True)

    def _watch(self, pair, source, sink, is_answer) -> None:
        def ready(_events: int) -> None:
            self._move(pair, source, sink, is_answer)

        self._loop.watch(source, selectors.EVENT_READ, ready)

    def _move(self, pair, source, sink, is_answer) -> None:
        if pair not in self._pairs:
            return
        try:
            data = source.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end(pair)
        elif self._drops(is_answer):
            return
        elif self.mode == "delay":
            self._loop.call_later(DELAY_S, lambda: self._send(pair, sink, data))
        else:
            self._send(pair, sink, data)

    def _drops(self, is_answer: bool) -> bool:
        return self.mode == "silence" or self.mode == (
            "one_way" if is_answer else "deaf"
        )

    def _send(self, pair, sink, data) -> None:
        if pair not in self._pairs:
            return
        try:
            sink.setblocking(True)
            sink.settimeout(1)
            sink.sendall(data)
            sink.setblocking(False)
        except OSError:
            self._end(pair)

    def _end(self, pair) -> None:
        self._pairs.discard(pair)
        for sock in pair:
            self._loop.watch(sock, 0, lambda _events: None)
            sock.close()
