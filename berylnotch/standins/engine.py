"""Simulated model engine: `python -m berylnotch.standins.engine`."""

from __future__ import annotations

import argparse
import json
import secrets
import sys
from collections import deque
from collections.abc import Callable, Sequence

import attrs
from attrs import frozen

from berylnotch.standins.cache import PrefixCache
from berylnotch.standins.faults import BadFaultsError, FaultInjector, parse_faults
from berylnotch.standins.generation import BadBodyError, parse_generation
from berylnotch.standins.httpd import Connection, Loop, Request, Server, serve
from berylnotch.standins.runs import Job, RunQueue, RunSettings

_MAX_RECORDED_REQUESTS = 1000
_MAX_EVENTS_PER_RESPONSE = 1000
_ADMIN_PREFIX = "/standin/"


@frozen
class EngineSettings:
    """Identity and behaviour of a simulated engine.

    Attributes
    ----------
    name, model, weights : str
        Name of the engine, model that it serves, and initial weights version.
    credential : str
        Bearer token that requests must carry; if empty, no token is needed.
    default_tokens : int
        Length of a response whose request sets no limit, in tokens.
    cache_blocks : int
        Capacity of the prefix cache, in blocks.
    load_ms : int
        Time for loading weights, in milliseconds.
    check_fence : bool
        Whether orders with an outdated fencing token are rejected.
    run : RunSettings
        Token timing and number of slots.
    """

    name: str = "E1"
    model: str = "sake-1"
    weights: str = "v1"
    credential: str = ""
    default_tokens: int = 16
    cache_blocks: int = 4096
    load_ms: int = 2000
    check_fence: bool = True
    run: RunSettings = RunSettings()


@frozen
class RecordedRequest:
    """Request as the simulated engine received it."""

    path: str
    headers: dict[str, str]
    body: str


