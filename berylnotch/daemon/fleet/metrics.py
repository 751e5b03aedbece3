"""HTTP server for the metrics of a process."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.net.request_memory import RequestMemory
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
    memory : RequestMemory
        Memory for the callers of the process.
    on_refused : callable
        Called with the status, the reason and the client of each refused request.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        metrics: Metrics,
        update_gauges: Callable[[], None],
        memory: RequestMemory,
        on_refused: Callable[[int, str, str], None],
    ) -> None:
        self._metrics = metrics
        self._update_gauges = update_gauges
        self._memory = memory
        self._server = HttpServer(
            loop,
            address,
            self._serve,
            on_refused=on_refused,
            memory=memory,
            is_control=True,
        )

    def start(self) -> None:
        """Start to serve."""
        self._server.start()

    def close(self) -> None:
        """Stop serving."""
        self._server.close()

    def _serve(self, connection: ServerConnection, _request: HttpRequest) -> None:
        self._update_gauges()
        memory, gauge = self._memory, self._metrics.gauge
        gauge("berylnotch_held_request_bytes", float(memory.small_bytes))
        gauge("berylnotch_granted_body_bytes", float(memory.granted_bytes))
        gauge("berylnotch_waiting_bodies", float(memory.waiting_count))
        gauge("berylnotch_caller_connections", float(memory.connection_count))
        gauge("berylnotch_evicted_callers", float(memory.evicted_count))
        headers = Headers((("Content-Type", "text/plain; version=0.0.4"),))
        connection.respond(200, headers, self._metrics.render().encode())
