"""Failures of targets that are known from similar systems, over real sockets.

The tests guard against a response that belongs to another request, an incomplete
response that looks complete, an unrepeatable request that runs twice, and a stream that
is cut although it is only slow. Raw servers send the bytes that cause each failure.
"""

import json
import threading

import attrs
import pytest

from berylnotch.entry.exchange import Exchange
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.group.messages import TargetEntry
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.messages import Headers, HttpRequest
from berylnotch.platform.configuration import decode_configuration
from berylnotch.platform.requests import decode_request
from berylnotch.routing.table import RouteTable
from berylnotch.util.clock import boot_time
from tests.fleet.processes import configuration
from tests.test_net.support import RawServer

RESPONSE_TIMEOUT_S = 5.0


def head(request_id, *lines, status="200 OK"):
    fields = [f"HTTP/1.1 {status}", "Berylnotch-Server-Stamp: s", *lines]
    if request_id:
        fields.append(f"Berylnotch-Request-Id: {request_id}")
    return "\r\n".join(fields).encode() + b"\r\n\r\n"


def complete_response(request_id, body, status="200 OK"):
    return head(request_id, f"Content-Length: {len(body)}", status=status) + body


def events(*numbers):
    return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class FirstThenOthers(RawServer):
    """Fake target whose answer to the first connection differs from later ones.

    Listed under several names, it is the first and the next target of a request.
    """

    def __init__(self, first, other):
        self._first, self._other, self._count = first, other, 0
        super().__init__()

    def _serve_connection(self, sock):
        self._count += 1
        if sock.recv(65536):
            sock.sendall(self._first if self._count == 1 else self._other)
        sock.close()


STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"


class Caller:
    """Fake connection of a caller that records its response and signals the end."""

    on_disconnected = on_drained = None
    is_congested = False

    def __init__(self):
        self.status, self.body, self.end = 0, b"", ""
        self.done = threading.Event()

    def respond(self, status, headers, body=b"", on_sent=None):
        self.status, self.body = status, body
        self._finish("whole")

    def start_stream(self, status, headers):
        self.status = status

    def send_chunk(self, data):
        self.body += data

    def end_stream(self):
        self._finish("whole")

    def break_off(self):
        self._finish("broken off")

    def _finish(self, end):
        self.end = end
        self.done.set()


@pytest.fixture
def router(context):
    """Return a function that sends a request to targets behind raw servers."""
    values = configuration(3, timeoutMs=1500)
    del values["tenants"]
    context.routes = RouteTable(decode_configuration(json.dumps(values).encode()))
    context.loop.start()

    def send_request(path, servers, request_id="id-1"):
        entries = [
            TargetEntry(
                ListedTarget(
                    f"{service}-{n}",
                    service,
                    str(server.address),
                    "north",
                    8,
                    models=(ModelVersion("model-1", 1),) if service == "llm" else (),
                    software_version="v1",
                )
            )
            for service in ("llm", "desk")
            for n, server in enumerate(servers)
        ]
        model = ("Berylnotch-Model", "model-1") if "chat" in path else ("X", "y")
        headers = Headers(
            (("Host", "app.example"), ("Berylnotch-Request-Id", request_id), model)
        )
        caller = Caller()

        def send():
            context.targets.update(entries)
            request = HttpRequest("POST", path, headers, b"{}", boot_time())
            route = context.routes.route("app.example", path)
            routed = RoutedRequest(request, decode_request(request), route, None)
            Exchange(context, caller, routed, lambda exchange: None).start()

        context.loop.call_soon(send)
        assert caller.done.wait(RESPONSE_TIMEOUT_S)
        return caller

    yield send_request
    context.loop.close()


# A late duplicate of a response on a reused connection.


@pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"])
def test_late_duplicate_does_not_answer_the_next_request(router, interim):
    server = RawServer(
        complete_response("id-1", b"first"),
        interim
        + complete_response("id-1", b"first")
        + complete_response("id-2", b"second"),
    )
    assert router("/read/x", [server], "id-1").body == b"first"
    assert router("/read/x", [server], "id-2").body == b"second"


