"""Listening socket and outgoing connections to other processes."""

from __future__ import annotations

import errno
import selectors
import socket
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import Any

from loguru import logger

from berylnotch.transport.channel import Channel, Handler
from berylnotch.transport.errors import ConnectionLostError
from berylnotch.transport.session import KeyLookup, Session
from berylnotch.util.address import Address, parse_address
from berylnotch.util.loop import Loop

_BACKLOG = 512
#: Seconds before a connection that could not be made is tried again.
_RECONNECT_S = 0.25
#: Seconds in which a stranger has to prove its identity.
_HANDSHAKE_S = 5.0


class Listener:
    """Accepts connections from other processes.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    address : Address
        Where to listen; port 0 picks a free one.
    key_of : callable
        Key of an identity.
    handler : callable
        Gets each message of an authenticated connection.
    """

    def __init__(
        self, loop: Loop, address: Address, key_of: KeyLookup, handler: Handler
    ) -> None:
        self._loop = loop
        self._key_of = key_of
        self._handler = handler
        self._channels: set[Channel] = set()
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.bind(address.pair)
        self._sock.listen(_BACKLOG)
        self._sock.setblocking(False)

    @property
    def address(self) -> Address:
        """Address in use, with the port that was picked."""
        host, port = self._sock.getsockname()
        return Address(host, port)

    def start(self) -> None:
        """Accept connections."""
        self._loop.call_soon(
            lambda: self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)
        )

    def close(self) -> None:
        """Stop listening and end the accepted connections."""
        self._loop.call_soon(self._close)

    def _close(self) -> None:
        self._loop.watch(self._sock, 0, self._accept)
        self._sock.close()
        for channel in tuple(self._channels):
            channel.close("shutting down")

    def _accept(self, _events: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except OSError:
            return
        _configure(sock)
        session = Session("", self._key_of, accepting=True)
        channel = Channel(self._loop, sock, session, self._handler, self._forget)
        self._channels.add(channel)
        channel.start()
        self._loop.call_later(_HANDSHAKE_S, lambda: self._check_open(channel))

    def _check_open(self, channel: Channel) -> None:
        if not channel.is_open:
            channel.close("no handshake in time")

    def _forget(self, channel: Channel, reason: str) -> None:
        self._channels.discard(channel)
        logger.debug("event=connection_closed reason={!r}", reason)


class Peers:
    """Outgoing connections by address, made when first used.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    identity : str
        Identity of this process.
    key_of : callable
        Key of an identity.
    source : str, default=""
        IP number to connect from; any if empty.
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
        """End all connections."""
        self._loop.call_soon(self._close)

    def send(self, address: str, message: object) -> None:
        """Send a one-way message; it is lost if there is no connection."""
        self._in_loop(lambda: self._send(address, message))

    def call(self, address: str, message: object, timeout_s: float) -> Future[Any]:
        """Send a request and return its future answer.

        The future fails with a `TransportError` if none comes. Its callbacks
        run in the loop's thread.
        """
        future: Future[Any] = Future()
        self._in_loop(lambda: self._call(address, message, timeout_s, future))
        return future

    def _in_loop(self, call: Callable[[], None]) -> None:
        if self._loop.in_thread:
            call()
        else:
            self._loop.call_soon(call)

    def _close(self) -> None:
        for channel in tuple(self._channels.values()):
            channel.close("shutting down")

    def _send(self, address: str, message: object) -> None:
        channel = self._channel(address)
        if channel is not None:
            channel.send(message)

    def _call(
        self, address: str, message: object, timeout_s: float, future: Future[Any]
    ) -> None:
        channel = self._channel(address)
        if channel is None:
            # Fail through the loop, so that a retry in the callback cannot recurse.
            self._loop.call_later(_RECONNECT_S, lambda: _fail(future, address))
            return
        channel.call(message, timeout_s, future)

    def _channel(self, address: str) -> Channel | None:
        channel = self._channels.get(address)
        if channel is not None:
            return channel
        if time.monotonic() < self._retry_at.get(address, 0.0):
            return None
        return self._connect(address)

    def _connect(self, address: str) -> Channel | None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _configure(sock)
        if self._source:
            sock.bind((self._source, 0))
        status = sock.connect_ex(parse_address(address).pair)
        if status not in (0, errno.EINPROGRESS):
            sock.close()
            self._retry_at[address] = time.monotonic() + _RECONNECT_S
            return None
        session = Session(self._identity, self._key_of, accepting=False)
        channel = Channel(
            self._loop,
            sock,
            session,
            _refuse_request,
            lambda _channel, _reason: self._lost(address),
        )
        self._channels[address] = channel
        channel.start()
        self._loop.call_later(_HANDSHAKE_S, lambda: _close_unless_open(channel))
        return channel

    def _lost(self, address: str) -> None:
        self._channels.pop(address, None)
        self._retry_at[address] = time.monotonic() + _RECONNECT_S


def _close_unless_open(channel: Channel) -> None:
    if not channel.is_open:
        channel.close("no handshake in time")


def _configure(sock: socket.socket) -> None:
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _fail(future: Future[Any], address: str) -> None:
    future.set_exception(ConnectionLostError(f"no connection to {address}"))


def _refuse_request(_identity: str, _message: Any, _reply: Any) -> None:
    """Ignore requests on a connection that this process made."""
