"""Network partition that isolates the leading controller, on real processes.

The test guards against an isolated leader that serves stale state, and against a
controller that unseats the new leader when the partition heals.
"""

from __future__ import annotations

import pytest

from berylnotch.control.protocol import NotLeader, ShowRequest, StatusRequest
from berylnotch.errors import TransportError
from berylnotch.standins.fleet import wait_for
from berylnotch.standins.link import Link
from berylnotch.standins.texts import SmallFleet, small_fleet_text
from berylnotch.util.loop import Loop

HOSTS = {"c1": "127.0.0.11", "c2": "127.0.0.12", "c3": "127.0.0.13"}


def configuration_text(number):
    return small_fleet_text(
        SmallFleet((("entry-1", "127.0.0.1:8001"),), (), (), rate=1000 + number)
    )


@pytest.fixture
def loop():
    loop = Loop("links")
    loop.start()
    yield loop
    loop.close()


@pytest.fixture
def links(fleet, loop):
    """Links over which the controllers reach each other; a test can cut them."""
    links_by_name = {}
    for name, host in HOSTS.items():
        # The first start only finds the address that the link forwards to. The second
        # start advertises the link's address.
        child = fleet.start_controller(name, "kolkata-a", host)
        links_by_name[name] = Link(loop, child.address)
        links_by_name[name].start()
        child.stop()
        fleet.start_controller(name, "kolkata-a", host, links_by_name[name].address)
    fleet.bootstrap(tuple(HOSTS))
    return links_by_name


def isolate(links, isolated):
    for name, link in links.items():
        sources = [HOSTS[isolated]] if name != isolated else HOSTS.values()
        for source in sources:
            link.cut(source)


def heal(links):
    for link in links.values():
        for source in HOSTS.values():
            link.heal(source)


def status_at(fleet, name):
    try:
        return fleet.client.call_at(fleet.controllers[name], StatusRequest(), 2.0)
    except TransportError:
        return None


def test_isolated_leader_serves_nothing_and_follows_again(fleet, links):
    assert fleet.apply(configuration_text(1), 0).revision == 1
    isolated = fleet.leader()
    majority = [name for name in HOSTS if name != isolated]
    isolate(links, isolated)

    def has_new_leader():
        statuses = [status_at(fleet, name) for name in majority]
        return any(status and not isinstance(status, NotLeader) for status in statuses)

    wait_for(has_new_leader, "the majority elects a leader")
    # Operators' connections to the isolated controller are not cut.
    answer = fleet.client.call_at(fleet.controllers[isolated], ShowRequest(), 5.0)
    assert isinstance(answer, NotLeader)
    assert fleet.apply(configuration_text(2), 1).revision == 2

    term = next(
        status.term for name in majority if (status := _leader_status(fleet, name))
    )
    heal(links)

    def is_following():
        controller_line = next(
            (
                controller
                for name in majority
                if (status := _leader_status(fleet, name))
                for controller in status.controllers
                if controller.member.name == isolated
            ),
            None,
        )
        return (
            controller_line
            and 0 <= controller_line.heard_ms < 1000
            and controller_line.match > 0
        )

    wait_for(is_following, "the isolated controller follows")
    leader_status = next(
        status for name in HOSTS if (status := _leader_status(fleet, name))
    )
    assert leader_status.term == term, "the returning controller caused no election"
    assert fleet.client.call(ShowRequest()).revision == 2


def _leader_status(fleet, name):
    answer = status_at(fleet, name)
    return None if answer is None or isinstance(answer, NotLeader) else answer
