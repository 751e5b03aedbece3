"""HTTP/1.1 server for callers.

A connection serves one request at a time. While a request is served, further bytes from
the caller are buffered, and a close by the caller is detected at once.
"""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Callable

from berylnotch.net.connection import ServerConnection
from berylnotch.net.messages import HttpRequest
from berylnotch.net.reading import HttpLimits
from berylnotch.net.request_limits import request_limits
from berylnotch.net.request_memory import RequestMemory
from berylnotch.net.response_memory import DEFAULT_MEMORY_MB
from berylnotch.net.sockets import CALLER_BUFFER_BYTES, Acceptor
from berylnotch.util.address import Address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

__all__ = ["HttpServer", "RequestHandler", "ServerConnection"]

#: Seconds between two checks of all connections for exceeded time limits.
_LIMIT_CHECK_INTERVAL_S = 0.5


#: Serves a request and sends the response on its connection.
RequestHandler = Callable[[ServerConnection, HttpRequest], None]


class HttpServer:
    """HTTP server on one address, with its connections.

    Parameters
    ----------
    loop : Loop
        Loop that serves the sockets.
    address : Address
        Address to listen on; port 0 selects a free port.
    handler : callable
        Called with the connection and each complete request.
    limits : callable
        Returns the current limits.
    on_refused : callable
        Called with the status, the reason and the client's IP address of each request
        that was refused before it was read in full. The status is 0 if a connection
        was closed without a response.
    on_unanswered : callable
        Called with each request whose connection the server closes without a response.
    memory : RequestMemory, optional
        Memory for callers, which the servers of a process share.
    is_control : bool
        Whether the port is for operators, metrics or readiness; these are answered
        from memory, also if callers use all connections.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        handler: RequestHandler,
        limits: Callable[[], HttpLimits] = HttpLimits,
        on_refused: Callable[[int, str, str], None] = lambda *_: None,
        on_unanswered: Callable[[HttpRequest], None] = lambda request: None,
        memory: RequestMemory | None = None,
        is_control: bool = False,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused
        self.on_unanswered = on_unanswered
        self.memory = memory or RequestMemory(request_limits(DEFAULT_MEMORY_MB))
        self.is_control = is_control
        #: Called with the connection and each request whose body broke off, without the
        #: body. If it is None, such connections are closed.
        self.on_broken_off: RequestHandler | None = None
        #: Whether other responses wait for the memory of those that are not read.
        self.is_memory_scarce: Callable[[], bool] = lambda: False
        #: Whether each connection is closed after the responses to the requests that
        #: have arrived on it.
        self.is_draining = False
        #: Time at which the newest connection was accepted, in seconds since boot.
        self.accepted_at = 0.0
        self._connections: set[ServerConnection] = set()
        self._on_finished: Callable[[], None] | None = None
        self._acceptor = Acceptor(loop, address, self._accept, CALLER_BUFFER_BYTES)

    @property
    def address(self) -> Address:
        """Address that the server listens on, with the actual port."""
        return self._acceptor.address

    def connection_counts(self) -> Counter[str]:
        """Return the number of connections by their state."""
        return Counter(connection.state for connection in self._connections)

    @property
    def active_connection_count(self) -> int:
        """Number of connections that are not idle."""
        return sum(not connection.is_idle for connection in self._connections)

    def start(self) -> None:
        """Start to accept connections."""
        self._acceptor.start()
        self.loop.call_every(_LIMIT_CHECK_INTERVAL_S, self._check_all_limits)

    @property
    def is_finishing(self) -> bool:
        """Whether the server delivers its last responses."""
        return self._on_finished is not None

    def finish(self, close_by: float, done: Callable[[], None]) -> None:
        """Stop accepting connections, and close the open ones once they are served.

        Connections that wait to be accepted are served as well. A connection is closed
        once its caller has closed it after the last response, or has sent nothing more
        for some time.

        Parameters
        ----------
        close_by : float
            Time, in seconds since boot, at which the connections that are still open
            are aborted.
        done : callable
            Called once all connections are closed.
        """
        self.is_draining = True
        self._on_finished = done
        self._acceptor.close()
        for connection in tuple(self._connections):
            connection.on_server_finishing()
        self.loop.call_later(max(0.0, close_by - boot_time()), self.close)
        self._check_finished()

    def stop_accepting(self) -> None:
        """Accept the connections that wait, and close the port."""
        self._acceptor.close()

    def close(self) -> None:
        """Stop accepting connections and abort the open ones."""
        self._acceptor.close()
        for connection in tuple(self._connections):
            request = connection.unanswered_request
            if request is not None:
                self.on_unanswered(request)
            connection.abort()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def break_off_reading(self) -> None:
        """Pass on the requests whose bodies are incomplete."""
        for connection in tuple(self._connections):
            connection.break_off_reading()

    def remove(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._check_finished()

    def _check_finished(self) -> None:
        if self._on_finished is not None and not self._connections:
            done, self._on_finished = self._on_finished, None
            self.loop.call_soon(done)

    def _accept(self, sock: socket.socket) -> None:
        try:
            client = sock.getpeername()[0]
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError:
            # The caller has closed the connection already.
            sock.close()
            return
        connection = ServerConnection(self, sock, client)
        if not connection.has_memory:
            self.on_refused(0, "too many connections", client)
            sock.close()
            return
        self.accepted_at = boot_time()
        self._connections.add(connection)
        connection.start()

    def _check_all_limits(self) -> None:
        now = boot_time()
        for connection in tuple(self._connections):
            connection.check_limits(now)
        self.memory.tick(now)
