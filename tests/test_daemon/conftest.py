"""Fleets of real processes for the daemons' tests."""

from __future__ import annotations

import pytest

from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import LocalFleet, wait_for
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_text


@pytest.fixture
def fleet(tmp_path):
    fleet = LocalFleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.fixture
def small(fleet):
    """Three controllers, two routers, two engines, one order desk, one key."""
    fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
    engines = tuple(
        (name, fleet.start_engine(name).address) for name in ("sake-1-a", "sake-1-b")
    )
    plain = (("order-1", fleet.start_plain("order-1").address),)
    routers = tuple(
        (name, fleet.start_router(name, domain).address)
        for name, domain in (("entry-1", DOMAINS[0]), ("entry-2", DOMAINS[1]))
    )
    found = SmallFleet(routers, engines, plain)
    assert fleet.apply(small_text(found), 0).revision == 1
    return found


@pytest.fixture
def key(fleet, small):
    return fleet.give_key("importer-desk")


@pytest.fixture
def callers(small, key):
    """A caller at each router, once the key is in force there."""
    callers = [CallerClient(address, key.key) for _, address in small.routers]
    for caller in callers:
        wait_for(
            lambda caller=caller: caller.send("GET", "/v1/models").status == 200,
            "key in force",
        )
    return callers
