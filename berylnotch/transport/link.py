"""A connection between two processes of a fleet, with heartbeats."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from attrs import frozen

from berylnotch.net.sockets import connect, detect_dead_peer
from berylnotch.transport.channel import Channel, Reply
from berylnotch.transport.plain import PlainSession
from berylnotch.util.address import Address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

#: First word of the reason of a link that ended since nothing was heard.
SILENT = "silent"


@frozen
class LinkSettings:
    """Timing of a link, in seconds.

    Parameters
    ----------
    heartbeat_s : float, default=0.25
        Pause after which a heartbeat is sent; a third of `silence_s`, so that one
        lost packet does not end a link.
    silence_s : float, default=0.9
        Silence of the other side after which a link is given up. It lies below
        the shortest time in which a VM counts as being in touch.
    connect_s : float, default=0.3
        Longest wait for a connection. A packet to a VM that was not up yet is sent
        again after a second only, so that a new connection is sooner there.
    retry_s : float, default=0.2
        Pause before a link that ended is opened again.
    """

    heartbeat_s: float = 0.25
    silence_s: float = 0.9
    connect_s: float = 0.3
    retry_s: float = 0.2


@frozen
class Heartbeat:
    """Sent when nothing else was."""


#: Takes a message of the other side.
LinkHandler = Callable[["Link", Any], None]


class Link:
    """An open connection; everything runs in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    sock : socket.socket
        Connected or connecting non-blocking socket.
    peer : str
        Address of the other side.
    classes : tuple of type
        Messages that are taken.
    handler : callable
        Gets each message.
    on_close : callable
        Called once with the reason when the link ends.
    settings : LinkSettings
        Timing.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        peer: str,
        classes: tuple[type, ...],
        handler: LinkHandler,
        on_close: Callable[[Link, str], None],
        settings: LinkSettings,
    ) -> None:
        self.peer = peer
        #: Whatever the owner wants to know about the other side.
        self.context: Any = None
        self._loop = loop
        self._handler = handler
        self._on_close = on_close
        self._settings = settings
        self._heard_at = boot_time()
        self._sent_at = self._heard_at
        session = PlainSession(peer, (Heartbeat, *classes))
        self._channel = Channel(loop, sock, session, self._receive, self._closed)

    @property
    def is_closed(self) -> bool:
        """Whether the link has ended."""
        return self._channel.is_closed

    @property
    def heard_at(self) -> float:
        """Boot time of the newest message."""
        return self._heard_at

    def start(self) -> None:
        """Serve the socket."""
        self._channel.start()
        self.send(Heartbeat())
        self._loop.call_later(self._settings.heartbeat_s / 2, self._beat)
        self._loop.call_later(self._settings.connect_s, self._check_connected)

    def close(self, reason: str = "closed") -> None:
        """End the link."""
        self._channel.close(reason)

    def send(self, message: object) -> None:
        """Send a message, or the bytes of one that is packed already."""
        self._sent_at = boot_time()
        self._channel.send(message)

    def _receive(self, _identity: str, message: Any, _reply: Reply) -> None:
        self._heard_at = boot_time()
        if not isinstance(message, Heartbeat):
            self._handler(self, message)

    def _check_connected(self) -> None:
        if not self._channel.has_sent:
            self.close(f"not connected within {self._settings.connect_s:g} s")

    def _beat(self) -> None:
        if self.is_closed:
            return
        now = boot_time()
        if now - self._heard_at > self._settings.silence_s:
            self.close(f"{SILENT} for {now - self._heard_at:.1f} s")
            return
        if now - self._sent_at >= self._settings.heartbeat_s:
            self.send(Heartbeat())
        self._loop.call_later(self._settings.heartbeat_s / 2, self._beat)

    def _closed(self, _channel: Channel, reason: str) -> None:
        self._on_close(self, reason)


def open_link(
    loop: Loop,
    address: Address,
    classes: tuple[type, ...],
    handler: LinkHandler,
    on_close: Callable[[Link, str], None],
    settings: LinkSettings,
) -> Link:
    """Begin to connect to another process.

    Raises
    ------
    OSError
        If the connection failed at once.
    """
    sock = connect(address, settings.silence_s)
    return Link(loop, sock, str(address), classes, handler, on_close, settings)


def accept_link(
    loop: Loop,
    sock: socket.socket,
    classes: tuple[type, ...],
    handler: LinkHandler,
    on_close: Callable[[Link, str], None],
    settings: LinkSettings,
) -> Link:
    """Serve a connection that another process opened."""
    detect_dead_peer(sock, settings.silence_s)
    host, port = sock.getpeername()
    peer = str(Address(host, port))
    return Link(loop, sock, peer, classes, handler, on_close, settings)
