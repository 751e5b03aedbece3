"""Creation of non-blocking TCP sockets, and detection of dead peers."""

from __future__ import annotations

import ctypes
import errno
import fcntl
import selectors
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress

from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

#: Maximum number of established connections that wait to be accepted.
BACKLOG = 512

#: Maximum number of connections accepted per readiness event, so that a burst does not
#: delay other sockets.
_MAX_ACCEPTS_PER_EVENT = 32

#: Seconds without further attempts after an error of accepting, such as a lack of file
#: descriptors. Without a pause the loop would try again all the time.
ACCEPT_RETRY_S = 0.1

#: Idle time in seconds before the first TCP keep-alive probe, and interval in seconds
#: between probes.
_KEEPALIVE_INTERVAL_S = 1

#: Number of unanswered keep-alive probes after which the kernel ends a connection.
_KEEPALIVE_PROBES = 2

#: Size of the kernel's receive buffer of a connection to a target, in bytes. Without it
#: the kernel buffers several MiB of a response that this process does not read.
RECEIVE_BUFFER_BYTES = 128 * 1024

#: Receive buffer of a caller's connection in bytes; Linux doubles it and counts the
#: overhead of segments. Bytes that wait in a socket count as memory of the process, so
#: this bounds them for thousands of connections.
CALLER_BUFFER_BYTES = 32 * 1024

#: Socket option of Linux that attaches a packet filter (``asm-generic/socket.h``).
_SO_ATTACH_FILTER = 26

#: Packet filter that drops the segments with the flag SYN, which is in byte 13 of the
#: TCP header, and passes all others. Each instruction has a code, two jump offsets and
#: a value.
_SYN_FILTER = (
    (0x30, 0, 0, 13),  # load byte 13
    (0x45, 0, 1, 0x02),  # continue if SYN is set, else skip one
    (0x06, 0, 0, 0),  # drop
    (0x06, 0, 0, 0xFFFFFFFF),  # pass
)


#: Errors of opening a connection for which this process, not its peer, is the cause.
_LOCAL_ERRORS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
)


def unacknowledged_bytes(sock: socket.socket | int) -> int:
    """Return how many sent bytes the peer's kernel has not acknowledged.

    Parameters
    ----------
    sock : socket.socket or int
        TCP socket, or its descriptor.
    """
    size = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(struct.calcsize("i")))
    return struct.unpack("i", size)[0]


def is_local_error(error: OSError) -> bool:
    """Whether this process had no resources left to open a connection."""
    return error.errno in _LOCAL_ERRORS


def detect_dead_peer(sock: socket.socket, timeout_s: float) -> None:
    """Make the kernel end the connection if the peer stops acknowledging data.

    This function also disables Nagle's algorithm, so that the socket sends small
    segments without delay.

    Parameters
    ----------
    sock : socket.socket
        TCP socket.
    timeout_s : float
        Maximum time in seconds for which sent data may stay unacknowledged.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(timeout_s * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)


def ignore_new_connections(sock: socket.socket) -> None:
    """Make the kernel ignore attempts to connect to a listening socket.

    A caller's kernel tries again after about a second, and is refused if the port is
    closed by then. Connections that are established already can still be accepted.

    Raises
    ------
    OSError
        If the kernel has no packet filters for sockets.
    """
    instructions = b"".join(struct.pack("=HBBI", *line) for line in _SYN_FILTER)
    buffer = ctypes.create_string_buffer(instructions)
    program = struct.pack("@HP", len(_SYN_FILTER), ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


def connect(address: Address, peer_timeout_s: float) -> socket.socket:
    """Return a non-blocking socket whose connection is being established.

    Raises
    ------
    OSError
        If the connection attempt failed immediately.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        detect_dead_peer(sock, peer_timeout_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.connect(address.pair)
    except BlockingIOError:
        return sock
    except OSError:
        sock.close()
        raise
    return sock


class Acceptor:
    """Listening socket that passes each accepted connection to a callback.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Address to listen on; port 0 selects a free port.
    on_accept : callable
        Called with each accepted socket, which is non-blocking.
    buffer_bytes : int, optional
        Size of the receive buffers of accepted sockets; the system decides without it.
        The listening socket hands it on, so that no window exceeds it. A buffer that is
        made smaller than a window that was advertised drops segments, and the peer
        repeats them after times that double.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        on_accept: Callable[[socket.socket], None],
        buffer_bytes: int | None = None,
    ) -> None:
        self._loop = loop
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if buffer_bytes is not None:
            with suppress(OSError):
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self._sock.bind(address.pair)
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        self._is_open = False

    @property
    def address(self) -> Address:
        """Address that the socket listens on, with the actual port."""
        host, port = self._sock.getsockname()
        return Address(host, port)

    def start(self) -> None:
        """Start to accept connections."""
        self._is_open = True
        self._watch()

    def close(self) -> None:
        """Accept the connections that wait, and stop listening."""
        if self._is_open:
            self._is_open = False
            self._loop.watch(self._sock, 0, self._accept)
            # The kernel resets connections that are not accepted by then, and those for
            # which no file descriptor is free. None may be established between the last
            # accept and the close. Those that wait are accepted first, so that few
            # callers are ignored.
            self._accept_all()
            with suppress(OSError):
                ignore_new_connections(self._sock)
            self._accept_all()
        self._sock.close()

    def _watch(self) -> None:
        if self._is_open:
            self._loop.watch(self._sock, selectors.EVENT_READ, self._accept)

    def _accept_all(self) -> None:
        with suppress(OSError):
            while self._accept_one():
                continue

    def _accept(self, _events: int) -> None:
        try:
            for _ in range(_MAX_ACCEPTS_PER_EVENT):
                if not self._accept_one():
                    return
        except OSError:
            self._loop.watch(self._sock, 0, self._accept)
            self._loop.call_later(ACCEPT_RETRY_S, self._watch)
            raise

    def _accept_one(self) -> bool:
        """Accept a connection; return whether others may wait."""
        try:
            sock, _ = self._sock.accept()
        except (InterruptedError, ConnectionAbortedError):
            return True
        except BlockingIOError:
            return False
        sock.setblocking(False)
        self._on_accept(sock)
        return True
