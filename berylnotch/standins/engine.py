"""Stand-in for a model engine: `python -m berylnotch.standins.engine`."""

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
from berylnotch.standins.faults import BadFaultsError, FaultSwitch, parse_faults
from berylnotch.standins.generation import BadBodyError, parse_generation
from berylnotch.standins.httpd import Connection, Loop, Program, Request, serve
from berylnotch.standins.runs import Job, Runs, RunSettings

_KEPT_REQUESTS = 1000
_EVENTS_PER_ANSWER = 1000
_ADMIN_PREFIX = "/standin/"


@frozen
class EngineSettings:
    """What the engine is and how it behaves.

    Attributes
    ----------
    name, model, weights : str
        Engine's name, model it serves and weights version at the start.
    credential : str
        Bearer token that requests must carry; empty accepts all.
    tokens : int
        Answer length when the request names none.
    cache_pieces : int
        Pieces that the prefix cache keeps.
    load_ms : int
        Time that new weights take.
    check_fence : bool
        Whether orders with an old fencing number are refused.
    run : RunSettings
        Pace and slots.
    """

    name: str = "E1"
    model: str = "sake-1"
    weights: str = "v1"
    credential: str = ""
    tokens: int = 16
    cache_pieces: int = 4096
    load_ms: int = 2000
    check_fence: bool = True
    run: RunSettings = RunSettings()


@frozen
class SeenRequest:
    """What the engine saw of one request."""

    path: str
    headers: dict[str, str]
    body: str


