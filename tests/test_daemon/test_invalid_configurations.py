"""Tests that a fleet neither acknowledges nor obeys an invalid configuration."""

import copy
import json

import pytest

from tests.fleet.processes import FleetOfProcesses, configuration, send_call


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    platform.add("llm-1", "llm", version=1)
    platform.add("desk-1", "desk")
    platform.add("archive-1", "archive")
    processes.start()
    yield processes
    processes.close()


def valid(version):
    values = configuration(version)
    values["services"].append({"name": "archive", "healthPath": "/", "maxConns": 9})
    for route in values["routes"]:
        route["name"] = route["name"][0]
    return values


def doubled(version):
    """Return a configuration whose last route stands twice, with two services."""
    values = valid(version)
    values["routes"].append(copy.deepcopy(values["routes"][-1]))
    values["routes"][-1]["service"] = "archive"
    return values


def test_a_place_that_is_routed_twice_is_refused_however_often_it_is_sent(
    fleet, platform
):
    # The operator copies a route of one-letter name and changes only its service.
    assert fleet.put(valid(5)).status == 200
    fleet.wait_ready()
    # Newer, sent again, the version held, an older one, and from another operator.
    for version in (7, 7, 5, 4, 9):
        body = json.dumps(doubled(version)).encode()
        answers = [
            send_call(controller.ip, controller.port, "PUT", "/config", {}, body, 3.0)
            for controller in fleet.controllers
        ]
        statuses = sorted(answer.status for answer in answers)
        assert statuses == [307, 307, 400], version
    assert json.loads(fleet.operator("GET", "/config").body)["version"] == 5
    for router in fleet.routers:
        for number in range(8):
            request_id = f"{router.name}-{number}"
            assert fleet.ask(router, "/read/x", request_id, "GET").status == 200
    assert not platform.targets["archive-1"].runs
    assert len(platform.targets["desk-1"].runs) >= 8 * len(fleet.routers)
    assert fleet.put(valid(9)).status == 200
