"""Listener and outgoing connections for authenticated messages between processes."""

from __future__ import annotations

import errno
import selectors
import socket
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from loguru import logger

from berylnotch.net.sockets import ACCEPT_RETRY_S
from berylnotch.transport.channel import Channel, Handler
from berylnotch.transport.errors import ConnectionLostError
from berylnotch.transport.session import KeyLookup, Session
from berylnotch.util.address import Address, parse_address
from berylnotch.util.loop import Loop

#: Connections that may wait to be accepted.
_BACKLOG = 512
#: Back-off in seconds before the next attempt to connect to an address.
_RECONNECT_DELAY_S = 0.25
#: Time limit of the handshake in seconds.
_HANDSHAKE_TIMEOUT_S = 5.0


class Listener:
    """Listening socket for authenticated connections from other processes.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    address : Address
        Address to listen on; port 0 selects a free port.
    key_of : callable
        Returns the key of an identity.
    handler : callable
        Called with each message that is not a reply, on authenticated connections.
    """

    def __init__(
        self, loop: Loop, address: Address, key_of: KeyLookup, handler: Handler
    ) -> None:
        self._loop = loop
        self._key_of = key_of
        self._handler = handler
        self._channels: set[Channel] = set()
        self._is_closed = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address.pair)
        self._sock.listen(_BACKLOG)
        self._sock.setblocking(False)

    @property
    def address(self) -> Address:
        """Address that the socket listens on, with the actual port."""
        host, port = self._sock.getsockname()
        return Address(host, port)

    def start(self) -> None:
        """Start to accept connections."""
        self._loop.call_soon(self._watch)

    def close(self) -> None:
        """Stop listening and close the accepted connections."""
        self._loop.call_soon(self._close)

    def _watch(self) -> None:
        if not self._is_closed:
            self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def _close(self) -> None:
        self._is_closed = True
        self._loop.watch(self._sock, 0, self._accept)
        self._sock.close()
        for channel in tuple(self._channels):
            channel.close("shutting down")

    def _accept(self, _events: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return
        except OSError:
            self._loop.watch(self._sock, 0, self._accept)
            self._loop.call_later(ACCEPT_RETRY_S, self._watch)
            raise
        _configure_socket(sock)
        session = Session("", self._key_of, accepting=True)
        channel = Channel(
            self._loop, sock, session, self._handler, self._on_channel_closed
        )
        self._channels.add(channel)
        channel.start()
        self._loop.call_later(
            _HANDSHAKE_TIMEOUT_S, lambda: self._check_handshake(channel)
        )

    def _check_handshake(self, channel: Channel) -> None:
        if not channel.is_open:
            channel.close("handshake not completed in time")

    def _on_channel_closed(self, channel: Channel, reason: str) -> None:
        self._channels.discard(channel)
        logger.debug("event=connection_closed reason={!r}", reason)


class Peers:
    """Outgoing connections by address, each opened on first use.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    identity : str
        Identity of this process.
    key_of : callable
        Returns the key of an identity.
    source : str, default=""
        Local IP address to connect from; chosen by the kernel if empty.
    """

    def __init__(
        self, loop: Loop, identity: str, key_of: KeyLookup, source: str = ""
    ) -> None:
        self._loop = loop
        self._source = source
        self._identity = identity
        self._key_of = key_of
        self._channels: dict[str, Channel] = {}
        self._retry_at: dict[str, float] = {}

    def close(self) -> None:
        """Close all connections."""
        self._loop.call_soon(self._close)

    def send(self, address: str, message: object) -> None:
        """Send a one-way message; it is dropped if no connection can be opened."""
        self._run_in_loop(lambda: self._send(address, message))

    def call(self, address: str, message: object, timeout_s: float) -> Future[Any]:
        """Send a request and return a future of the reply.

        The future fails with a `TransportError` if no reply arrives. Its callbacks run
        in the loop's thread.
        """
        future: Future[Any] = Future()
        self._run_in_loop(lambda: self._call(address, message, timeout_s, future))
        return future

    def _run_in_loop(self, function: Callable[[], None]) -> None:
        if self._loop.in_thread:
            function()
        else:
            self._loop.call_soon(function)

    def _close(self) -> None:
        for channel in tuple(self._channels.values()):
            channel.close("shutting down")

    def _send(self, address: str, message: object) -> None:
        channel = self._find_or_connect(address)
        if channel is not None:
            channel.send(message)

    def _call(
        self, address: str, message: object, timeout_s: float, future: Future[Any]
    ) -> None:
        channel = self._find_or_connect(address)
        if channel is None:
            # The call fails from a timer, so that a retry in a callback of the future
            # does not recurse.
            self._loop.call_later(
                _RECONNECT_DELAY_S, lambda: _fail_call(future, address)
            )
            return
        channel.call(message, timeout_s, future)

    def _find_or_connect(self, address: str) -> Channel | None:
        channel = self._channels.get(address)
        if channel is not None:
            return channel
        if time.monotonic() < self._retry_at.get(address, 0.0):
            return None
        return self._connect(address)

    def _connect(self, address: str) -> Channel | None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _configure_socket(sock)
        if self._source:
            sock.bind((self._source, 0))
        status = sock.connect_ex(parse_address(address).pair)
        if status not in (0, errno.EINPROGRESS):
            sock.close()
            self._retry_at[address] = time.monotonic() + _RECONNECT_DELAY_S
            return None
        session = Session(self._identity, self._key_of, accepting=False)
        channel = Channel(
            self._loop,
            sock,
            session,
            _ignore_request,
            lambda _channel, _reason: self._on_connection_lost(address),
        )
        self._channels[address] = channel
        channel.start()
        self._loop.call_later(
            _HANDSHAKE_TIMEOUT_S, lambda: _close_without_handshake(channel)
        )
        return channel

    def _on_connection_lost(self, address: str) -> None:
        self._channels.pop(address, None)
        self._retry_at[address] = time.monotonic() + _RECONNECT_DELAY_S


def _close_without_handshake(channel: Channel) -> None:
    if not channel.is_open:
        channel.close("handshake not completed in time")


def _configure_socket(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _fail_call(future: Future[Any], address: str) -> None:
    future.set_exception(ConnectionLostError(f"no connection to {address}"))


def _ignore_request(_identity: str, _message: Any, _reply: Any) -> None:
    """Ignore requests that the accepting side sends on an outgoing connection."""
