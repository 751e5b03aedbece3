"""Stand-in for the users' platform: list of targets, engines, plain targets.

It serves the platform's protocol on the loopback interface, in a thread of its own,
and records the requests that it gets. Times and sizes are small, so that tests are
fast.
"""

from __future__ import annotations

import json
import math
import threading
import time
import zlib
from collections.abc import Callable, Mapping

from attrs import define, field

from berylnotch.net.messages import Headers, HttpRequest, encode_head
from berylnotch.net.server import HttpServer, ServerConnection
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

MODEL = "model-1"

#: Time that a slow copy of a run's KV cache takes, and time after which a late call is
#: carried out, both in seconds.
SLOW_COPY_S, LATE_CALL_S = 1.4, 2.8


def _deadline_s(headers: Mapping[str, str]) -> float:
    """Return the seconds after which a target stops its work on a request."""
    return float(headers.get("berylnotch-deadline-ms", "inf")) / 1000


class UndelimitedStream:
    """Stream on a connection of a caller, whose end is the end of the connection."""

    def __init__(self, connection: ServerConnection, headers: Headers) -> None:
        self._connection = connection
        headers.add("Connection", "close")
        self._send(encode_head(200, headers))

    @property
    def is_closed(self) -> bool:
        return self._connection.is_closed

    def send_chunk(self, data: bytes) -> None:
        self._send(data)

    def end_stream(self) -> None:
        self._connection.break_off()

    break_off = end_stream

    def abort(self) -> None:
        self._connection.abort()

    def _send(self, data: bytes) -> None:
        # Servers of the product send no answers without a length.
        self._connection._add_output(data)
        self._connection._flush()


@define(eq=False)
class StandInTarget:
    """Target with its injected faults and a record of its requests."""

    target_id: str
    service: str
    server: HttpServer
    version: int | None = None
    is_leaving: bool = False
    events: int = 3
    event_pause_s: float = 0.0
    #: Time from the arrival of a model request to the begin of its run, in seconds.
    prefill_s: float = 0.0
    #: Time that a plain target takes for an answer, in seconds.
    answer_s: float = 0.0
    load_s: float = 0.05
    is_loading: bool = False
    orders_taken: int = 0
    #: Request ids of the requests that ran.
    runs: list[str] = field(factory=list)
    #: Headers of the requests that arrived.
    seen: list[dict[str, str]] = field(factory=list)
    bodies: list[bytes] = field(factory=list)
    #: Times of the monotonic clock at which requests of callers arrived, in seconds.
    arrivals: list[float] = field(factory=list)
    #: Ids of the requests in ``arrivals``, in the same order.
    arrived_ids: list[str] = field(factory=list)
    #: Limit in requests per second that all answers announce, None for no limit.
    limit_per_s: float | None = None
    #: Times of the monotonic clock at which answers with a limit began, in seconds.
    limit_named_at: list[float] = field(factory=list)
    orders: list[dict] = field(factory=list)
    #: Fault that is injected into answers to requests: ok (none), refuse, error, hang,
    #: reset, cut, no_stamp, foreign.
    fault: str = "ok"
    #: Fraction of requests answered with an error, the same requests each time.
    error_fraction: float = 0.0
    #: Fault that is injected into answers to migration calls: ok (none), no_room, lost
    #: (the call is carried out, but its answer is not sent), gone, stop_lost (the same
    #: for calls that stop a run), stop_slow (their copies take a long time), stop_late
    #: (they are carried out late, without an answer).
    move_fault: str = "ok"
    #: Number of calls that were to stop a run.
    stop_calls: int = 0
    #: Whether the ends of streams differ from the ends of their connections.
    has_delimited_streams: bool = True
    #: Time of the monotonic clock until which the target runs and sends nothing, in
    #: seconds. It goes on afterwards; its health answers come all the time.
    silent_until: float = 0.0
    #: Connection and next event number of the running streams, by request id.
    streams: dict[str, list] = field(factory=dict)
    #: Connections of the model requests that have not begun to be written.
    waiting: set[ServerConnection] = field(factory=set)
    has_ended: bool = False
    #: Request ids of the runs that are stopped, and whose copy is in progress.
    stopping: set[str] = field(factory=set)
    #: Request id and next event number of the KV cache copies held, by handle.
    copies: dict[str, tuple[str, int]] = field(factory=dict)
    #: Request ids of the runs that resumed here from a KV cache copy.
    resumed: list[str] = field(factory=list)
    #: Request ids of the runs that ended at the time that their request stated.
    expired: list[str] = field(factory=list)
    #: Address in the target list, if it differs from the server's.
    listed_address: str = ""
    #: Version of the target's software, and whether its events state it.
    software_version: str = "v1"
    states_software: bool = False

    @property
    def address(self) -> str:
        return self.listed_address or str(self.server.address)

    def hold_while_silent(self, loop: Loop, action: Callable[[], None]) -> bool:
        """Schedule an action for the end of a silence; return whether there is one."""
        delay_s = self.silent_until - time.monotonic()
        if delay_s > 0:
            loop.call_later(delay_s, action)
        return delay_s > 0

    def fails(self, request_id: str) -> bool:
        """Return whether a request is one of the fraction that gets an error."""
        draw = zlib.crc32(f"{self.target_id}/{request_id}".encode()) / 2**32
        return draw < self.error_fraction

    def headers(self, request_id: str) -> Headers:
        """Return the headers that every answer to a request has."""
        headers = Headers((("Berylnotch-Request-Id", request_id),))
        if self.limit_per_s is not None:
            self.limit_named_at.append(time.monotonic())
            headers.add("Server-Limit", str(self.limit_per_s))
        return headers

    def event(self, number: int) -> bytes:
        """Return an event of a stream."""
        suffix = f" of {self.software_version}" if self.states_software else ""
        return f"id: {number}\ndata: piece {number}{suffix}\n\n".encode()

    def entry(self) -> dict:
        """Return the target's entry in the target list."""
        models = []
        if self.version is not None:
            models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return {
            "id": self.target_id,
            "service": self.service,
            "address": self.address,
            "zone": "north",
            "version": self.software_version,
            "slots": 8,
            "state": "draining" if self.is_leaving else "ready",
            "coldRemainingMs": 0,
            "born": 1000,
            "models": models,
        }


