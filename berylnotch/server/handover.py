"""HTTP server whose connections a request handler can detach."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from typing import Any

from cheroot import wsgi
from cheroot.connections import ConnectionManager
from cheroot.server import HTTPConnection

from berylnotch.net.sockets import ignore_new_connections
from berylnotch.util.address import Address

#: Key of the WSGI environment that holds the detach function.
DETACH_KEY = "berylnotch.detach"

#: Detaches the connection from the server and returns its socket.
Detach = Callable[[], socket.socket]

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]

#: Threads that read and check requests; streaming uses none of them.
_WORKER_THREADS = 16
#: Longest time, in seconds, that the server waits for the next bytes of a request.
_READ_TIMEOUT_S = 10
#: Shortest time, in seconds, that a closing server waits for bytes of a request.
_MIN_READ_TIMEOUT_S = 0.05
#: Seconds between two checks whether the server is to stop.
_STOP_CHECK_INTERVAL_S = 0.1
#: Connections that may wait to be accepted.
_BACKLOG = 1024
_MAX_HEADER_BYTES = 64 * 1024


class _Connection(HTTPConnection):
    """Connection that does not shut down its socket after a detachment."""

    is_detached = False

    def _close_kernel_socket(self) -> None:
        if not self.is_detached:
            super()._close_kernel_socket()


class _ConnectionManager(ConnectionManager):
    """Accepts connections; at a stop it hands over those that callers have opened."""

    def stop(self) -> None:
        """Stop to accept, and pass on all connections that are open or have data."""
        super().stop()
        listener = self.server.socket
        for _, connection in tuple(self._selector.select(0.0)):
            if connection is not self.server:
                self._selector.unregister(connection.socket.fileno())
                self.server.process_conn(connection)
        # The kernel resets the connections in the accept queue of a listener that is
        # closed, so the queue is emptied before, and nothing may enter it afterwards.
        listener.settimeout(0.0)
        self._accept_all(listener)
        with suppress(OSError):
            ignore_new_connections(listener)
        self._accept_all(listener)
        listener.close()
        self.server.socket = None

    def _accept_all(self, listener: socket.socket) -> None:
        while (connection := self._from_server_socket(listener)) is not None:
            self.server.process_conn(connection)


class _Server(wsgi.Server):
    """Server that ends kept connections by an answer while it is draining."""

    is_draining = False
    expiration_interval = _STOP_CHECK_INTERVAL_S

    def prepare(self) -> None:
        super().prepare()
        self._connections.close()
        self._connections = _ConnectionManager(self)


class _Gateway(wsgi.Gateway_10):
    """WSGI gateway that provides the detach function."""

    def respond(self) -> None:
        if self.req.server.is_draining:
            self.req.close_connection = True
        super().respond()

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        # Werkzeug takes any value of this key, even False, as a promise that the end of
        # the stream is the end of the body. A body that breaks off would look whole.
        if not environ["wsgi.input_terminated"]:
            del environ["wsgi.input_terminated"]
        environ[DETACH_KEY] = self._detach
        return environ

    def _detach(self) -> socket.socket:
        # The server closes its own descriptor without shutting the connection down,
        # so that the connection stays usable through the duplicate descriptor.
        request = self.req
        request.sent_headers = True
        request.chunked_write = False
        request.close_connection = True
        request.conn.is_detached = True
        sock = socket.socket(fileno=os.dup(request.conn.socket.fileno()))
        sock.setblocking(False)
        return sock


class HttpServer:
    """HTTP/1.1 server for a WSGI application.

    Parameters
    ----------
    address : Address
        Address to listen on; port 0 selects a free port.
    app : callable
        WSGI application.
    max_body_bytes : int
        Longest request body, in bytes.
    """

    def __init__(self, address: Address, app: WsgiApp, max_body_bytes: int) -> None:
        self._server = _Server(
            address.pair,
            app,
            numthreads=_WORKER_THREADS,
            request_queue_size=_BACKLOG,
            timeout=_READ_TIMEOUT_S,
            server_name="berylnotch",
        )
        self._server.gateway = _Gateway
        self._server.ConnectionClass = _Connection
        self._server.max_request_body_size = max_body_bytes
        self._server.max_request_header_size = _MAX_HEADER_BYTES

    @property
    def address(self) -> Address:
        """Address in use, with the selected port."""
        host, port = self._server.bind_addr
        return Address(host, port)

    def prepare(self) -> None:
        """Bind the address."""
        self._server.prepare()

    def serve(self) -> None:
        """Serve requests until `close` is called."""
        self._server.serve()

    def start_draining(self) -> None:
        """Close each kept connection with the next answer on it."""
        self._server.is_draining = True

    def close(self, read_limit_s: float) -> None:
        """Stop accepting connections, and finish the requests that are being read.

        Parameters
        ----------
        read_limit_s : float
            Time in seconds after which requests that are still incomplete are given
            up.
        """
        self.start_draining()
        read_limit_s = max(_MIN_READ_TIMEOUT_S, read_limit_s)
        self._server.timeout = min(_READ_TIMEOUT_S, read_limit_s)
        self._server.shutdown_timeout = read_limit_s
        self._server.stop()
