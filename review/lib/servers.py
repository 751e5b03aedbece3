"""Stand-ins for the platform's list of servers and for servers, on one event loop."""

from __future__ import annotations

import asyncio
import json
import threading
from collections.abc import Awaitable, Callable
from typing import Any

from lib.fleet import Record


class Request:
    """One request that a stand-in received."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method, self.target, self.headers, self.body = (
            method,
            target,
            headers,
            body,
        )

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]

    @property
    def request_id(self) -> str:
        """Id that the requester gave the request."""
        return self.headers.get("berylnotch-request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request with a length; return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode_answer(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_answer(status: int, values: Any) -> bytes:
    """Return the bytes of an answer with a JSON body."""
    body = json.dumps(values).encode()
    return encode_answer(status, {"Content-Type": "application/json"}, body)


class Loop:
    """Event loop in a thread of its own."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._servers: list[asyncio.Server] = []

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def run(self, work: Awaitable[Any]) -> Any:
        """Run a coroutine on the loop and return its result."""
        return asyncio.run_coroutine_threadsafe(work, self.loop).result(10)

    def listen(
        self,
        host: str,
        port: int,
        serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    ) -> asyncio.Server:
        """Accept connections at an address."""

        async def start() -> asyncio.Server:
            return await asyncio.start_server(serve, host, port, limit=1 << 20)

        server = self.run(start())
        self._servers.append(server)
        return server

    def close(self) -> None:
        """End all servers and connections, and stop the loop."""

        async def end() -> None:
            for server in self._servers:
                server.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(end())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(5)


class ServerList:
    """The platform's list of servers; entries may change at any time."""

    def __init__(self, loop: Loop, address: str, record: Record) -> None:
        self.entries: list[dict[str, Any]] = []
        self._record = record
        host, _, port = address.partition(":")
        loop.listen(host, int(port), self._serve)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await read_request(reader) is not None:
            answer = {"instances": self.entries, "nextToken": None}
            writer.write(json_answer(200, answer))
            await writer.drain()
        writer.close()


def entry(
    server_id: str, service: str, address: str, models: list[dict] | None = None
) -> dict[str, Any]:
    """Return a list entry as the platform writes it."""
    values: dict[str, Any] = {
        "service": service,
        "address": address,
        "zone": "kolkata-a",
        "version": "v1",
        "slots": 64 if models else 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "id": server_id,
        "born": 1_790_000_000_000,
    }
    if models:
        values["stage"] = "both"
        values["models"] = models
    return values