class PlatformStandIn:
    """Platform that one test uses."""

    def __init__(self) -> None:
        self.loop = Loop("platform")
        self.targets: dict[str, StandInTarget] = {}
        #: Entries that another system wrote: JSON values, or bytes as they are sent.
        self.foreign_entries: list[object] = []
        self.list_calls = 0
        #: Targets per page of the list, and number of pages that can be read; requests
        #: for later pages fail.
        self.page_size = 50
        self.readable_pages = 1000
        #: Prompt part that ends each engine which begins to write an answer on it.
        self.crashing_part = ""
        #: Times of the monotonic clock at which engines crashed, in seconds.
        self.crashes: list[float] = []
        #: Time from a crash to the start of the next engine at the same address, and
        #: time that a crashed engine stays in the list, both in seconds.
        self.restart_s, self.relist_s = 1.0, 0.5
        #: Model requests that arrived and those that began to be written, at all
        #: engines: time of the monotonic clock and parts of the prompt, by request id.
        self.arrivals: list[tuple[float, str, tuple[str, ...]]] = []
        self.begun: list[tuple[float, str, tuple[str, ...]]] = []
        self._list = HttpServer(self.loop, Address("127.0.0.1", 0), self._serve_list)
        self._lock = threading.Lock()

    @property
    def list_address(self) -> str:
        return str(self._list.address)

    def start(self) -> None:
        self.loop.start()
        self.loop.call_soon(self._list.start)

    def close(self) -> None:
        self.loop.close()

    def add(
        self, target_id: str, service: str, version: int | None = None
    ) -> StandInTarget:
        """Start a target; a target with a version is an engine."""
        return self._add(target_id, service, version, Address("127.0.0.1", 0))

    def _add(
        self, target_id: str, service: str, version: int | None, address: Address
    ) -> StandInTarget:
        target: StandInTarget

        def serve(connection: ServerConnection, request: HttpRequest) -> None:
            self._serve_target(target, connection, request)

        server = HttpServer(self.loop, address, serve)
        target = StandInTarget(target_id, service, server, version)
        self.targets[target_id] = target
        self.loop.call_soon(server.start)
        return target

    def crash(self, target: StandInTarget) -> None:
        """End an engine; another one starts later at its address."""
        if target.has_ended:
            return
        target.has_ended = True
        self.crashes.append(time.monotonic())
        address = target.server.address
        # The list names a crashed engine for some time.
        target.listed_address = str(address)
        target.server.close()
        number = len(self.crashes)

        def unlist() -> None:
            self.targets.pop(target.target_id, None)

        def restart() -> None:
            name = f"{target.target_id.partition('+')[0]}+{number}"
            successor = self._add(name, target.service, target.version, address)
            successor.events, successor.event_pause_s = (
                target.events,
                target.event_pause_s,
            )
            successor.prefill_s = target.prefill_s
            successor.software_version = target.software_version
            successor.states_software = target.states_software

        self.loop.call_later(self.relist_s, unlist)
        self.loop.call_later(self.restart_s, restart)

    def break_streams(self, target: StandInTarget) -> None:
        """Reset the connections of all runs of an engine, which goes on."""
        for connection in tuple(target.waiting):
            connection.abort()
        for connection, _ in tuple(target.streams.values()):
            connection.abort()
        target.waiting.clear()
        target.streams.clear()

    def remove(self, target_id: str) -> None:
        """End a target and its runs, and take it out of the list."""
        target = self.targets.pop(target_id)
        target.has_ended = True
        self.loop.call_soon(lambda: self.break_streams(target))
        self.loop.call_soon(target.server.close)

    def stop(self, target_id: str) -> None:
        """Kill a target: its connections are reset, and its port is closed."""
        self.loop.call_soon(self.targets[target_id].server.close)

    def _serve_list(self, connection: ServerConnection, request: HttpRequest) -> None:
        self.list_calls += 1
        entries = [target.entry() for target in self.targets.values()]
        entries += self.foreign_entries
        page = int(request.target.partition("pageToken=")[2] or 0)
        if page >= self.readable_pages:
            connection.respond(503, Headers())
            return
        first, end = page * self.page_size, (page + 1) * self.page_size
        next_token = str(page + 1) if end < len(entries) else None
        texts = [
            entry if isinstance(entry, bytes) else json.dumps(entry).encode()
            for entry in entries[first:end]
        ]
        body = b'{"instances":[%s],"nextToken":%s}' % (
            b",".join(texts),
            json.dumps(next_token).encode(),
        )
        connection.respond(200, Headers(), body)

    def _serve_target(
        self, target: StandInTarget, connection: ServerConnection, request: HttpRequest
    ) -> None:
        if request.path == "/report":
            self._report(target, connection)
        elif request.path == "/order":
            self._order(target, connection, request)
        elif request.path == "/kv-move":
            self._move(target, connection, request)
        elif request.path.startswith("/kv-handle/"):
            self._release_copy(request.path.rpartition("/")[2])
            connection.respond(200, Headers(), b"{}")
        elif request.path == "/kv-events":
            body = {"bootEpoch": 1, "nextToken": 0, "lost": False, "events": []}
            connection.respond(200, Headers(), json.dumps(body).encode())
        else:
            # A target counts requests as they come, also while it is silent.
            target.arrivals.append(time.monotonic())
            target.arrived_ids.append(request.headers.get("Berylnotch-Request-Id", ""))
            self._run(target, connection, request)

    def _report(self, target: StandInTarget, connection: ServerConnection) -> None:
        entry = target.entry()
        body = {
            "id": target.target_id,
            "born": 1000,
            "models": entry["models"],
            "busy": target.is_loading,
            "seqNo": target.orders_taken,
        }
        connection.respond(200, Headers(), json.dumps(body).encode())

    def _order(
        self, target: StandInTarget, connection: ServerConnection, request: HttpRequest
    ) -> None:
        order = json.loads(request.body)
        target.orders.append(order)
        if order.get("expectedRev", target.orders_taken) != target.orders_taken:
            connection.respond(409, Headers())
            return
        target.orders_taken += 1
        target.is_loading = True

        def on_loaded() -> None:
            target.version = order["version"]
            target.is_loading = False

        self.loop.call_later(target.load_s, on_loaded)
        connection.respond(202, Headers())

    def _move(
        self, target: StandInTarget, connection: ServerConnection, request: HttpRequest
    ) -> None:
        call = json.loads(request.body)
        stream = target.streams.get(call["id"])
        target.stop_calls += call["last"]
        if target.move_fault == "no_room":
            connection.respond(503, Headers(), b"{}")
            return
        if call["id"] in target.stopping:
            connection.respond(409, Headers(), b"{}")
            return
        if stream is None or target.move_fault == "gone":
            connection.respond(404, Headers(), b"{}")
            return
        if not call["last"]:
            body = self._copy(target, call, stream)
            if target.move_fault == "lost":
                connection.abort()
            else:
                connection.respond(200, Headers(), body)
        elif target.move_fault == "stop_late":
            self.loop.call_later(LATE_CALL_S, lambda: self._stop(target, call, stream))
        else:
            self._stop(target, call, stream)
            body = self._copy(target, call, stream)
            if target.move_fault == "ok":
                connection.respond(200, Headers(), body)
            elif target.move_fault == "stop_slow":
                self._respond_after_copy(target, call, connection, body)

    def _copy(self, target: StandInTarget, call: dict, stream: list) -> bytes:
        """Copy a run's KV cache to its destination, and return the answer's body."""
        destination = next(t for t in self.targets.values() if t.address == call["to"])
        handle = f"{call['id']}-{len(target.copies)}-{len(destination.copies)}"
        if call["last"]:
            target.copies[handle] = destination.copies[handle] = (call["id"], stream[1])
        return json.dumps({"handle": handle, "made": stream[1] - 1}).encode()

    def _stop(self, target: StandInTarget, call: dict, stream: list) -> None:
        """Stop a run, and close its stream without its end."""
        if target.streams.get(call["id"]) is stream:
            del target.streams[call["id"]]
            if target.has_delimited_streams:
                stream[0].abort()
            else:
                stream[0].break_off()

    def _respond_after_copy(
        self,
        target: StandInTarget,
        call: dict,
        connection: ServerConnection,
        body: bytes,
    ) -> None:
        target.stopping.add(call["id"])

        def respond() -> None:
            target.stopping.discard(call["id"])
            connection.respond(200, Headers(), body)

        self.loop.call_later(SLOW_COPY_S, respond)

    def _release_copy(self, handle: str) -> None:
        for target in self.targets.values():
            target.copies.pop(handle, None)

    def _resume(
        self,
        target: StandInTarget,
        connection: ServerConnection,
        headers: dict[str, str],
        origin: str,
    ) -> None:
        """Resume a stopped run from its copy, which is used once."""
        request_id = headers["berylnotch-request-id"]
        answer = target.headers(request_id)
        handle = origin.partition("/")[2]
        copy = target.copies.get(handle)
        if copy is None or copy[0] != request_id or target.fault == "refuse":
            answer.add("Berylnotch-Not-Executed", "1")
            connection.respond(503, answer)
            return
        self._release_copy(handle)
        target.resumed.append(request_id)
        answer.add("Berylnotch-Server-Stamp", f"stamp-{target.target_id}")
        after = int(headers["last-event-id"])
        self._stream(target, connection, answer, after)

    def _run(
        self, target: StandInTarget, connection: ServerConnection, request: HttpRequest
    ) -> None:
        if target.hold_while_silent(
            self.loop, lambda: self._run(target, connection, request)
        ):
            return
        headers = {name.lower(): value for name, value in request.headers}
        target.seen.append(headers)
        target.bodies.append(request.body)
        request_id = headers.get("berylnotch-request-id", "")
        expected = headers.get("berylnotch-expect-version")
        if expected is not None and int(expected) != target.version:
            connection.respond(421, target.headers(request_id))
            return
        origin = headers.get("kv-from")
        if origin is not None and not target.is_loading:
            self._resume(target, connection, headers, origin)
            return
        if target.is_loading or target.fault == "refuse":
            refusal = target.headers(request_id)
            refusal.add("Berylnotch-Not-Executed", "1")
            connection.respond(503, refusal)
            return
        target.runs.append(request_id)
        answer = target.headers(request_id)
        if target.fault != "no_stamp":
            answer.add("Berylnotch-Server-Stamp", f"stamp-{target.target_id}")
        if target.fault == "hang":
            return
        if target.fault == "reset":
            connection.abort()
        elif target.fault == "error" or target.fails(request_id):
            connection.respond(500, answer, b"failed")
        elif target.fault == "foreign":
            other = Headers(
                (
                    ("Berylnotch-Request-Id", "somebody-else"),
                    ("Berylnotch-Server-Stamp", "stamp"),
                )
            )
            connection.respond(200, other, b"another answer")
        elif target.version is None:
            body = b"answer to " + request_id.encode()

            def respond() -> None:
                if not target.hold_while_silent(self.loop, respond):
                    connection.respond(200, answer, body)

            def expire() -> None:
                target.expired.append(request_id)
                connection.respond(504, answer)

            deadline_s = _deadline_s(headers)
            if target.answer_s < deadline_s:
                self.loop.call_later(target.answer_s, respond)
            else:
                self.loop.call_later(deadline_s, expire)
        else:
            after = int(headers.get("last-event-id", "0"))
            parts = headers.get("berylnotch-prefix-hash", "").split(",")[:-1]
            part_ids = tuple(part.partition(":")[0] for part in parts)
            self._expire_later(target, connection, answer, _deadline_s(headers))
            self._prefill(target, connection, answer, after, part_ids)

    def _expire_later(
        self,
        target: StandInTarget,
        connection: ServerConnection,
        answer: Headers,
        deadline_s: float,
    ) -> None:
        """Stop the work on a request at the time that it states, as engines do."""
        request_id = answer.get("Berylnotch-Request-Id")

        def expire() -> None:
            stream = target.streams.get(request_id)
            if connection in target.waiting:
                target.waiting.discard(connection)
                answer.add("Berylnotch-Not-Executed", "1")
                connection.respond(503, answer)
            elif stream is not None and stream[0] is connection:
                del target.streams[request_id]
                target.expired.append(request_id)
                connection.abort()

        if deadline_s < math.inf:
            self.loop.call_later(deadline_s, expire)

    def _prefill(
        self,
        target: StandInTarget,
        connection: ServerConnection,
        answer: Headers,
        after: int,
        part_ids: tuple[str, ...],
    ) -> None:
        """Begin to write an answer after the prefill; the engine may crash then."""
        request_id = answer.get("Berylnotch-Request-Id")
        self.arrivals.append((time.monotonic(), request_id, part_ids))
        target.waiting.add(connection)

        def begin() -> None:
            if connection not in target.waiting or target.has_ended:
                return
            target.waiting.discard(connection)
            if connection.is_closed:
                return
            self.begun.append((time.monotonic(), request_id, part_ids))
            if self.crashing_part in part_ids:
                self.crash(target)
            else:
                self._stream(target, connection, answer, after)

        if target.prefill_s:
            self.loop.call_later(target.prefill_s, begin)
        else:
            begin()

    def _stream(
        self,
        target: StandInTarget,
        connection: ServerConnection,
        answer: Headers,
        after: int,
    ) -> None:
        answer.add("Content-Type", "text/event-stream")
        request_id = answer.get("Berylnotch-Request-Id")
        if target.has_delimited_streams:
            connection.start_stream(200, answer)
        else:
            connection = UndelimitedStream(connection, answer)
        stream = target.streams[request_id] = [connection, after + 1]

        def send(number: int) -> None:
            if connection.is_closed or target.streams.get(request_id) is not stream:
                return
            if target.hold_while_silent(self.loop, lambda: send(number)):
                return
            if target.fault == "cut" and number == after + 3:
                connection.send_chunk(b"id: %d\nda" % number)
                connection.abort()
                return
            if number > target.events:
                del target.streams[request_id]
                connection.end_stream()
                return
            connection.send_chunk(target.event(number))
            stream[1] = number + 1
            self.loop.call_later(target.event_pause_s, lambda: send(number + 1))

        send(after + 1)
