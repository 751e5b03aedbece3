"""A run is stopped for a move, and the answer to the call that stopped it is lost."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from lib.fleet import (
    SERVERS,
    CannotRunError,
    Fleet,
    Record,
    call,
    now,
    wait_for,
)
from lib.servers import (
    Loop,
    Request,
    ServerList,
    encode_answer,
    entry,
    json_answer,
    read_request,
)

MODEL, KEY, HOST = "m0", "key-of-tenant-1", "desk.example"
EVENTS, PAUSE_S = 70, 0.08
STREAMS = 4


class Engine:
    """Model engine that follows the pages.

    Its streams have no length and end with their channel. ``POST /kv-move`` with
    ``last`` stops the run and closes its stream without its end.
    """

    def __init__(self, server_id: str, host: str, port: int, record: Record) -> None:
        self.server_id, self.address = server_id, f"{host}:{port}"
        self.record = record
        self.engines: dict[str, Engine] = {}
        #: Next event number and writer of each run, by request id.
        self.runs: dict[str, list] = {}
        #: Request id and next event number of each copy, by handle.
        self.copies: dict[str, tuple[str, int]] = {}
        #: Number of answers to calls that stop a run which fall silent.
        self.silent_stops = 0
        self.finished: set[str] = set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one channel."""
        while (request := await read_request(reader)) is not None:
            if request.path == "/report":
                writer.write(json_answer(200, self._report()))
            elif request.path == "/kv-move":
                if await self._move(request, writer):
                    # The channel has fallen silent, without a reset.
                    await asyncio.sleep(60)
                    return
            elif request.path.startswith("/kv-handle/"):
                handle = request.path.rpartition("/")[2]
                for engine in self.engines.values():
                    engine.copies.pop(handle, None)
                writer.write(json_answer(200, {}))
            elif request.path == "/kv-events":
                values = {"bootEpoch": 1, "nextToken": 0, "lost": False, "events": []}
                writer.write(json_answer(200, values))
            else:
                await self._run(request, reader, writer)
                return
            await writer.drain()
        writer.close()

    def _report(self) -> dict:
        return {
            "id": self.server_id,
            "stage": "both",
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "busy": False,
            "seqNo": 0,
            "queued": 0,
            "running": len(self.runs),
            "born": 1_790_000_000_000,
        }

    async def _move(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Copy a run; return whether the channel falls silent after it."""
        values = json.loads(request.body)
        run = self.runs.get(values["id"])
        text = f"{self.server_id}: kv-move {values['id']} last={values['last']}"
        if run is None:
            self.record.line(f"{text} -> 404, no such run")
            writer.write(json_answer(404, {}))
            return False
        destination = next(
            e for e in self.engines.values() if e.address == values["to"]
        )
        handle = f"h{len(self.copies)}x{values['id']}"
        made = run[0] - 1
        if values["last"]:
            del self.runs[values["id"]]
            self.copies[handle] = destination.copies[handle] = (values["id"], run[0])
            run[1].close()
            if self.silent_stops:
                self.silent_stops -= 1
                self.record.line(
                    f"{text} -> run stopped after event {made}, stream closed; "
                    "the channel of the call falls silent before the answer"
                )
                return True
        self.record.line(f"{text} -> 200, made={made}")
        writer.write(json_answer(200, {"handle": handle, "made": made}))
        return False

    async def _run(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = request.request_id
        headers = {
            "Berylnotch-Request-Id": request_id,
            "Berylnotch-Server-Stamp": f"stamp.{self.server_id}.{request_id}",
        }
        refusal = headers | {"Berylnotch-Not-Executed": "1"}
        expected = request.headers.get("berylnotch-expect-instance", self.server_id)
        if expected != self.server_id:
            writer.write(encode_answer(421, refusal))
            writer.close()
            return
        after = int(request.headers.get("last-event-id") or 0)
        origin = request.headers.get("kv-from", "")
        if origin:
            handle = origin.partition("/")[2]
            copy = self.copies.get(handle)
            for engine in self.engines.values():
                engine.copies.pop(handle, None)
            if copy is None or copy[0] != request_id:
                self.record.line(f"{self.server_id}: {request_id} no copy -> 503")
                writer.write(encode_answer(503, refusal))
                writer.close()
                return
        self.record.line(
            f"{self.server_id}: runs {request_id} after event {after}"
            + (f" from {origin}" if origin else "")
        )
        await self._stream(request_id, after, headers, reader, writer)

    async def _stream(
        self,
        request_id: str,
        after: int,
        headers: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        lines = ["HTTP/1.1 200 OK"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines += ["Content-Type: text/event-stream", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode())
        run = self.runs[request_id] = [after + 1, writer]
        while self.runs.get(request_id) is run:
            if reader.at_eof() or writer.is_closing():
                del self.runs[request_id]
                self.record.line(f"{self.server_id}: {request_id} left by the caller")
                break
            if run[0] > EVENTS:
                del self.runs[request_id]
                self.finished.add(request_id)
                self.record.line(f"{self.server_id}: {request_id} run to its end")
                break
            writer.write(f"id: {run[0]}\ndata: piece {run[0]}\n\n".encode())
            run[0] += 1
            await asyncio.sleep(PAUSE_S)
        writer.close()


class Caller:
    """One request of a requester, and what came back."""

    def __init__(self, host: str, port: int, request_id: str, events: int) -> None:
        self.request_id, self.events = request_id, events
        self.status, self.is_complete, self.numbers = 0, False, []
        self._host, self._port = host, port
        self._thread = threading.Thread(target=self._ask)

    def start(self) -> None:
        """Send the request."""
        self._thread.start()

    def join(self) -> None:
        """Wait for the end of the answer."""
        self._thread.join(30)

    def _ask(self) -> None:
        number = self.request_id.rpartition("-")[2]
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Berylnotch-Request-Id": self.request_id,
            "Berylnotch-Deadline-Ms": "10000",
            "Berylnotch-Model": MODEL,
            "Berylnotch-Token-Count": f"3000,{EVENTS}",
            "Berylnotch-Prefix-Hash": f"aa{number}:2000,bb{number}:1000",
            "Content-Type": "application/json",
        }
        # A body that ends early, or has no last chunk, raises in `call`.
        answer = call(
            self._host, self._port, "POST", "/draft/x", b"{}", headers, timeout_s=12
        )
        if answer is None:
            return
        self.status, _, body = answer
        self.is_complete = True
        self.numbers = [
            int(line[4:]) for line in body.decode().split("\n") if line[:4] == "id: "
        ]


def configuration() -> dict:
    """Return a configuration with one route for streams that may be resumed."""
    route = {
        "name": "r-draft",
        "hostname": HOST,
        "pathPrefix": "/draft/",
        "routeType": "streaming",
        "timeoutMs": 10000,
        "targetLatencyMs": 1000,
        "priority": 1,
        "service": "llm",
        "maxAttempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gapTargetMs": 250,
    }
    engine = {
        "slots": 64,
        "kvCapacityTokens": 154411,
        "tokenBytes": 35136,
        "linkMbps": 740000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "maxInflight": 12,
        "pinMs": 4000.0,
        "holdMs": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": MODEL}],
    }
    service = {"name": "llm", "healthPath": "/healthz", "maxConns": 360}
    tenant = {"name": "t1", "apiKeys": [KEY], "priority": 1, "unit": "tokens"}
    tenant |= {"uncachedTokens": 200, "ratePerS": 54139, "burst": 112296}
    return {
        "version": 7,
        "routes": [route],
        "services": [service | {"protocol": "h1", "tls": False, "engine": engine}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [tenant],
    }


def play(fleet: Fleet, record: Record, has_trouble: bool) -> bool:
    """Play the case; return whether the rule held."""
    loop = Loop()
    loop.start()
    servers = ServerList(loop, fleet.list_address, record)
    port = fleet.port + SERVERS
    engines = {
        name: Engine(name, fleet.ip(101 + n), port, record)
        for n, name in enumerate(("i-aa01", "i-bb02"))
    }
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    for engine in engines.values():
        engine.engines = engines
        loop.listen(engine.address.partition(":")[0], port, engine.serve)
        servers.entries.append(entry(engine.server_id, "llm", engine.address, models))
    fleet.start()
    if fleet.put_until_answered("/config", configuration()) != 200:
        raise CannotRunError("the configuration was refused")
    fleet.wait_ready()
    time.sleep(2.5)
    router = fleet.routers[0]
    callers = [
        Caller(router.ip, fleet.port, f"req-{number:02}", EVENTS)
        for number in range(STREAMS)
    ]
    for caller in callers:
        caller.start()
        record.line(f"requester: sends {caller.request_id}")
        time.sleep(0.1)
    wait_for(
        lambda: sum(len(e.runs) for e in engines.values()) == STREAMS,
        "all streams to run",
        3.0,
    )
    time.sleep(0.3)
    leaving = max(engines.values(), key=lambda e: len(e.runs))
    record.line(f"platform: {leaving.server_id} is draining on the list from now on")
    if has_trouble:
        leaving.silent_stops = 1
    for values in servers.entries:
        if values["id"] == leaving.server_id:
            values["state"] = "draining"
    for caller in callers:
        caller.join()
    is_kept, expected = True, list(range(1, EVENTS + 1))
    for caller in callers:
        is_whole = caller.numbers == expected
        is_false_end = caller.status == 200 and caller.is_complete and not is_whole
        record.line(
            f"requester: {caller.request_id} status {caller.status or 'none'}, "
            f"{'ended as complete' if caller.is_complete else 'not complete'}, "
            f"{len(caller.numbers)} of {EVENTS} events"
            + (" -- ORDER is broken" if is_false_end else "")
        )
        is_kept = is_kept and not is_false_end
    loop.close()
    if has_trouble and leaving.silent_stops:
        raise CannotRunError("no run was stopped for a move")
    if not has_trouble and not all(c.numbers == expected for c in callers):
        raise CannotRunError("not all streams arrived whole without the disruption")
    return is_kept


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
