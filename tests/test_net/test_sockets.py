"""Tests of listening sockets that close while callers connect."""

from __future__ import annotations

import errno
import selectors
import socket

from berylnotch.net.sockets import Acceptor
from berylnotch.util.address import Address
from berylnotch.util.loop import Loop

#: Seconds within which a connection attempt is refused: a caller's kernel repeats an
#: ignored one after one second.
REFUSED_S = 5.0


class LateCallers:
    """Listening socket to which a caller connects each time that none waits."""

    def __init__(self, sock):
        self._sock = sock
        self.callers = []

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def fileno(self):
        return self._sock.fileno()

    def accept(self):
        try:
            return self._sock.accept()
        except BlockingIOError:
            caller = socket.socket()
            caller.setblocking(False)
            caller.connect_ex(self._sock.getsockname())
            self.callers.append(caller)
            raise


def is_refused(caller):
    """Return whether a connection attempt ends with a refusal."""
    with selectors.DefaultSelector() as selector:
        selector.register(caller, selectors.EVENT_WRITE)
        selector.select(REFUSED_S)
    return caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == errno.ECONNREFUSED


def test_callers_that_connect_as_the_listener_closes_are_accepted_or_refused():
    """A caller whose connection is reset cannot tell whether its request ran.

    The kernel resets what is established after the last accept.
    """
    accepted = []
    acceptor = Acceptor(Loop("unused"), Address("127.0.0.1", 0), accepted.append)
    late = acceptor._sock = LateCallers(acceptor._sock)
    acceptor.start()
    acceptor.close()
    peers = [sock.getpeername() for sock in accepted]
    assert late.callers
    for caller in late.callers:
        with caller:
            assert caller.getsockname() in peers or is_refused(caller)
    for sock in accepted:
        sock.close()
