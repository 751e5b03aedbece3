"""End of a server: answers in buffers, waiting connections, pipelining, broken streams.

A process that is about to exit closes its sockets. A close discards what is unsent, and
a close with unread input resets the connection, which also discards answers that the
caller's kernel holds but the caller has not read.
"""

import socket
import threading
import time

import pytest

from berylnotch.net.messages import Headers
from berylnotch.net.reading import HttpLimits
from berylnotch.util.clock import boot_time
from tests.test_net.support import Harness, echo

GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\nabcdef"

#: Limits that do not end a request within a test.
LIMITS = HttpLimits(header_s=10.0, idle_s=20.0)

#: Bytes of an answer that does not fit into the buffers of the kernel.
LARGE_BYTES = 24_000_000

#: Seconds after which a test's server closes its connections.
CLOSE_S = 3.0


class FinishingHarness(Harness):
    """Harness whose server is finished by the test; it records the unanswered."""

    def __init__(self, handler, limits=LIMITS):
        super().__init__(handler, limits)
        self.unanswered = []
        self.server.on_unanswered = self.unanswered.append
        self.finished = threading.Event()
        self.took_s = 0.0

    def finish(self, close_s=CLOSE_S):
        """Begin to finish in the loop's thread; return before the end."""
        self.run(lambda: self.finish_in_loop(close_s))

    def finish_in_loop(self, close_s=CLOSE_S):
        """Begin to finish; called in the loop's thread."""
        began_at = boot_time()

        def done():
            self.took_s = boot_time() - began_at
            self.finished.set()

        self.server.finish(began_at + close_s, done)

    def wait_finished(self, timeout_s=CLOSE_S + 1):
        assert self.finished.wait(timeout_s)
        return self.took_s

    def wait_for_requests(self, count):
        deadline = time.monotonic() + 5
        while len(self.requests) < count:
            assert time.monotonic() < deadline
            time.sleep(0.005)


def make(handler, limits=LIMITS):
    return FinishingHarness(handler, limits)


def read_to_end(sock, timeout_s=5.0, pause_s=0.0):
    """Return all bytes up to the end of the connection; a reset is an error."""
    sock.settimeout(timeout_s)
    data = bytearray()
    while piece := sock.recv(65536):
        data += piece
        if pause_s:
            time.sleep(pause_s)
    return bytes(data)


def split_answers(data):
    """Return the heads and bodies of answers with a length."""
    answers = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        assert len(rest) >= length, "incomplete answer"
        answers.append((head, rest[:length]))
        data = rest[length:]
    return answers


def send_large(_harness, connection, _request):
    connection.respond(200, Headers(), b"x" * LARGE_BYTES)


# Delivery of answers.


def test_answer_in_the_output_buffer_reaches_a_slow_reader():
    # The caller reads only after the server began to finish, so most of its answer is
    # in the server's own buffer then.
    harness = make(send_large)
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)
        harness.finish()
        time.sleep(0.3)
        ((_, body),) = split_answers(read_to_end(sock))
        assert len(body) == LARGE_BYTES
    assert harness.wait_finished() < CLOSE_S - 0.5
    assert harness.unanswered == []
    harness.close()


def test_answer_that_says_close_is_not_cut_after_the_linger_time():
    # A linger time that starts with the answer, not with its last sent byte, cuts
    # every answer that takes longer to read.
    harness = make(send_large)
    with harness.connect() as sock:
        sock.sendall(GET.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        time.sleep(1.5)
        ((_, body),) = split_answers(read_to_end(sock))
        assert len(body) == LARGE_BYTES
    harness.close()


def test_unread_input_does_not_reset_a_delivered_answer():
    # The caller sends bytes that the server does not read before it finishes; a close
    # with such input resets the connection, and the caller loses its answer.
    harness = make(lambda _h, connection, _r: connection.respond(200, Headers(), b"ok"))
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)

        def send_and_finish():
            sock.sendall(b"GET /half HTTP/1.1\r\n")
            harness.finish_in_loop(0.4)

        harness.run(send_and_finish)
        harness.wait_finished()
        ((_, body),) = split_answers(read_to_end(sock))
        assert body == b"ok"
    harness.close()


