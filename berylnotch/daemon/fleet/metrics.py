"""Metrics of a process over HTTP."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.server import HttpServer, ServerConnection
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics


class MetricsServer:
    """Answers each request with all metrics.

    Parameters
    ----------
    loop : Loop
        Loop that serves the socket.
    address : Address
        Where to listen.
    metrics : Metrics
        What is served.
    measure : callable
        Sets the gauges before each answer.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        metrics: Metrics,
        measure: Callable[[], None],
    ) -> None:
        self._metrics = metrics
        self._measure = measure
        self._server = HttpServer(loop, address, self._serve)

    def start(self) -> None:
        """Serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _serve(self, connection: ServerConnection, _request: HttpRequest) -> None:
        self._measure()
        headers = Headers((("Content-Type", "text/plain; version=0.0.4"),))
        connection.respond(200, headers, self._metrics.render().encode())
