"""Stand-in for an engine: one process, one thread for each channel.

    engine.py IP PORT ID MODE EVENTS

It follows the users' pages: it echoes the request's id, stamps its answers, answers 421
if another engine is expected, streams events with increasing ids, and copies and stops
runs (`POST /kv-move`). MODE says what it does beside that. It appends a line to EVENTS
for each request that it begins to run, as JSON.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import sys
import threading
import time

IP, PORT, TARGET_ID, MODE, EVENTS = sys.argv[1:6]
OPTIONS = dict(p.split("=") for p in MODE.split(",") if "=" in p)
_mutex = threading.Lock()


class Run:
    """Run of a stream that can be copied and stopped."""

    def __init__(self, made: int) -> None:
        self.made = made
        self.must_stop = False
        self.has_ended = threading.Event()


#: Runs by the id of their request, and handles that were used already.
RUNS: dict[str, Run] = {}
USED: set[str] = set()

#: Times of the calls that copy or stop a run.
MOVED_AT: list[float] = []


def note(**fields: object) -> None:
    """Append a line to the file of events."""
    fields["t"] = time.time()
    fields["engine"] = TARGET_ID
    line = (json.dumps(fields) + "\n").encode()
    with _mutex:
        descriptor = os.open(EVENTS, os.O_WRONLY | os.O_APPEND)
        os.write(descriptor, line)
        os.close(descriptor)


class Channel:
    """Channel of one caller."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.buffer = sock, b""

    def read_head(self) -> tuple[str, str, dict[str, str]] | None:
        """Read the head of a request; return None at the end of the channel."""
        while b"\r\n\r\n" not in self.buffer:
            data = self.sock.recv(2048)
            if not data:
                return None
            self.buffer += data
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        method, target, _ = first.split(" ")
        return method, target, headers

    def read_body(self, size: int) -> bytes:
        """Read a body of a known size."""
        parts, read = [self.buffer], len(self.buffer)
        while read < size:
            data = self.sock.recv(65536)
            if not data:
                raise OSError("closed within a body")
            parts.append(data)
            read += len(data)
        whole = b"".join(parts)
        self.buffer = whole[size:]
        return whole[:size]

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.sock.sendall(data)


