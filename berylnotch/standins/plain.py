"""Stand-in for an order desk: `python -m berylnotch.standins.plain`."""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, deque
from collections.abc import Sequence

import attrs

from berylnotch.standins.engine import SeenRequest
from berylnotch.standins.faults import (
    BadFaultsError,
    Faults,
    FaultSwitch,
    parse_faults,
)
from berylnotch.standins.httpd import Connection, Loop, Program, Request, serve

_KEPT_REQUESTS = 1000


class OrderDesk:
    """Books orders and counts how often each was run.

    ``POST /orders`` is not idempotent: each run of an order id is counted.
    ``GET /stock`` and ``GET /orders`` may be repeated.
    """

    def __init__(self, name: str, credential: str) -> None:
        self.loop = Loop(self._handle)
        self._name = name
        self._credential = credential
        self._faults = FaultSwitch()
        self._runs: Counter[str] = Counter()
        self._seen: deque[SeenRequest] = deque(maxlen=_KEPT_REQUESTS)
        self._leaving = False

    def _handle(self, connection: Connection, request: Request) -> None:
        if request.path.startswith("/standin/"):
            self._administer(connection, request)
            return
        body = request.body.decode("utf-8", "replace")
        self._seen.append(SeenRequest(request.path, dict(request.headers), body))
        given = request.headers.get("authorization", "")
        if self._credential and given != f"Bearer {self._credential}":
            _answer(connection, 401, {"error": "credential"}, {"x-not-run": "1"})
            return
        self._serve(connection, request, self._faults.strike())

    def _serve(self, connection: Connection, request: Request, faults: Faults) -> None:
        headers = {}
        if "x-request-id" in request.headers:
            request_id = request.headers["x-request-id"]
            headers["x-request-id"] = "other" if faults.wrong_request_id else request_id
        if faults.refuse:
            refusal = {**headers, "x-not-run": "1", "retry-after": "1"}
            _answer(connection, 503, {"error": "not run"}, refusal)
            return
        if faults.hang:
            return
        status, body = self._run(request)
        if faults.close_before_answer:
            connection.close()
        elif faults.empty:
            connection.respond(200, b"", headers)
        elif faults.error_status:
            _answer(connection, faults.error_status, {"error": "fault"}, headers)
        else:
            self.loop.call_later(
                faults.late_ms / 1000,
                lambda: _answer(connection, status, body, headers),
            )

    def _run(self, request: Request) -> tuple[int, object]:
        path = request.path.rstrip("/")
        if request.method == "POST" and path.endswith("/orders"):
            return self._book(request.body)
        if request.method == "GET" and path.endswith("/orders"):
            return 200, {"orders": sorted(self._runs)}
        if request.method == "GET" and path.endswith("/stock"):
            return 200, {"desk": self._name, "bottles": 1200}
        return 404, {"error": "no such path"}

    def _book(self, body: bytes) -> tuple[int, object]:
        try:
            order = str(json.loads(body)["order"])
        except (ValueError, KeyError, TypeError):
            return 400, {"error": "an order needs the field 'order'"}
        self._runs[order] += 1
        return 201, {"order": order, "run": self._runs[order], "desk": self._name}

    def _administer(self, connection: Connection, request: Request) -> None:
        if request.path == "/standin/runs":
            _answer(connection, 200, dict(self._runs))
        elif request.path == "/standin/seen":
            _answer(connection, 200, [attrs.asdict(seen) for seen in self._seen])
        elif request.path == "/standin/load":
            _answer(connection, 200, {"name": self._name, "leaving": self._leaving})
        elif request.path == "/standin/leave":
            self._leaving = request.query.get("leaving", "1") == "1"
            _answer(connection, 200, {"leaving": self._leaving})
        elif request.path == "/standin/faults":
            self._set_faults(connection, request)
        else:
            _answer(connection, 404, {"error": "no such path"})

    def _set_faults(self, connection: Connection, request: Request) -> None:
        try:
            self._faults.set(parse_faults(request.body))
        except BadFaultsError as error:
            _answer(connection, 400, {"error": str(error)})
            return
        _answer(connection, 200, {})


def _answer(
    connection: Connection,
    status: int,
    body: object,
    headers: dict[str, str] | None = None,
) -> None:
    if not connection.is_closed:
        connection.respond(status, json.dumps(body).encode(), headers)


def get_parser() -> argparse.ArgumentParser:
    """Return the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="python -m berylnotch.standins.plain",
        description="Stand-in for an order desk, on loopback.",
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="P1")
    parser.add_argument("--credential", default="", help="bearer token to require")
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Serve until SIGTERM."""
    args = get_parser().parse_args(argv)
    desk = OrderDesk(args.name, args.credential)
    return serve(Program(desk.loop, args.port))


if __name__ == "__main__":
    sys.exit(main())
