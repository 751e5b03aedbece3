"""Connections that all routers together keep to a target must fit its limit."""

import pytest
from attrs import evolve

from berylnotch.net.client import ClientConnection
from berylnotch.util.address import Address


class IdleConnection(ClientConnection):
    """Connection that can be kept and is never opened."""

    is_reusable = True
    is_closed_by_test = False

    def close(self):
        self.is_closed_by_test = True


def keep_many(context, count=20):
    """Keep connections to the only target, and return how many stay open."""
    target = context.targets.get("e")
    for _ in range(count):
        connection = IdleConnection(context.loop, Address("127.0.0.1", 9), 1.0, 1.0)
        context.targets.keep(target, connection)
    return len(target.idle)


def set_max_connections(context, number):
    service = context.routes.service("llm")
    services = {service.name: evolve(service, max_connections=number)}
    context.routes.service = services.get


@pytest.mark.parametrize("router_count", [6, 64, 191])
@pytest.mark.parametrize("max_connections", [110, 440, 1200])
def test_all_routers_keep_less_than_the_target_accepts(
    context, router_count, max_connections
):
    set_max_connections(context, max_connections)
    context.set_router_count(router_count)
    kept = keep_many(context)
    assert kept <= 8
    assert kept * router_count <= max_connections / 2


def test_a_service_without_a_limit_keeps_the_usual_number(context):
    set_max_connections(context, 0)
    context.set_router_count(500)
    assert keep_many(context) == context.settings.max_idle_connections


def test_a_connection_whose_response_was_paused_at_its_end_is_read_again(context):
    # A caller that reads slowly pauses the response, whose last bytes are read already.
    connection = IdleConnection(context.loop, Address("127.0.0.1", 9), 1.0, 1.0)
    connection.pause()
    context.targets.keep(context.targets.get("e"), connection)
    assert not connection.is_paused
