"""Simulated VM list of the platform: `python -m berylnotch.standins.vmlist`."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence

from berylnotch.standins.httpd import Connection, Loop, Request, Server, serve


class VmList:
    """Serves a list of VMs; ``POST /standin/vms`` replaces it after a delay.

    ``GET /vms`` answers ``{"vms": [{"name": ..., "address": ..., "state":
    "live" | "leaving"}, ...]}``.
    """

    def __init__(self, vms: list[dict[str, str]], lag_s: float) -> None:
        self.loop = Loop(self._handle_request)
        self._vms = vms
        self._lag_s = lag_s

    def _handle_request(self, connection: Connection, request: Request) -> None:
        if request.method == "GET" and request.path == "/vms":
            connection.respond(200, json.dumps({"vms": self._vms}).encode())
        elif request.method == "POST" and request.path == "/standin/vms":
            self._schedule_replacement(connection, request.body)
        else:
            connection.respond(404, b'{"error": "no such path"}')

    def _schedule_replacement(self, connection: Connection, body: bytes) -> None:
        try:
            vms = list(json.loads(body)["vms"])
        except (ValueError, KeyError, TypeError):
            connection.respond(400, b'{"error": "bad list"}')
            return
        self.loop.call_later(self._lag_s, lambda: self._set_vms(vms))
        connection.respond(200, b"{}")

    def _set_vms(self, vms: list[dict[str, str]]) -> None:
        self._vms = vms


def get_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m berylnotch.standins.vmlist",
        description="Stand-in for the platform's list of VMs, on loopback.",
    )
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--lag-ms", type=float, default=0.0)
    parser.add_argument(
        "--vm",
        action="append",
        default=[],
        metavar="NAME=ADDRESS",
        help="a live VM; may be given several times",
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Serve until SIGTERM."""
    args = get_parser().parse_args(argv)
    vms = []
    for vm_argument in args.vm:
        name, _, address = vm_argument.partition("=")
        vms.append({"name": name, "address": address, "state": "live"})
    vm_list = VmList(vms, args.lag_ms / 1000)
    return serve(Server(vm_list.loop, args.port))


if __name__ == "__main__":
    sys.exit(main())
