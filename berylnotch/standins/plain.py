"""Simulated order service: `python -m berylnotch.standins.plain`."""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, deque
from collections.abc import Sequence

import attrs

from berylnotch.standins.engine import RecordedRequest
from berylnotch.standins.faults import (
    BadFaultsError,
    FaultInjector,
    Faults,
    parse_faults,
)
from berylnotch.standins.httpd import Connection, Loop, Request, Server, serve

_MAX_RECORDED_REQUESTS = 1000


class OrderDesk:
    """Simulated service that books orders and counts the runs of each order.

    ``POST /orders`` is not idempotent: each run increments the count of the order id.
    ``GET /stock`` and ``GET /orders`` are idempotent.
    """

    def __init__(self, name: str, credential: str) -> None:
        self.loop = Loop(self._handle_request)
        self._name = name
        self._credential = credential
        self._faults = FaultInjector()
        self._run_counts: Counter[str] = Counter()
        self._recorded_requests: deque[RecordedRequest] = deque(
            maxlen=_MAX_RECORDED_REQUESTS
        )
        self._is_leaving = False

    def _handle_request(self, connection: Connection, request: Request) -> None:
        if request.path.startswith("/standin/"):
            self._handle_admin(connection, request)
            return
        body = request.body.decode("utf-8", "replace")
        self._recorded_requests.append(
            RecordedRequest(request.path, dict(request.headers), body)
        )
        presented = request.headers.get("authorization", "")
        if self._credential and presented != f"Bearer {self._credential}":
            _respond(connection, 401, {"error": "credential"}, {"x-not-run": "1"})
            return
        self._handle_service_request(
            connection, request, self._faults.next_request_faults()
        )

    def _handle_service_request(
        self, connection: Connection, request: Request, faults: Faults
    ) -> None:
        headers = {}
        if "x-request-id" in request.headers:
            request_id = request.headers["x-request-id"]
            headers["x-request-id"] = "other" if faults.wrong_request_id else request_id
        if faults.refuse:
            refusal = {**headers, "x-not-run": "1", "retry-after": "1"}
            _respond(connection, 503, {"error": "not run"}, refusal)
            return
        if faults.hang:
            return
        status, body = self._execute(request)
        if faults.close_before_answer:
            connection.close()
        elif faults.empty:
            connection.respond(200, b"", headers)
        elif faults.error_status:
            _respond(connection, faults.error_status, {"error": "fault"}, headers)
        else:
            self.loop.call_later(
                faults.late_ms / 1000,
                lambda: _respond(connection, status, body, headers),
            )

    def _execute(self, request: Request) -> tuple[int, object]:
        path = request.path.rstrip("/")
        if request.method == "POST" and path.endswith("/orders"):
            return self._book_order(request.body)
        if request.method == "GET" and path.endswith("/orders"):
            return 200, {"orders": sorted(self._run_counts)}
        if request.method == "GET" and path.endswith("/stock"):
            return 200, {"desk": self._name, "bottles": 1200}
        return 404, {"error": "no such path"}

    def _book_order(self, body: bytes) -> tuple[int, object]:
        try:
            order = str(json.loads(body)["order"])
        except (ValueError, KeyError, TypeError):
            return 400, {"error": "an order needs the field 'order'"}
        self._run_counts[order] += 1
        return 201, {"order": order, "run": self._run_counts[order], "desk": self._name}

    def _handle_admin(self, connection: Connection, request: Request) -> None:
        if request.path == "/standin/runs":
            _respond(connection, 200, dict(self._run_counts))
        elif request.path == "/standin/seen":
            _respond(
                connection,
                200,
                [attrs.asdict(recorded) for recorded in self._recorded_requests],
            )
        elif request.path == "/standin/load":
            _respond(connection, 200, {"name": self._name, "leaving": self._is_leaving})
        elif request.path == "/standin/leave":
            self._is_leaving = request.query.get("leaving", "1") == "1"
            _respond(connection, 200, {"leaving": self._is_leaving})
        elif request.path == "/standin/faults":
            self._set_faults(connection, request)
        else:
            _respond(connection, 404, {"error": "no such path"})

    def _set_faults(self, connection: Connection, request: Request) -> None:
        try:
            self._faults.set(parse_faults(request.body))
        except BadFaultsError as error:
            _respond(connection, 400, {"error": str(error)})
            return
        _respond(connection, 200, {})


def _respond(
    connection: Connection,
    status: int,
    body: object,
    headers: dict[str, str] | None = None,
) -> None:
    if not connection.is_closed:
        connection.respond(status, json.dumps(body).encode(), headers)


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
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
    return serve(Server(desk.loop, args.port))


if __name__ == "__main__":
    sys.exit(main())
