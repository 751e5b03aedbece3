"""HTTP server for a WSGI application, which can detach connections of requests.

A loop of its own reads the requests, under the limits on the memory for callers, and
worker threads serve those that are complete. A caller that sends slowly therefore never
holds a thread.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor

from loguru import logger

from berylnotch.net.connection import ServerConnection
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.reading import HttpLimits
from berylnotch.net.request_memory import RequestMemory
from berylnotch.net.server import HttpServer as LoopServer
from berylnotch.server.wsgi import WsgiApp, call_app, make_environ
from berylnotch.util.address import Address
from berylnotch.util.clock import boot_time
from berylnotch.util.loop import Loop

#: Key of the WSGI environment that holds the detach function.
DETACH_KEY = "berylnotch.detach"

#: Detaches the connection from the server and returns its socket.
Detach = Callable[[], socket.socket]

#: Threads that check and serve requests; reading and streaming use none of them.
_WORKER_THREADS = 16
#: Longest time, in seconds, for headers, and that the server waits for the next bytes.
_READ_TIMEOUT_S = 10.0
#: Shortest time, in seconds, that a closing server waits for bytes of a request.
_MIN_READ_TIMEOUT_S = 0.05
#: Seconds for the answers to the requests that are given up when the server closes.
_LAST_ANSWERS_S = 0.5
#: Longest time, in seconds, that a worker waits for the loop to detach a connection.
_DETACH_TIMEOUT_S = 10.0
_MAX_HEADER_BYTES = 64 * 1024


class _DetachedSocket(socket.socket):
    """Socket of a detached connection; its close frees the memory of the request."""

    on_close: Callable[[], None] | None = None

    def close(self) -> None:
        """Close the socket."""
        super().close()
        on_close, self.on_close = self.on_close, None
        if on_close is not None:
            on_close()


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
    memory : RequestMemory, optional
        Memory for the callers of this server. It is used by the server's thread only,
        so servers do not share it.
    is_control : bool
        Whether the port is for metrics.
    on_refused : callable
        Called with the status, the reason and the client of each refused request.
    """

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        max_body_bytes: int,
        memory: RequestMemory | None = None,
        is_control: bool = False,
        on_refused: Callable[[int, str, str], None] = lambda *_: None,
    ) -> None:
        self._app = app
        self._requested_address = address
        self._limits = HttpLimits(
            _MAX_HEADER_BYTES, max_body_bytes, _READ_TIMEOUT_S, _READ_TIMEOUT_S
        )
        self._memory = memory
        self._is_control = is_control
        self._on_refused = on_refused
        self._loop = Loop("http")
        self._executor = ThreadPoolExecutor(
            _WORKER_THREADS, thread_name_prefix="http-worker"
        )
        self._close_lock = threading.Lock()
        self._is_closed = False

    @property
    def address(self) -> Address:
        """Address in use, with the selected port."""
        return self._address

    def prepare(self) -> None:
        """Bind the address."""
        self._server = LoopServer(
            self._loop,
            self._requested_address,
            lambda connection, request: self._dispatch(connection, request, True),
            lambda: self._limits,
            self._on_refused,
            memory=self._memory,
            is_control=self._is_control,
        )
        self._server.on_broken_off = lambda connection, request: self._dispatch(
            connection, request, False
        )
        #: The acceptor's address cannot be read once it is closed.
        self._address = self._server.address
        self._server.start()

    def serve(self) -> None:
        """Serve requests until `close` is called."""
        self._loop.run()

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
        with self._close_lock:
            if self._is_closed:
                return
            self._is_closed = True
        read_limit_s = max(_MIN_READ_TIMEOUT_S, read_limit_s)
        finished = threading.Event()

        def finish() -> None:
            close_by = boot_time() + read_limit_s + _LAST_ANSWERS_S
            self._loop.call_later(read_limit_s, self._server.break_off_reading)
            self._server.finish(close_by, finished.set)

        self._loop.call_soon(finish)
        finished.wait(read_limit_s + 2 * _LAST_ANSWERS_S)
        self._executor.shutdown()
        self._loop.close()

    def _dispatch(
        self, connection: ServerConnection, request: HttpRequest, is_whole: bool
    ) -> None:
        self._executor.submit(self._serve_request, connection, request, is_whole)

    def _serve_request(
        self, connection: ServerConnection, request: HttpRequest, is_whole: bool
    ) -> None:
        is_detached = False

        def detach() -> socket.socket:
            nonlocal is_detached
            is_detached = True
            detached: Future[socket.socket] = Future()
            self._loop.call_soon(lambda: detached.set_result(self._detach(connection)))
            return detached.result(_DETACH_TIMEOUT_S)

        try:
            environ = make_environ(request, self.address, connection.client, is_whole)
            environ[DETACH_KEY] = detach
            status, headers, body = call_app(self._app, environ)
        except Exception as error:
            logger.opt(exception=error).error("event=request_failed")
            self._loop.call_soon(lambda: self._fail(connection, is_detached))
            return
        if not is_detached:
            self._loop.call_soon(lambda: connection.respond(status, headers, body))

    def _detach(self, connection: ServerConnection) -> socket.socket:
        descriptor, free_memory = connection.detach()
        sock = _DetachedSocket(fileno=descriptor)
        sock.setblocking(False)
        sock.on_close = lambda: self._loop.call_soon(free_memory)
        return sock

    def _fail(self, connection: ServerConnection, is_detached: bool) -> None:
        if not is_detached:
            connection.respond(500, Headers(), close=True)
