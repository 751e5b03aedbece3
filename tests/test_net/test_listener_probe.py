"""A probe tells a process that ended from a host that does not answer."""

import socket

import pytest

from berylnotch.net.listener_probe import ListenerState, probe_listener
from berylnotch.util.address import Address
from tests.fleet.processes import wait_until
from tests.test_net.test_client import loop

__all__ = ["loop"]


@pytest.fixture
def probe(loop):
    def probe_address(address):
        states = []
        loop.call_soon(lambda: probe_listener(loop, address, 0.2, states.append))
        wait_until(lambda: states, "a state")
        return states

    return probe_address


@pytest.fixture
def listener():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield sock


def test_listening_and_refusing_addresses_are_told_apart(probe, listener):
    address = Address(*listener.getsockname())
    assert probe(address) == [ListenerState.REFUSED]
    listener.listen(1)
    assert probe(address) == [ListenerState.LISTENING]


def test_host_that_does_not_answer_is_unknown_once(probe, listener):
    listener.listen(0)
    address = Address(*listener.getsockname())
    with socket.create_connection(address.pair):
        # The backlog is full, so the next connection is not established.
        with socket.socket() as waiting:
            waiting.setblocking(False)
            waiting.connect_ex(address.pair)
            assert probe(address) == [ListenerState.UNKNOWN]
