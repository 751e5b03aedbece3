"""Timeout of links whose connection is not established."""

import pytest

from berylnotch.transport import link as link_module
from berylnotch.transport.link import Link, LinkSettings
from tests.test_daemon.test_fleet_weights import Clock

SETTINGS = LinkSettings()


class LinkLoop(Clock):
    """Fake clock and loop that accepts and ignores sockets."""

    def watch(self, sock, events, call):
        """Ignore the socket."""


class FakeSocket:
    """Fake socket that accepts bytes from the time ``connected_at`` on."""

    def __init__(self, loop, connected_at):
        self._loop, self._connected_at = loop, connected_at

    def send(self, data):
        if self._loop.now < self._connected_at:
            raise BlockingIOError
        return len(data)

    def close(self):
        """Do nothing."""


@pytest.fixture
def loop(monkeypatch):
    loop = LinkLoop()
    monkeypatch.setattr(link_module, "boot_time", lambda: loop.now)
    return loop


def open_link_connected_at(loop, connected_at):
    reasons = []
    link = Link(
        loop,
        FakeSocket(loop, connected_at),
        "10.0.0.1:1",
        (),
        lambda link, message: None,
        lambda link, reason: reasons.append((reason, loop.now)),
        SETTINGS,
    )
    link.start()
    return link, reasons


def test_a_link_is_closed_if_it_is_not_connected_in_time(loop):
    start = loop.now
    _, reasons = open_link_connected_at(loop, connected_at=start + 10)
    loop.advance(SETTINGS.silence_s)
    ((reason, closed_at),) = reasons
    assert reason.startswith("not connected")
    assert closed_at - start == pytest.approx(SETTINGS.connect_s)


def test_a_connected_peer_may_be_silent_beyond_the_connect_timeout(loop):
    link, reasons = open_link_connected_at(loop, connected_at=0.0)
    loop.advance(SETTINGS.connect_s + 0.1)
    assert reasons == [] and not link.is_closed
