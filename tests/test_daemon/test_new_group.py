"""Bootstrap of a new group of controllers after the old group was abandoned."""

from __future__ import annotations

import time

from berylnotch.standins.caller import CallerClient
from berylnotch.standins.fleet import wait_for
from berylnotch.standins.texts import DOMAINS, small_fleet_text
from tests.test_daemon.conftest import callers_at, start_small

NAMES = ("c1", "c2", "c3")
#: Seconds within which a router accepts a new group's state, or its state expires.
_CHANGE_S = 10.0


def test_router_refuses_a_key_of_an_abandoned_group(fleet):
    fleet.start_controllers(NAMES, DOMAINS[:3])
    small = start_small(fleet)
    old = fleet.give_key("importer-desk")
    caller = callers_at(small, old)[0]
    for name in NAMES:
        fleet.children[name].kill()
        fleet.data_folder(name).rename(fleet.folder / f"{name}-given-up")
    fleet.start_all([lambda name=name: fleet.restart(name) for name in NAMES])
    fleet.bootstrap(NAMES)
    assert fleet.apply(small_fleet_text(small), 0).revision == 1
    key = fleet.give_key("importer-desk")
    caller_of_new = CallerClient(small.routers[0][1], key.key)
    deadline = time.monotonic() + _CHANGE_S
    wait_for(
        lambda: (
            caller_of_new.send("GET", "/v1/models").status == 200
            or time.monotonic() > deadline
        ),
        "new key in force, or the time is over",
    )
    assert caller_of_new.send("GET", "/v1/models").status == 200
    assert caller.send("GET", "/v1/models").status == 401
