"""A link whose connection does not come about."""

import pytest

from berylnotch.transport import link as link_module
from berylnotch.transport.link import Link, LinkSettings
from tests.test_daemon.test_fleet_weights import Clock

SETTINGS = LinkSettings()


class LinkLoop(Clock):
    """A clock that also takes sockets to watch."""

    def watch(self, sock, events, call):
        """Take a socket."""


class Sock:
    """A socket that takes bytes from a given moment on."""

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


def open_with(loop, connected_at):
    reasons = []
    link = Link(
        loop,
        Sock(loop, connected_at),
        "10.0.0.1:1",
        (),
        lambda link, message: None,
        lambda link, reason: reasons.append((reason, loop.now)),
        SETTINGS,
    )
    link.start()
    return link, reasons


def test_a_connection_that_does_not_come_about_is_given_up_soon(loop):
    start = loop.now
    _, reasons = open_with(loop, connected_at=start + 10)
    loop.advance(SETTINGS.silence_s)
    ((reason, at),) = reasons
    assert reason.startswith("not connected")
    assert at - start == pytest.approx(SETTINGS.connect_s)


def test_a_connected_peer_may_be_silent_for_longer(loop):
    link, reasons = open_with(loop, connected_at=0.0)
    loop.advance(SETTINGS.connect_s + 0.1)
    assert reasons == [] and not link.is_closed
