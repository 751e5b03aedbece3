"""A network link that a test can cut, between processes on loopback.

Processes that listen on different addresses of 127.0.0.0/8 also connect from
them, so that a link knows who connects.
"""

from __future__ import annotations

import selectors
import socket

from berylnotch.util.address import Address, parse_address
from berylnotch.util.loop import Loop

_READ_BYTES = 65536


class Link:
    """Forwards connections to one process, unless their source is cut off.

    Bytes of a source that is cut off are held back, as on a network partition:
    nobody is told.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    target : str
        ``IP:port`` of the process.
    """

    def __init__(self, loop: Loop, target: str) -> None:
        self._loop = loop
        self._target = parse_address(target)
        self._cut: set[str] = set()
        self._flows: list[_Flow] = []
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._sock.setblocking(False)

    @property
    def address(self) -> str:
        """Address under which others reach the process."""
        host, port = self._sock.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        """Forward connections."""
        self._loop.call_soon(
            lambda: self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)
        )

    def cut(self, source: str) -> None:
        """Hold back everything between a source's IP and the process."""
        self._loop.call_soon(lambda: self._set(source, True))

    def heal(self, source: str) -> None:
        """Forward again."""
        self._loop.call_soon(lambda: self._set(source, False))

    def _set(self, source: str, is_cut: bool) -> None:
        if is_cut:
            self._cut.add(source)
        else:
            self._cut.discard(source)
        for flow in self._flows:
            if flow.source == source:
                flow.set_held(is_cut)

    def _accept(self, _events: int) -> None:
        sock, (source, _port) = self._sock.accept()
        flow = _Flow(self._loop, sock, source, self._target)
        self._flows.append(flow)
        flow.set_held(source in self._cut)


class _Flow:
    """One forwarded connection."""

    def __init__(
        self, loop: Loop, sock: socket.socket, source: str, target: Address
    ) -> None:
        self.source = source
        self._loop = loop
        self._near = sock
        self._far = socket.create_connection(target.pair)
        self._is_open = True

    def set_held(self, is_held: bool) -> None:
        """Stop reading both ends, or read them again."""
        if not self._is_open:
            return
        events = 0 if is_held else selectors.EVENT_READ
        self._loop.watch(self._near, events, self._from_near)
        self._loop.watch(self._far, events, self._from_far)

    def _from_near(self, _events: int) -> None:
        self._copy(self._near, self._far)

    def _from_far(self, _events: int) -> None:
        self._copy(self._far, self._near)

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            data = source.recv(_READ_BYTES)
            if data:
                sink.sendall(data)
                return
        except OSError:
            pass
        self._is_open = False
        self._loop.watch(self._near, 0, self._from_near)
        self._loop.watch(self._far, 0, self._from_far)
        self._near.close()
        self._far.close()
