"""The soak's proxy must not change the bytes of a connection that it keeps."""

import socket
import time

import pytest

from berylnotch.util.address import Address
from berylnotch.util.loop import Loop
from soak.proxy import DELAY_S, FaultProxy


@pytest.fixture
def proxy():
    """A proxy, and the two ends of a connection through it."""
    loop = Loop("proxy")
    loop.start()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        fault_proxy = FaultProxy(loop, Address(*listener.getsockname()))
        loop.call_soon(fault_proxy.start)
        client = socket.create_connection(fault_proxy.address.pair, timeout=5.0)
        target, _ = listener.accept()
        target.settimeout(5.0)
        yield fault_proxy, client, target
        client.close()
        target.close()
    loop.call_soon(fault_proxy.close)
    loop.close()


def test_bytes_stay_in_order_when_a_delay_ends(proxy):
    fault_proxy, client, target = proxy
    fault_proxy.mode = "delay"
    client.sendall(b"1")
    time.sleep(DELAY_S / 3)
    fault_proxy.mode = "ok"
    client.sendall(b"2")
    assert target.recv(1) + target.recv(1) == b"12"


def test_connection_without_its_middle_bytes_does_not_go_on(proxy):
    fault_proxy, client, target = proxy
    client.sendall(b"1")
    assert target.recv(1) == b"1"
    fault_proxy.mode = "silence"
    client.sendall(b"2")
    time.sleep(DELAY_S)
    fault_proxy.mode = "ok"
    client.sendall(b"3")
    assert target.recv(1) == b""