def test_late_error_without_request_id_does_not_answer_the_next_request(router):
    server = RawServer(
        complete_response("id-1", b"first"),
        complete_response("", b"", status="408 Request Timeout"),
    )
    assert router("/book/x", [server], "id-1").body == b"first"
    second = router("/book/x", [server], "id-2")
    # The request was sent and may have run; status 408 would promise the opposite.
    assert second.status == 502


# Truncated responses.


@pytest.mark.parametrize("path", ["/read/x", "/book/x"])
@pytest.mark.parametrize(
    "answer",
    [
        head("id-1", "Content-Length: 40") + b"half",
        head("id-1", CHUNKED) + chunk(b"half"),
        head("id-1", CHUNKED) + b"14\r\nhalf",
        head("id-1", "Content-Encoding: gzip", "Content-Length: 4") + b"half",
        head("id-1", "Content-Encoding: gzip", CHUNKED) + chunk(b"h") + b"0\r\n\r\n",
        head("id-1", CHUNKED, "Trailer: A") + chunk(b"half") + b"0\r\nA: b\r\n",
    ],
)
def test_truncated_response_is_no_success(router, path, answer):
    assert router(path, [RawServer(answer)]).status >= 500


@pytest.mark.parametrize(
    "answer",
    [
        head("id-1", STREAM, CHUNKED) + chunk(events(1, 2)),
        head("id-1", STREAM, CHUNKED) + chunk(events(1) + b"id: 2\nda"),
        head("id-1", STREAM, "Content-Length: 400") + events(1, 2),
        # Without a length, a closed connection may mean that the target was lost.
        head("id-1", STREAM) + events(1) + b"id: 2\nda",
    ],
)
def test_truncated_stream_does_not_look_complete(router, answer):
    caller = router("/chat/x", [RawServer(answer)])
    assert caller.end == "broken off" or caller.status >= 500
    assert b"da\n" not in caller.body


def test_stream_without_length_that_ends_with_an_event_is_complete(router):
    answer = head("id-1", STREAM) + events(1, 2)
    caller = router("/chat/x", [RawServer(answer)])
    assert caller.end == "whole" and caller.body == events(1, 2)


# Lost responses.


@pytest.mark.parametrize(
    "answer",
    [b"", head("id-1", "Content-Length: 9"), head("id-1", "Content-Length: 9") + b"a"],
)
@pytest.mark.parametrize("reset", [False, True])
def test_unrepeatable_request_that_may_have_run_is_not_retried_or_refused(
    router, answer, reset
):
    first = RawServer(answer, reset=reset)
    second = RawServer(complete_response("id-1", b"again"))
    caller = router("/book/x", [first])
    assert caller.status == 502
    caller = router("/book/x", [first, second], "id-2")
    assert caller.status == 502 or caller.body == b"again"


# Slow and stalled streams.


def test_bytes_without_events_do_not_hide_a_stalled_stream(router, context):
    context.settings = attrs.evolve(context.settings, stall_s=0.3, slow_factor=1.0)
    stalled = RawServer(
        head("id-1", STREAM, CHUNKED) + chunk(events(1)),
        then=[chunk(piece) for piece in [b": wait\n\n", b"x"] * 40],
        pause_s=0.05,
    )
    sound = RawServer(head("id-1", STREAM, CHUNKED) + chunk(events(2)) + b"0\r\n\r\n")
    caller = router("/chat/x", [stalled, sound])
    assert caller.end == "whole"
    assert caller.body.startswith(events(1)) and caller.body.endswith(events(2))


def test_slow_stream_with_pauses_below_the_limit_is_not_cut(router, context):
    context.settings = attrs.evolve(context.settings, stall_s=0.3, slow_factor=1.0)
    slow = RawServer(
        head("id-1", STREAM, CHUNKED) + chunk(events(1)),
        then=[*(chunk(events(n)) for n in range(2, 6)), b"0\r\n\r\n"],
        pause_s=0.22,
    )
    caller = router("/chat/x", [slow])
    assert caller.end == "whole" and caller.body == events(1, 2, 3, 4, 5)


