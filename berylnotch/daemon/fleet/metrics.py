"""HTTP server for the metrics of a process."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.server import HttpServer, ServerConnection
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop
from berylnotch.util.metrics import Metrics


class MetricsServer:
    """HTTP server that answers each request with all metrics.

    Parameters
    ----------
    loop : Loop
        Event loop that serves the socket.
    address : Address
        Listen address.
    metrics : Metrics
        Metrics of the process.
    update_gauges : callable
        Updates the gauges before each answer.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        metrics: Metrics,
        update_gauges: Callable[[], None],
    ) -> None:
        self._metrics = metrics
        self._update_gauges = update_gauges
        self._server = HttpServer(loop, address, self._serve)

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _serve(self, connection: ServerConnection, _request: HttpRequest) -> None:
        self._update_gauges()
        headers = Headers((("Content-Type", "text/plain; version=0.0.4"),))
        connection.respond(200, headers, self._metrics.render().encode())
