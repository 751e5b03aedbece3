"""Fleets of real processes for the daemons' tests."""

from __future__ import annotations

import pytest
from attrs import frozen

from berylnotch.keys.keyring import GeneratedKey
from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import LocalFleet, wait_for
from berylnotch.standins.texts import DOMAINS, SmallFleet, small_text
from tests.fleet.platform import PlatformStandIn
from tests.fleet.processes import FleetOfProcesses


@pytest.fixture
def fleet(tmp_path):
    fleet = LocalFleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.fixture
def small(fleet):
    """Three controllers, two routers, two engines, one order desk."""
    fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
    return start_small(fleet)


def start_small(fleet, **settings):
    """Start routers and targets beside the controllers, and apply their text."""
    children = fleet.start_all(
        [
            lambda: fleet.start_engine("sake-1-a"),
            lambda: fleet.start_engine("sake-1-b"),
            lambda: fleet.start_plain("order-1"),
            lambda: fleet.start_router("entry-1", DOMAINS[0]),
            lambda: fleet.start_router("entry-2", DOMAINS[1]),
        ]
    )
    a, b, order, entry_1, entry_2 = (child.address for child in children)
    found = SmallFleet(
        routers=(("entry-1", entry_1), ("entry-2", entry_2)),
        engines=(("sake-1-a", a), ("sake-1-b", b)),
        plain=(("order-1", order),),
        **settings,
    )
    assert fleet.apply(small_text(found), 0).revision == 1
    return found


@pytest.fixture
def key(fleet, small):
    return fleet.give_key("importer-desk")


def callers_at(small, key):
    """Return a caller at each router, once the key is in force there."""
    callers = [CallerClient(address, key.key) for _, address in small.routers]
    for caller in callers:
        wait_for(
            lambda caller=caller: caller.send("GET", "/v1/models").status == 200,
            "key in force",
        )
    return callers


@pytest.fixture
def callers(small, key):
    return callers_at(small, key)


@pytest.fixture(scope="module")
def shared(tmp_path_factory):
    """A fleet for the tests of one module that end no process."""
    fleet = LocalFleet(tmp_path_factory.mktemp("fleet"))
    try:
        fleet.start_controllers(("c1", "c2", "c3"), DOMAINS[:3])
        small = start_small(fleet, rate=1_000_000, burst=1_000_000)
        yield Shared(small, fleet.give_key("importer-desk"))
    finally:
        fleet.close()


@frozen
class Shared:
    """A small fleet that several tests use, and a key for it."""

    small: SmallFleet
    key: GeneratedKey


@pytest.fixture
def shared_small(shared):
    """The shared fleet, without faults."""
    yield shared.small
    for _, address in shared.small.engines + shared.small.plain:
        CallerClient(address).post("/standin/faults", {})


@pytest.fixture
def shared_callers(shared):
    return callers_at(shared.small, shared.key)


@pytest.fixture
def platform():
    """Stand-in of the users' platform."""
    stand_in = PlatformStandIn()
    stand_in.start()
    yield stand_in
    stand_in.close()


@pytest.fixture
def platform_fleet(tmp_path, platform):
    """Three controllers and two routers before two engines and two desks."""
    processes = FleetOfProcesses(tmp_path, platform)
    for number in (1, 2):
        platform.add(f"llm-{number}", "llm", version=1)
        platform.add(f"desk-{number}", "desk")
    processes.start()
    yield processes
    processes.close()
