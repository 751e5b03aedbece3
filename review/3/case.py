"""An operator sends a configuration in which two routes share a host and prefix."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.fleet import SERVERS, CannotRunError, Fleet, Record, call, now, wait_for
from lib.servers import Loop, ServerList, encode_answer, entry, read_request

HOST, KEY = "desk.example", "key-of-tenant-1"
SERVICES = ("stock", "archive")
REQUESTS = 20


class Server:
    """Sound server of one service."""

    def __init__(self, service: str, address: str, record: Record) -> None:
        self.service, self.address = service, address
        self.server_id = f"i-{service}"
        self.ran: list[str] = []
        self._record = record

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one channel."""
        while (request := await read_request(reader)) is not None:
            self.ran.append(request.request_id)
            self._record.line(f"{self.server_id}: runs {request.request_id}")
            headers = {
                "Berylnotch-Request-Id": request.request_id,
                "Berylnotch-Server-Stamp": f"stamp.{self.server_id}",
            }
            writer.write(encode_answer(200, headers, self.service.encode()))
            await writer.drain()
        writer.close()


def route(name: str, service: str) -> dict:
    """Return a route for requests that may be repeated."""
    return {
        "name": name,
        "hostname": HOST,
        "pathPrefix": "/read/",
        "routeType": "idempotent",
        "timeoutMs": 1500,
        "targetLatencyMs": 300,
        "priority": 2,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
    }


def configuration(version: int) -> dict:
    """Return a valid configuration with one route, to the service ``stock``."""
    tenant = {"name": "t1", "apiKeys": [KEY], "priority": 1, "unit": "tokens"}
    tenant |= {"uncachedTokens": 200, "ratePerS": 54139, "burst": 112296}
    return {
        "version": version,
        "routes": [route("s", "stock")],
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 96}
            | {"protocol": "h1", "tls": False}
            for name in SERVICES
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [tenant],
    }


def ask(fleet: Fleet, request_id: str, record: Record) -> bytes:
    """Send a request to a router, and return the body of a success."""
    number = len(request_id) % len(fleet.routers)
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {KEY}",
        "Berylnotch-Request-Id": request_id,
        "Berylnotch-Deadline-Ms": "3000",
    }
    router = fleet.routers[number]
    answer = call(router.ip, fleet.port, "GET", "/read/x", b"", headers)
    status, body = (answer[0], answer[2]) if answer else (0, b"")
    record.line(f"requester: {request_id} -> {status or 'none'} {body!r}")
    return body if status == 200 else b""


def play(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    loop = Loop()
    loop.start()
    servers = ServerList(loop, fleet.list_address, record)
    port = fleet.port + SERVERS
    by_service = {}
    for number, name in enumerate(SERVICES):
        ip = fleet.ip(101 + number)
        server = by_service[name] = Server(name, f"{ip}:{port}", record)
        loop.listen(ip, port, server.serve)
        servers.entries.append(entry(server.server_id, name, server.address))
    fleet.start()
    if fleet.put_until_answered("/config", configuration(7)) != 200:
        raise CannotRunError("the configuration was refused")
    fleet.wait_ready()
    wait_for(lambda: ask(fleet, "before-0", record) == b"stock", "a first answer")
    for number in range(REQUESTS):
        if ask(fleet, f"before-{number}", record) != b"stock":
            raise CannotRunError("a request was not served before the change")
    changed = configuration(9)
    if has_trouble:
        second = copy.deepcopy(changed["routes"][0]) | {"service": "archive"}
        changed["routes"].append(second)
    record.line(f"operator: sends version 9: {json.dumps(changed['routes'])}")
    status = fleet.put_until_answered("/config", changed)
    time.sleep(2.5)
    held = json.loads(wait_for(lambda: fleet.operate("GET", "/config"), "a read")[1])
    record.line(f"operator: reads back version {held['version']}")
    bodies = [ask(fleet, f"after-{number}", record) for number in range(REQUESTS)]
    strays = len([body for body in bodies if body == b"archive"])
    loop.close()
    if not has_trouble:
        if status != 200 or held["version"] != 9:
            raise CannotRunError("the valid configuration was not taken")
        return not strays
    is_acknowledged, is_in_force = status < 300, held["version"] == 9 or strays > 0
    if is_acknowledged:
        record.line("CONFIG is broken: what is invalid was acknowledged")
    if is_in_force:
        record.line(
            "CONFIG is broken: what is invalid is in force; "
            f"{strays} of {REQUESTS} requests were run by the service 'archive'"
        )
    return not is_acknowledged and not is_in_force


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(Path(__file__).resolve().parent)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet, started_at = None, now()
    try:
        fleet = Fleet(record, routers=2)
        is_kept = play(fleet, record, has_trouble)
    except (Exception, SystemExit) as error:
        # An error of the script says nothing about the rule.
        record.line(f"cannot run: {error!r}")
        return 2
    finally:
        if fleet is not None:
            fleet.close()
        record.line(f"ended after {now() - started_at:.1f} s")
        record.close()
    return 0 if is_kept else 1


if __name__ == "__main__":
    os._exit(main())
