"""Connection with heartbeats between two processes of a fleet."""

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

#: First word of the reason for closing a link whose peer sent nothing for too long.
SILENT = "silent"


@frozen
class LinkSettings:
    """Timing of a link, in seconds.

    Parameters
    ----------
    heartbeat_s : float, default=0.25
        Time without a sent message after which a heartbeat is sent. The default is
        under a third of `silence_s`, so that one lost packet does not end a link.
    silence_s : float, default=0.9
        Time without a received message after which a link is closed. A VM
        counts as unreachable only after a longer time without a message, so the
        default closes a link before its peer counts as unreachable.
    connect_s : float, default=0.3
        Maximum time until the connection is established. If the VM was not up yet when
        the first packet was sent, the kernel resends the packet only after one second;
        a new connection reaches the VM sooner.
    retry_s : float, default=0.2
        Back-off before a closed link is opened again.
    """

    heartbeat_s: float = 0.25
    silence_s: float = 0.9
    connect_s: float = 0.3
    retry_s: float = 0.2


@frozen
class Heartbeat:
    """Message that is sent if no other message was sent for `heartbeat_s`."""


#: Handles a message of the peer.
LinkHandler = Callable[["Link", Any], None]


class Link:
    """Connection to a peer; every method has to be called in the loop's thread.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    sock : socket.socket
        Connected or connecting non-blocking socket.
    peer : str
        Address of the peer.
    classes : tuple of type
        Classes of the messages that the peer may send, besides `Heartbeat`.
    handler : callable
        Called with the link and each message other than a heartbeat.
    on_close : callable
        Called once with the link and the reason when the link ends.
    settings : LinkSettings
        Time limits and intervals.
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
        #: Data about the peer, stored by the code that opened or accepted the link.
        self.context: Any = None
        self._loop = loop
        self._handler = handler
        self._on_close = on_close
        self._settings = settings
        self._last_received_at = boot_time()
        self._last_sent_at = self._last_received_at
        session = PlainSession(peer, (Heartbeat, *classes))
        self._channel = Channel(
            loop, sock, session, self._on_message, self._on_channel_closed
        )

    @property
    def is_closed(self) -> bool:
        """Whether the link is closed."""
        return self._channel.is_closed

    @property
    def heard_at(self) -> float:
        """Time of the last received message, in seconds since boot."""
        return self._last_received_at

    def start(self) -> None:
        """Register the socket with the loop and start the heartbeats."""
        self._channel.start()
        self.send(Heartbeat())
        self._loop.call_later(self._settings.heartbeat_s / 2, self._check_heartbeat)
        self._loop.call_later(self._settings.connect_s, self._check_connected)

    def close(self, reason: str = "closed") -> None:
        """Close the link."""
        self._channel.close(reason)

    def send(self, message: object) -> None:
        """Send a message, given as an object or as its packed bytes."""
        self._last_sent_at = boot_time()
        self._channel.send(message)

    def _on_message(self, _identity: str, message: Any, _reply: Reply) -> None:
        self._last_received_at = boot_time()
        if not isinstance(message, Heartbeat):
            self._handler(self, message)

    def _check_connected(self) -> None:
        if not self._channel.has_sent:
            self.close(f"not connected within {self._settings.connect_s:g} s")

    def _check_heartbeat(self) -> None:
        if self.is_closed:
            return
        now = boot_time()
        if now - self._last_received_at > self._settings.silence_s:
            self.close(f"{SILENT} for {now - self._last_received_at:.1f} s")
            return
        if now - self._last_sent_at >= self._settings.heartbeat_s:
            self.send(Heartbeat())
        self._loop.call_later(self._settings.heartbeat_s / 2, self._check_heartbeat)

    def _on_channel_closed(self, _channel: Channel, reason: str) -> None:
        self._on_close(self, reason)


def open_link(
    loop: Loop,
    address: Address,
    classes: tuple[type, ...],
    handler: LinkHandler,
    on_close: Callable[[Link, str], None],
    settings: LinkSettings,
) -> Link:
    """Start to connect to another process.

    Raises
    ------
    OSError
        If the connection attempt failed immediately.
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
    """Return the link of a connection that another process opened."""
    detect_dead_peer(sock, settings.silence_s)
    host, port = sock.getpeername()
    peer = str(Address(host, port))
    return Link(loop, sock, peer, classes, handler, on_close, settings)