def test_half_closed_caller_gets_the_rest_of_its_answer():
    harness = make(send_large)
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)
        sock.shutdown(socket.SHUT_WR)
        harness.finish()
        ((_, body),) = split_answers(read_to_end(sock))
        assert len(body) == LARGE_BYTES
    assert harness.wait_finished() < CLOSE_S - 0.5
    harness.close()


def test_finish_ends_as_soon_as_all_connections_are_closed():
    harness = make(echo)
    harness.finish()
    assert harness.wait_finished() < 0.2
    harness.close()


def test_finish_ends_once_callers_have_read_their_answers():
    pending = []
    harness = make(lambda _h, connection, request: pending.append(connection))
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)
        harness.finish()
        time.sleep(0.3)
        assert not harness.finished.is_set()
        harness.run(lambda: pending[0].respond(200, Headers(), b"late"))
        ((head, body),) = split_answers(read_to_end(sock))
        assert body == b"late" and b"Connection: close" in head
    assert harness.wait_finished() < 1.0
    harness.close()


def test_requests_without_an_answer_at_the_end_are_reported():
    harness = make(lambda _h, _connection, _r: None)
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)
        harness.finish(0.4)
        assert 0.35 < harness.wait_finished() < 0.8
    assert [request.target for request in harness.unanswered] == ["/a"]
    harness.close()


def test_caller_that_never_reads_does_not_hold_the_end():
    harness = make(send_large)
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)
        harness.finish(0.5)
        assert 0.45 < harness.wait_finished() < 0.9
    assert [request.target for request in harness.unanswered] == ["/a"]
    harness.close()


# Requests that arrive at the end.


def test_requests_in_the_accept_queue_are_answered():
    # The loop is busy while callers connect and send, and then finishes: no event of
    # the listener is handled before it closes.
    harness = make(echo)
    socks = []

    def connect_and_finish():
        for _ in range(60):
            sock = harness.connect()
            sock.sendall(POST)
            socks.append(sock)
        harness.finish_in_loop()

    harness.run(connect_and_finish)
    for sock in socks:
        with sock:
            ((head, body),) = split_answers(read_to_end(sock))
            assert body == b"POST /p abcdef" and b"Connection: close" in head
    assert harness.wait_finished() < 1.0
    harness.close()


def test_listener_is_closed_at_the_beginning():
    harness = make(echo)
    address = harness.server.address.pair
    harness.finish()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address, timeout=1)
    harness.close()


@pytest.mark.parametrize("is_accepted", [True, False])
def test_body_that_arrives_after_the_listener_closed_gets_an_answer(is_accepted):
    harness = make(echo)
    with harness.connect() as sock:
        if is_accepted:
            sock.sendall(POST[:-4])
            time.sleep(0.1)
            harness.finish()
        else:
            harness.finish()
            sock.sendall(POST[:-4])
        for byte in POST[-4:]:
            time.sleep(0.15)
            sock.sendall(bytes([byte]))
        ((_, body),) = split_answers(read_to_end(sock))
        assert body == b"POST /p abcdef"
    assert harness.wait_finished() < CLOSE_S - 0.5
    harness.close()


def test_request_on_a_kept_connection_as_the_server_finishes_gets_an_answer():
    harness = make(echo)
    with harness.connect() as sock:
        sock.sendall(GET)
        assert sock.recv(4096).endswith(b"GET /a ")

        def send_and_finish():
            sock.sendall(POST)
            harness.finish_in_loop()

        harness.run(send_and_finish)
        ((head, body),) = split_answers(read_to_end(sock))
        assert body == b"POST /p abcdef" and b"Connection: close" in head
    assert harness.wait_finished() < CLOSE_S - 0.5
    harness.close()


def test_idle_connections_do_not_hold_the_end_until_the_deadline():
    harness = make(echo)
    with harness.connect() as sock:
        sock.sendall(GET)
        assert sock.recv(4096).endswith(b"GET /a ")
        harness.finish()
        assert harness.wait_finished() < CLOSE_S - 1.0
        assert read_to_end(sock) == b""
    harness.close()


