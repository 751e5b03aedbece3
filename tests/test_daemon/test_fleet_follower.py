"""How a router finds the leader."""

import pytest

from berylnotch.daemon.fleet import follower
from berylnotch.group.messages import LoadColumns, Redirect
from berylnotch.transport.link import SILENT, LinkSettings

ADDRESSES = ("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1")


class Loop:
    """Runs nothing by itself; delayed calls are kept."""

    def __init__(self):
        self.later = []

    def call_later(self, delay_s, call):
        self.later.append((delay_s, call))

    def run_connects(self):
        """Run the calls that are due soon."""
        later, self.later = self.later, []
        for delay_s, call in later:
            if delay_s < follower.ANSWER_S:
                call()


class Log:
    """A log that is not read."""

    def info(self, event, **fields):
        """Take a line."""

    warning = error = info


class Link:
    """A link whose other side the test plays."""

    def __init__(self, peer, handler, on_close):
        self.peer, self._handler, self._on_close = peer, handler, on_close
        self.is_closed = False

    def start(self):
        """Do nothing."""

    def send(self, message):
        """Take a message."""

    def hear(self, message):
        self._handler(self, message)

    def close(self, reason):
        if not self.is_closed:
            self.is_closed = True
            self._on_close(self, reason)


@pytest.fixture
def opened(monkeypatch):
    links = []

    def open_link(loop, address, classes, handler, on_close, settings):
        links.append(Link(str(address), handler, on_close))
        return links[-1]

    monkeypatch.setattr(follower, "open_link", open_link)
    return links


def start(loop):
    link = follower.LeaderLink(
        loop,
        lambda: ADDRESSES,
        lambda: None,
        lambda message: None,
        Log(),
        LinkSettings(),
    )
    link.start()
    return link


def test_a_redirect_is_followed_to_one_that_did_not_answer_in_time(opened):
    loop = Loop()
    start(loop)
    slow = opened[-1]
    slow.close(f"{SILENT}: no answer")
    loop.run_connects()
    other = opened[-1]
    assert other.peer != slow.peer
    other.hear(Redirect(slow.peer, ADDRESSES))
    loop.run_connects()
    assert opened[-1].peer == slow.peer


def test_a_leader_that_fell_silent_is_not_followed_for_a_while(opened):
    loop = Loop()
    start(loop)
    leader = opened[-1]
    leader.hear(LoadColumns(1, b"", b""))
    leader.close("receive failed: timed out")
    loop.run_connects()
    other = opened[-1]
    other.hear(Redirect(leader.peer, ADDRESSES))
    loop.run_connects()
    assert opened[-1].peer != leader.peer