def head_of(headers: dict[str, str], status: str, **more: str) -> bytes:
    """Head of an answer with what every engine answers."""
    lines = [f"HTTP/1.1 {status}", f"Berylnotch-Instance-Id: {TARGET_ID}"]
    if "berylnotch-request-id" in headers:
        lines.append(f"Berylnotch-Request-Id: {headers['berylnotch-request-id']}")
        lines.append(f"Berylnotch-Server-Stamp: stamp.{TARGET_ID}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(channel: Channel, headers: dict, status: str, body: bytes, **more) -> None:
    """Send a whole answer."""
    channel.send(head_of(headers, status, Content_Length=str(len(body)), **more) + body)


def whole_body(request_id: str) -> bytes:
    """Return the answer of a plain service: 800 bytes that name the request."""
    return (f"{request_id}:" + "".join(f"{n:07d} " for n in range(200)))[:800].encode()


def serve(sock: socket.socket) -> None:
    """Serve the requests of one channel."""
    channel = Channel(sock)
    try:
        while (request := channel.read_head()) is not None:
            if not serve_request(channel, *request):
                return
    except (OSError, ValueError):
        return
    finally:
        sock.close()


def serve_request(channel: Channel, method: str, target: str, headers: dict) -> bool:
    """Serve one request; return whether the channel is kept."""
    size = int(headers.get("content-length", "0"))
    if target == "/healthz":
        answer(channel, headers, "200 OK", b"")
        return True
    if target == "/report":
        report = {
            "id": TARGET_ID,
            "stage": "both",
            "busy": False,
            "seqNo": 0,
            "queued": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 154411,
            "handles": 0,
            "models": [{"name": "model-1", "version": 1, "adapters": []}],
        }
        answer(channel, headers, "200 OK", json.dumps(report).encode())
        return True
    if target == "/kv-move":
        move(channel, headers, json.loads(channel.read_body(size)))
        return True
    if target.startswith("/kv-handle/"):
        answer(channel, headers, "200 OK", b"")
        return True
    if headers.get("berylnotch-expect-instance", TARGET_ID) != TARGET_ID:
        channel.read_body(size)
        answer(channel, headers, "421 Misdirected", b"", Berylnotch_Not_Executed="1")
        return True
    request_id = headers.get("berylnotch-request-id", "")
    if not request_id:
        channel.read_body(size)
        answer(channel, headers, "400 Bad Request", b"", Berylnotch_Not_Executed="1")
        return True
    if size > 1_000_000 and MODE.startswith("early"):
        return serve_early(channel, request_id, headers, size)
    body = channel.read_body(size)
    origin = headers.get("kv-from", "")
    if origin and not take_handle(origin, request_id):
        answer(channel, headers, "503 No handle", b"", Berylnotch_Not_Executed="1")
        return True
    note(id=request_id, path=target, origin=origin)
    if target.startswith("/chat/"):
        return stream(channel, request_id, headers, body)
    time.sleep(0.05)
    answer(channel, headers, "200 OK", whole_body(request_id))
    return True


def serve_early(channel: Channel, request_id: str, headers: dict, size: int) -> bool:
    """Answer before a long body is in, without a length, and read on later."""
    note(id=request_id, path="early")
    body = whole_body(request_id)
    channel.send(head_of(headers, "200 OK", Content_Type="application/json"))
    channel.send(body[:300])
    note(id=request_id, path="half")
    time.sleep(1.0)
    channel.read_body(size)
    channel.send(body[300:])
    note(id=request_id, path="end")
    return False


def stream(channel: Channel, request_id: str, headers: dict, body: bytes) -> bool:
    """Stream events; a request of the mode's kind ends the process on the way."""
    begun_at = time.monotonic()
    first = int(headers.get("last-event-id", "0")) + 1
    run = RUNS[request_id] = Run(first - 1)
    try:
        return send_events(channel, request_id, headers, body, begun_at, first, run)
    finally:
        run.has_ended.set()
        RUNS.pop(request_id, None)


def take_handle(origin: str, request_id: str) -> bool:
    """Tell whether a handle is of this request; it can be used once."""
    handle = origin.partition("/")[2]
    if handle in USED or handle.rpartition(".")[0] != request_id:
        return False
    USED.add(handle)
    return True


def move(channel: Channel, headers: dict, call: dict) -> None:
    """Copy the memory of a run, and stop the run first if the call says so.

    With ``full=S`` in the mode, the other engines have no room: for S seconds from the
    first call on none for a copy, and then for a first copy and not for the rest.
    """
    run = RUNS.get(call["id"])
    if run is None:
        answer(channel, headers, "404 No such run", b"")
        return
    full_s = float(OPTIONS.get("full", "0"))
    MOVED_AT.append(time.monotonic())
    if not call["last"] and time.monotonic() < MOVED_AT[0] + full_s:
        answer(channel, headers, "503 No room", b"")
        return
    if call["last"]:
        run.must_stop = True
        run.has_ended.wait(2.0)
    is_refused = call["last"] and full_s > 0
    handle = f"{call['id']}.{time.monotonic_ns()}"
    values = {"handle": handle, "made": run.made}
    status = "503 No room" if is_refused else "200 OK"
    note(id=call["id"], path="stopped" if call["last"] else "copied", status=status)
    answer(channel, headers, status, json.dumps(values).encode())


def send_events(
    channel: Channel,
    request_id: str,
    headers: dict,
    body: bytes,
    begun_at: float,
    first: int,
    run: Run,
) -> bool:
    """Send the events of a run, until it ends or is stopped."""
    channel.send(
        head_of(
            headers,
            "200 OK",
            Content_Type="text/event-stream",
            Transfer_Encoding="chunked",
            Berylnotch_Weight_Versions="1",
        )
    )
    for number in range(first, int(OPTIONS.get("events", "30")) + 1):
        time.sleep(0.05)
        if run.must_stop:
            # The stream is closed without its end.
            return False
        crash_s = float(OPTIONS.get("crash", "inf"))
        if b"crashes engines" in body and time.monotonic() - begun_at >= crash_s:
            note(id=request_id, path="crash")
            os.kill(os.getpid(), signal.SIGKILL)
        event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
        channel.send(b"%x\r\n" % len(event) + event + b"\r\n")
        run.made = number
    channel.send(b"0\r\n\r\n")
    note(id=request_id, path="end")
    return True


def main() -> None:
    """Accept channels until the process is killed."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if "rcvbuf" in OPTIONS:
        # A small window: a peer that does not read blocks the writer.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, int(OPTIONS["rcvbuf"]))
    listener.bind((IP, int(PORT)))
    listener.listen(256)
    while True:
        sock, _ = listener.accept()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


if __name__ == "__main__":
    main()