# A refusal that is written once more on a reused connection.

REFUSAL = "Berylnotch-Not-Executed: 1"


def refusal(request_id, status="503 Service Unavailable"):
    return head(request_id, REFUSAL, "Content-Length: 0", status=status)


@pytest.mark.parametrize("path", ["/read/x", "/book/x", "/chat/x"])
@pytest.mark.parametrize(
    "status", ["503 Service Unavailable", "429 Too Many Requests", "421 Misdirected"]
)
@pytest.mark.parametrize("repeated_id", ["id-1", ""], ids=["id", "no id"])
def test_repeated_refusal_does_not_refuse_the_next_request(
    router, context, path, status, repeated_id
):
    server = RawServer(
        refusal("id-1", status),
        refusal(repeated_id, status),
        then=[complete_response("id-2", b"second")],
        pause_s=0.05,
    )
    assert router(path, [server], "id-1").status == 503
    for target in context.targets.all():
        target.refused_until = 0.0
    second = router(path, [server], "id-2")
    # The target has the request, so no answer may promise that it has not run.
    assert second.status in (200, 502, 504)
    assert len(server.requests) == 2


# An error of the next target after a stream has begun.


@pytest.mark.parametrize(
    "answer",
    [
        complete_response("id-1", b"overloaded", status="500 Internal Server Error"),
        complete_response("id-1", b"overloaded", status="429 Too Many Requests"),
        complete_response("id-1", b"overloaded", status="404 Not Found"),
        complete_response("id-1", b"overloaded"),
        head("id-1", status="503 Service Unavailable") + b"overloaded",
        head("id-1", STREAM, status="500 Internal Server Error") + b"overloaded\n\n",
        head("id-1", STREAM, CHUNKED) + chunk(b'{"error": "overloaded"}') + chunk(b""),
        head("id-1", STREAM) + b'{"error": "overloaded"}',
        head("id-1", STREAM, CHUNKED) + refusal("id-1") + b"overloaded",
        head("id-1", STREAM) + complete_response("id-1", b"overloaded", "500 Error"),
        head("id-1", STREAM) + b"HTTP/1.1 500 Error\r\n\r\n" + b"overloaded\n\n",
    ],
)
def test_error_of_the_next_target_does_not_become_part_of_a_stream(router, answer):
    begun = head("id-1", STREAM, CHUNKED) + chunk(events(1, 2))
    caller = router("/chat/x", [FirstThenOthers(begun, answer)] * 2)
    assert caller.end == "broken off"
    assert caller.body == events(1, 2)


def test_error_head_within_a_stream_without_length_is_not_passed_on(router):
    answer = head("id-1", STREAM) + events(1, 2) + refusal("id-1") + b"not run\n\n"
    caller = router("/chat/x", [RawServer(answer)])
    assert caller.end == "broken off"
    assert caller.body == events(1, 2)


# A response that ends within its head.

COMPLETE_HEAD = head("id-1", "Content-Length: 4")


@pytest.mark.parametrize("path", ["/read/x", "/book/x", "/chat/x"])
@pytest.mark.parametrize("cut", [12, 17, 40, len(COMPLETE_HEAD) - 1])
@pytest.mark.parametrize("is_stream", [False, True])
@pytest.mark.parametrize("reset", [False, True])
def test_response_that_ends_within_its_head_is_no_answer(
    router, path, cut, is_stream, reset
):
    whole = head("id-1", STREAM, CHUNKED) if is_stream else COMPLETE_HEAD
    caller = router(path, [RawServer(whole[:cut], reset=reset)])
    assert caller.status >= 500 and caller.body == b""


def test_response_that_ends_within_its_head_on_a_reused_connection(router):
    server = RawServer(complete_response("id-1", b"first"), COMPLETE_HEAD[:-2])
    assert router("/book/x", [server], "id-1").body == b"first"
    assert router("/book/x", [server], "id-2").status >= 500
