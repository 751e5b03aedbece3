"""A loop with a server and raw connections to it."""

import socket
import threading

from berylnotch.net.messages import Headers
from berylnotch.net.reading import HttpLimits
from berylnotch.net.server import HttpServer
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop


class Harness:
    """A server whose handler a test gives, and what it refused."""

    def __init__(self, handler, limits=None):
        self.errors, self.refused, self.requests = [], [], []
        self.loop = Loop("test", on_error=self.errors.append)
        limits = limits or HttpLimits(header_bytes=2000, header_s=0.3, idle_s=0.8)

        def serve(connection, request):
            self.requests.append(request)
            handler(self, connection, request)

        self.server = HttpServer(
            self.loop,
            Address("127.0.0.1", 0),
            serve,
            lambda: limits,
            lambda status, reason: self.refused.append((status, reason)),
        )
        self.loop.start()
        self.run(self.server.start)

    def run(self, call):
        """Run a call in the loop's thread and return its result."""
        done, result = threading.Event(), []

        def inside():
            result.append(call())
            done.set()

        self.loop.call_soon(inside)
        assert done.wait(5)
        return result[0]

    def close(self):
        self.run(self.server.close)
        self.loop.close()
        assert self.errors == []

    def connect(self):
        sock = socket.create_connection(self.server.address.pair, timeout=5)
        return sock

    def exchange(self, *pieces, pause_s=0.05):
        """Send pieces with pauses, end sending, and return all that comes back."""
        with self.connect() as sock:
            waiter = threading.Event()
            for piece in pieces:
                sock.sendall(piece)
                waiter.wait(pause_s)
            return read_all(sock, 0.4)


def read_all(sock, quiet_s):
    """Return what comes until the end, or until nothing came for a while."""
    sock.settimeout(quiet_s)
    data = b""
    try:
        while piece := sock.recv(65536):
            data += piece
    except (TimeoutError, ConnectionResetError):
        pass
    return data


def echo(_harness, connection, request):
    """Answer with the target and the body."""
    body = f"{request.method} {request.target} ".encode() + request.body
    connection.respond(200, Headers(), body)


class RawServer:
    """Answers each request on each connection with given bytes.

    After the last answer come the pieces of ``then``, with pauses.
    """

    def __init__(self, *answers, reset=False, then=(), pause_s=0.0):
        self.then, self.pause_s = then, pause_s
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.answers, self.reset = answers, reset
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        while True:
            try:
                sock, _ = self.sock.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock):
        for answer in self.answers:
            if not sock.recv(65536):
                break
            sock.sendall(answer)
        try:
            for piece in self.then:
                threading.Event().wait(self.pause_s)
                sock.sendall(piece)
        except OSError:
            # The router has left the connection.
            return
        if self.reset:
            linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    @property
    def address(self):
        return Address(*self.sock.getsockname())