class Engine:
    """Simulated engine; all methods run on the thread of the event loop."""

    def __init__(self, settings: EngineSettings) -> None:
        self.loop = Loop(self._handle_request)
        self._port = 0
        self._settings = settings
        self._faults = FaultInjector()
        self._recorded_requests: deque[RecordedRequest] = deque(
            maxlen=_MAX_RECORDED_REQUESTS
        )
        self._weights = settings.weights
        self._fence = 0
        self._is_loading = False
        self._is_leaving = False
        self._last_load_number = 0
        self._routes: dict[tuple[str, str], Callable[[Connection, Request], None]] = {
            ("POST", "/v1/chat/completions"): self._generate,
            ("POST", "/v1/completions"): self._generate,
            ("GET", "/v1/models"): self._list_models,
            ("GET", "/standin/load"): self._report_load,
            ("GET", "/standin/seen"): self._list_recorded_requests,
            ("GET", "/standin/cache-events"): self._list_cache_events,
            ("POST", "/standin/orders"): self._execute_order,
            ("POST", "/standin/faults"): self._set_faults,
            ("POST", "/standin/leave"): self._set_leaving,
        }
        self._start_incarnation()

    def set_port(self, port: int) -> None:
        """Set the port that the engine listens on again after a simulated crash."""
        self._port = port

    def _start_incarnation(self) -> None:
        self._incarnation = secrets.token_hex(4)
        self._cache = PrefixCache(self._settings.cache_blocks)
        self._run_queue = RunQueue(self._settings.run, self.loop)

    def _handle_request(self, connection: Connection, request: Request) -> None:
        route = self._routes.get((request.method, request.path))
        if route is None:
            self._respond_error(connection, 404, "no such path")
            return
        if not request.path.startswith(_ADMIN_PREFIX):
            recorded = RecordedRequest(
                request.path, dict(request.headers), request.body.decode("utf-8")
            )
            self._recorded_requests.append(recorded)
        expected = self._settings.credential
        presented = request.headers.get("authorization", "")
        if expected and presented != f"Bearer {expected}":
            self._respond_error(connection, 401, "wrong credential", {"x-not-run": "1"})
            return
        route(connection, request)

    def _generate(self, connection: Connection, request: Request) -> None:
        faults = self._faults.next_request_faults()
        if faults.crash_marker and faults.crash_marker.encode() in request.body:
            self._crash(faults.restart_ms)
            return
        headers = self._response_headers(request, faults.wrong_request_id)
        if faults.refuse or self._is_loading:
            refusal = {**headers, "x-not-run": "1", "retry-after": "1"}
            self._respond_error(connection, 503, "not run", refusal)
            return
        if faults.error_status:
            self._respond_error(connection, faults.error_status, "fault", headers)
            return
        try:
            generation = parse_generation(
                request.path, request.body, self._weights, self._settings.default_tokens
            )
        except BadBodyError as error:
            self._respond_error(connection, 400, str(error), headers)
            return
        if generation.model != self._settings.model:
            self._respond_error(connection, 404, "no such model", headers)
            return
        scope = request.headers.get("x-cache-scope", "")
        weights, cache = self._weights, self._cache
        job = Job(
            generation=generation,
            connection=connection,
            headers=headers,
            faults=faults,
            priority=int(request.headers.get("x-priority", "0")),
            after_event=int(request.headers.get("x-resume-after", "0")),
            cache_prompt=lambda: cache.add_prompt(scope, weights, generation.prompt),
        )
        self._run_queue.submit(job)

    def _response_headers(self, request: Request, is_wrong_id: bool) -> dict[str, str]:
        headers = {
            "x-incarnation": self._incarnation,
            "x-weights": self._weights,
        }
        request_id = request.headers.get("x-request-id", "")
        if request_id:
            headers["x-request-id"] = "other" if is_wrong_id else request_id
        return headers

    def _crash(self, restart_delay_ms: int) -> None:
        self.loop.close_listener()
        for connection in list(self.loop.connections):
            connection.abort()
        self._start_incarnation()
        self.loop.call_later(
            restart_delay_ms / 1000, lambda: self.loop.listen(self._port)
        )

    def _list_models(self, connection: Connection, request: Request) -> None:
        model = {
            "id": self._settings.model,
            "object": "model",
            "created": 0,
            "owned_by": self._settings.name,
        }
        headers = self._response_headers(request, False)
        self._respond(connection, {"object": "list", "data": [model]}, headers)

    def _report_load(self, connection: Connection, _request: Request) -> None:
        report = {
            "name": self._settings.name,
            "incarnation": self._incarnation,
            "weights": self._weights,
            "loading": self._is_loading,
            "leaving": self._is_leaving,
            "waiting": self._run_queue.waiting_count,
            "running": self._run_queue.running_count,
            "slots": self._settings.run.slots,
            "queue_wait_s": self._run_queue.queue_wait_s(self._settings.default_tokens),
            "fence": self._fence,
            "struck": self._faults.affected_requests,
        }
        self._respond(connection, report)

    def _list_recorded_requests(
        self, connection: Connection, _request: Request
    ) -> None:
        self._respond(
            connection, [attrs.asdict(recorded) for recorded in self._recorded_requests]
        )

    def _list_cache_events(self, connection: Connection, request: Request) -> None:
        after = int(request.query.get("after", "0"))
        events = self._cache.events_after(after, _MAX_EVENTS_PER_RESPONSE)
        drop_interval = self._faults.current.drop_cache_events
        if drop_interval:
            events = [event for event in events if event.sequence % drop_interval]
        response = {
            "incarnation": self._incarnation,
            "weights": self._weights,
            "last": self._cache.last_sequence,
            "events": [attrs.asdict(event) for event in events],
        }
        self._respond(connection, response)

    def _execute_order(self, connection: Connection, request: Request) -> None:
        try:
            order = json.loads(request.body)
            fence, version = int(order["fence"]), str(order["version"])
        except (ValueError, KeyError, TypeError) as error:
            self._respond_error(connection, 400, f"bad order: {error!r}")
            return
        if self._settings.check_fence and fence < self._fence:
            self._respond_error(
                connection, 409, f"old fencing number, have {self._fence}"
            )
            return
        if not self._faults.current.ignore_orders:
            self._fence = max(self._fence, fence)
            self._start_loading_weights(version)
        self._respond(connection, {"fence": self._fence, "version": version})

    def _start_loading_weights(self, version: str) -> None:
        self._last_load_number += 1
        self._is_loading = True
        load_number = self._last_load_number
        self.loop.call_later(
            self._settings.load_ms / 1000,
            lambda: self._finish_loading_weights(load_number, version),
        )

    def _finish_loading_weights(self, load_number: int, version: str) -> None:
        if load_number != self._last_load_number:
            return
        self._is_loading = False
        self._weights = version
        self._cache.clear()

    def _set_faults(self, connection: Connection, request: Request) -> None:
        try:
            self._faults.set(parse_faults(request.body))
        except BadFaultsError as error:
            self._respond_error(connection, 400, str(error))
            return
        self._respond(connection, {})

    def _set_leaving(self, connection: Connection, request: Request) -> None:
        self._is_leaving = request.query.get("leaving", "1") == "1"
        self._respond(connection, {"leaving": self._is_leaving})

    def _respond(
        self,
        connection: Connection,
        body: object,
        headers: dict[str, str] | None = None,
    ) -> None:
        connection.respond(200, json.dumps(body).encode(), headers)

    def _respond_error(
        self,
        connection: Connection,
        status: int,
        message: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        body = {"error": {"message": message, "type": "engine", "code": status}}
        connection.respond(status, json.dumps(body).encode(), headers)


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m berylnotch.standins.engine",
        description="Stand-in for a model engine, on loopback.",
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="E1")
    parser.add_argument("--model", default="sake-1")
    parser.add_argument("--weights", default="v1")
    parser.add_argument("--credential", default="", help="bearer token to require")
    parser.add_argument("--interval-ms", type=float, default=36.0)
    parser.add_argument("--first-ms", type=float, default=50.0)
    parser.add_argument("--piece-ms", type=float, default=20.0)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--tokens", type=int, default=16)
    parser.add_argument("--cache-pieces", type=int, default=4096)
    parser.add_argument("--load-ms", type=int, default=2000)
    parser.add_argument("--ignore-fence", action="store_true")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Serve until SIGTERM."""
    args = get_parser().parse_args(argv)
    run = RunSettings(
        token_interval_ms=args.interval_ms,
        first_token_ms=args.first_ms,
        uncached_block_ms=args.piece_ms,
        slots=args.slots,
    )
    settings = EngineSettings(
        name=args.name,
        model=args.model,
        weights=args.weights,
        credential=args.credential,
        default_tokens=args.tokens,
        cache_blocks=args.cache_pieces,
        load_ms=args.load_ms,
        check_fence=not args.ignore_fence,
        run=run,
    )
    engine = Engine(settings)
    return serve(Server(engine.loop, args.port, engine.set_port))


if __name__ == "__main__":
    sys.exit(main())