# Pipelined requests.


def test_pipelined_requests_are_all_answered_while_draining():
    harness = make(echo)
    harness.server.is_draining = True
    with harness.connect() as sock:
        sock.sendall(GET + POST + GET + POST)
        answers = split_answers(read_to_end(sock))
    assert [body for _, body in answers] == [b"GET /a ", b"POST /p abcdef"] * 2
    closes = [b"Connection: close" in head for head, _ in answers]
    assert closes == [False, False, False, True]
    harness.close()


def test_half_read_pipelined_request_is_answered_while_draining():
    harness = make(echo)
    harness.server.is_draining = True
    with harness.connect() as sock:
        sock.sendall(GET + POST[:-3])
        time.sleep(0.2)
        harness.finish()
        time.sleep(0.2)
        sock.sendall(POST[-3:])
        answers = split_answers(read_to_end(sock))
    assert [body for _, body in answers] == [b"GET /a ", b"POST /p abcdef"]
    assert harness.wait_finished() < CLOSE_S - 0.5
    harness.close()


def test_request_in_the_kernel_counts_as_pipelined_while_draining():
    # The second request arrives while the loop is busy with the answer to the first.
    pending = []
    harness = make(lambda _h, connection, request: pending.append(connection))
    harness.server.is_draining = True
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)

        def send_and_respond():
            sock.sendall(POST)
            pending[0].respond(200, Headers(), b"first")

        harness.run(send_and_respond)
        harness.wait_for_requests(2)
        harness.run(lambda: pending[1].respond(200, Headers(), b"second"))
        answers = split_answers(read_to_end(sock))
    assert [body for _, body in answers] == [b"first", b"second"]
    assert [b"Connection: close" in head for head, _ in answers] == [False, True]
    harness.close()


def test_empty_line_after_a_request_is_no_pipelined_request():
    harness = make(echo)
    harness.server.is_draining = True
    with harness.connect() as sock:
        sock.sendall(POST + b"\r\n")
        ((head, _),) = split_answers(read_to_end(sock))
        assert b"Connection: close" in head
    harness.close()


def test_bytes_that_follow_a_buffered_request_keep_their_order():
    # The rest of a pipelined request becomes readable before its buffered beginning is
    # parsed.
    pending = []
    harness = make(lambda _h, connection, request: pending.append(connection))
    with harness.connect() as sock:
        sock.sendall(GET + POST[:20])
        harness.wait_for_requests(1)
        time.sleep(0.1)

        def respond_and_send():
            pending[0].respond(200, Headers(), b"first")
            sock.sendall(POST[20:])

        harness.run(respond_and_send)
        harness.wait_for_requests(2)
        assert harness.refused == []
        assert harness.requests[1].body == b"abcdef"
    harness.close()


# Streams that are broken off.


def test_broken_off_stream_delivers_what_was_sent():
    # Input that the server has not read makes a close reset the connection.
    def send_part(harness, connection, _request):
        connection.start_stream(200, Headers())
        for _ in range(200):
            connection.send_chunk(b"y" * 100_000)
        harness.loop.call_later(0.05, connection.break_off)

    harness = make(send_part)
    with harness.connect() as sock:
        sock.sendall(GET)
        harness.wait_for_requests(1)
        sock.sendall(b"GET /next HTTP/1.1\r\n")
        time.sleep(0.4)
        data = read_to_end(sock)
        assert data.count(b"y") == 200 * 100_000
        assert not data.endswith(b"0\r\n\r\n")
    harness.finish()
    assert harness.wait_finished() < 0.5
    harness.close()


def test_broken_off_stream_does_not_report_a_disconnect():
    disconnects = []

    def break_off(_harness, connection, _request):
        connection.on_disconnected = lambda: disconnects.append(1)
        connection.start_stream(200, Headers())
        connection.send_chunk(b"part")
        connection.break_off()

    harness = make(break_off)
    with harness.connect() as sock:
        sock.sendall(GET)
        assert read_to_end(sock).endswith(b"part\r\n")
    harness.finish()
    harness.wait_finished()
    assert disconnects == []
    harness.close()
