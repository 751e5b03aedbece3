"""A partition that leaves one controller alone, then heals; on real processes."""

from __future__ import annotations

import pytest

from berylnotch.control.protocol import NotLeader, ShowRequest, StatusRequest
from berylnotch.errors import TransportError
from berylnotch.standins.fleet import wait_for
from berylnotch.standins.link import Link
from berylnotch.standins.texts import SmallFleet, small_text
from berylnotch.util.loop import Loop

HOSTS = {"c1": "127.0.0.11", "c2": "127.0.0.12", "c3": "127.0.0.13"}


def text_for(number):
    return small_text(
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
    """Controllers that reach each other only over links."""
    found = {}
    for name, host in HOSTS.items():
        # The link's address is needed before the process listens.
        child = fleet.start_controller(name, "kolkata-a", host)
        found[name] = Link(loop, child.address)
        found[name].start()
        child.stop()
        fleet.start_controller(name, "kolkata-a", host, found[name].address)
    fleet.bootstrap(tuple(HOSTS))
    return found


def isolate(links, alone):
    for name, link in links.items():
        sources = [HOSTS[alone]] if name != alone else HOSTS.values()
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
    assert fleet.apply(text_for(1), 0).revision == 1
    alone = fleet.leader()
    rest = [name for name in HOSTS if name != alone]
    isolate(links, alone)

    def new_leader():
        answers = [status_at(fleet, name) for name in rest]
        return any(a and not isinstance(a, NotLeader) for a in answers)

    wait_for(new_leader, "the majority elects a leader")
    # The operators' way to the isolated controller still works.
    answer = fleet.client.call_at(fleet.controllers[alone], ShowRequest(), 5.0)
    assert isinstance(answer, NotLeader)
    assert fleet.apply(text_for(2), 1).revision == 2

    term = next(a.term for n in rest if (a := _leading(fleet, n)))
    heal(links)

    def follows():
        line = next(
            (
                c
                for n in rest
                if (a := _leading(fleet, n))
                for c in a.controllers
                if c.member.name == alone
            ),
            None,
        )
        return line and 0 <= line.heard_ms < 1000 and line.match > 0

    wait_for(follows, "the isolated controller follows")
    leading = next(a for n in HOSTS if (a := _leading(fleet, n)))
    assert leading.term == term, "the returning controller unseated nobody"
    assert fleet.client.call(ShowRequest()).revision == 2


def _leading(fleet, name):
    answer = status_at(fleet, name)
    return None if answer is None or isinstance(answer, NotLeader) else answer
