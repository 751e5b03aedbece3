import pytest

from berylnotch.entry.reply import Reply
from berylnotch.net.messages import Headers
from berylnotch.util.metrics import Metrics


class Caller:
    """Connection that records what the caller receives."""

    def __init__(self):
        self.received = []
        self.is_congested = False

    def start_stream(self, status, headers):
        self.received.append(("head", status))

    def send_chunk(self, data):
        self.received.append(data)

    def end_stream(self):
        self.received.append("end")

    def break_off(self):
        self.received.append("broken off")

    def respond(self, status, headers, body=b""):
        self.received.append((status, body))


@pytest.fixture
def caller():
    return Caller()


@pytest.fixture
def reply(caller):
    return Reply(caller, Metrics(), "chat", 0.0)


def test_stream_keeps_the_head_of_its_first_target(reply, caller):
    reply.begin_stream(200, Headers())
    reply.begin_stream(206, Headers())
    assert caller.received == [("head", 200)]
    assert reply.has_head


def test_event_that_the_caller_has_received_is_not_sent_again(reply, caller):
    for number in (1, 2, 2, 1, 3):
        reply.send_event(b"%d" % number, number)
    assert caller.received == [b"1", b"2", b"3"]
    assert reply.last_event == 3


def test_events_without_a_number_are_always_sent(reply, caller):
    reply.send_event(b"a", None)
    reply.send_event(b"b", None)
    assert caller.received == [b"a", b"b"] and reply.last_event is None


def test_first_event_is_timed_once(reply, monkeypatch):
    assert reply.first_event_s == 0.0
    for at in (0.25, 0.75):
        monkeypatch.setattr("berylnotch.entry.reply.boot_time", lambda at=at: at)
        reply.send_event(b"x", None)
    assert reply.first_event_s == 0.25


def test_broken_off_stream_has_no_end(reply, caller):
    reply.begin_stream(200, Headers())
    reply.break_off()
    assert caller.received == [("head", 200), "broken off"]