class Engine:
    """One engine; all of it runs on the loop's thread."""

    def __init__(self, settings: EngineSettings) -> None:
        self.loop = Loop(self._handle)
        self._port = 0
        self._settings = settings
        self._faults = FaultSwitch()
        self._seen: deque[SeenRequest] = deque(maxlen=_KEPT_REQUESTS)
        self._weights = settings.weights
        self._fence = 0
        self._loading = False
        self._leaving = False
        self._orders = 0
        self._routes: dict[tuple[str, str], Callable[[Connection, Request], None]] = {
            ("POST", "/v1/chat/completions"): self._generate,
            ("POST", "/v1/completions"): self._generate,
            ("GET", "/v1/models"): self._models,
            ("GET", "/standin/load"): self._load,
            ("GET", "/standin/seen"): self._show_seen,
            ("GET", "/standin/cache-events"): self._cache_events,
            ("POST", "/standin/orders"): self._order,
            ("POST", "/standin/faults"): self._set_faults,
            ("POST", "/standin/leave"): self._leave,
        }
        self._boot()

    def set_port(self, port: int) -> None:
        """Remember the port, to listen on it again after a crash."""
        self._port = port

    def _boot(self) -> None:
        self._incarnation = secrets.token_hex(4)
        self._cache = PrefixCache(self._settings.cache_pieces)
        self._runs = Runs(self._settings.run, self.loop)

    def _handle(self, connection: Connection, request: Request) -> None:
        route = self._routes.get((request.method, request.path))
        if route is None:
            self._error(connection, 404, "no such path")
            return
        if not request.path.startswith(_ADMIN_PREFIX):
            seen = SeenRequest(
                request.path, dict(request.headers), request.body.decode("utf-8")
            )
            self._seen.append(seen)
        expected = self._settings.credential
        given = request.headers.get("authorization", "")
        if expected and given != f"Bearer {expected}":
            self._error(connection, 401, "wrong credential", {"x-not-run": "1"})
            return
        route(connection, request)

    def _generate(self, connection: Connection, request: Request) -> None:
        faults = self._faults.strike()
        if faults.crash_marker and faults.crash_marker.encode() in request.body:
            self._crash(faults.restart_ms)
            return
        headers = self._answer_headers(request, faults.wrong_request_id)
        if faults.refuse or self._loading:
            refusal = {**headers, "x-not-run": "1", "retry-after": "1"}
            self._error(connection, 503, "not run", refusal)
            return
        if faults.error_status:
            self._error(connection, faults.error_status, "fault", headers)
            return
        try:
            generation = parse_generation(
                request.path, request.body, self._weights, self._settings.tokens
            )
        except BadBodyError as error:
            self._error(connection, 400, str(error), headers)
            return
        if generation.model != self._settings.model:
            self._error(connection, 404, "no such model", headers)
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
            admit=lambda: cache.admit(scope, weights, generation.prompt),
        )
        self._runs.submit(job)

    def _answer_headers(self, request: Request, wrong_id: bool) -> dict[str, str]:
        headers = {
            "x-incarnation": self._incarnation,
            "x-weights": self._weights,
        }
        request_id = request.headers.get("x-request-id", "")
        if request_id:
            headers["x-request-id"] = "other" if wrong_id else request_id
        return headers

    def _crash(self, restart_ms: int) -> None:
        self.loop.close_listener()
        for connection in list(self.loop.connections):
            connection.abort()
        self._boot()
        self.loop.call_later(restart_ms / 1000, lambda: self.loop.listen(self._port))

    def _models(self, connection: Connection, request: Request) -> None:
        model = {
            "id": self._settings.model,
            "object": "model",
            "created": 0,
            "owned_by": self._settings.name,
        }
        headers = self._answer_headers(request, False)
        self._answer(connection, {"object": "list", "data": [model]}, headers)

    def _load(self, connection: Connection, _request: Request) -> None:
        report = {
            "name": self._settings.name,
            "incarnation": self._incarnation,
            "weights": self._weights,
            "loading": self._loading,
            "leaving": self._leaving,
            "waiting": self._runs.waiting,
            "running": self._runs.running,
            "slots": self._settings.run.slots,
            "queue_wait_s": self._runs.queue_wait_s(self._settings.tokens),
            "fence": self._fence,
            "struck": self._faults.struck,
        }
        self._answer(connection, report)

    def _show_seen(self, connection: Connection, _request: Request) -> None:
        self._answer(connection, [attrs.asdict(seen) for seen in self._seen])

    def _cache_events(self, connection: Connection, request: Request) -> None:
        after = int(request.query.get("after", "0"))
        records = self._cache.records_after(after, _EVENTS_PER_ANSWER)
        nth = self._faults.standing.drop_cache_events
        if nth:
            records = [r for r in records if r.sequence % nth]
        answer = {
            "incarnation": self._incarnation,
            "weights": self._weights,
            "last": self._cache.last_sequence,
            "events": [attrs.asdict(record) for record in records],
        }
        self._answer(connection, answer)

    def _order(self, connection: Connection, request: Request) -> None:
        try:
            order = json.loads(request.body)
            fence, version = int(order["fence"]), str(order["version"])
        except (ValueError, KeyError, TypeError) as error:
            self._error(connection, 400, f"bad order: {error!r}")
            return
        if self._settings.check_fence and fence < self._fence:
            self._error(connection, 409, f"old fencing number, have {self._fence}")
            return
        if not self._faults.standing.ignore_orders:
            self._fence = max(self._fence, fence)
            self._start_load(version)
        self._answer(connection, {"fence": self._fence, "version": version})

    def _start_load(self, version: str) -> None:
        self._orders += 1
        self._loading = True
        order = self._orders
        self.loop.call_later(
            self._settings.load_ms / 1000, lambda: self._finish_load(order, version)
        )

    def _finish_load(self, order: int, version: str) -> None:
        if order != self._orders:
            return
        self._loading = False
        self._weights = version
        self._cache.clear()

    def _set_faults(self, connection: Connection, request: Request) -> None:
        try:
            self._faults.set(parse_faults(request.body))
        except BadFaultsError as error:
            self._error(connection, 400, str(error))
            return
        self._answer(connection, {})

    def _leave(self, connection: Connection, request: Request) -> None:
        self._leaving = request.query.get("leaving", "1") == "1"
        self._answer(connection, {"leaving": self._leaving})

    def _answer(
        self,
        connection: Connection,
        body: object,
        headers: dict[str, str] | None = None,
    ) -> None:
        connection.respond(200, json.dumps(body).encode(), headers)

    def _error(
        self,
        connection: Connection,
        status: int,
        message: str,
        headers: dict[str, str] | None = None,
    ) -> None:
        body = {"error": {"message": message, "type": "engine", "code": status}}
        connection.respond(status, json.dumps(body).encode(), headers)


def get_parser() -> argparse.ArgumentParser:
    """Return the command line's parser."""
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
        interval_ms=args.interval_ms,
        first_ms=args.first_ms,
        piece_ms=args.piece_ms,
        slots=args.slots,
    )
    settings = EngineSettings(
        name=args.name,
        model=args.model,
        weights=args.weights,
        credential=args.credential,
        tokens=args.tokens,
        cache_pieces=args.cache_pieces,
        load_ms=args.load_ms,
        check_fence=not args.ignore_fence,
        run=run,
    )
    engine = Engine(settings)
    return serve(Program(engine.loop, args.port, engine.set_port))


if __name__ == "__main__":
    sys.exit(main())
