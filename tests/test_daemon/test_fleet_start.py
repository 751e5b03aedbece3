"""Routers that know nothing yet, before a long list of targets."""

import pytest

from tests.fleet.processes import FleetOfProcesses, until


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    platform.add("desk-1", "desk")
    platform.add("llm-1", "llm", version=1)
    platform.add("desk-2", "desk")
    # The list never ends: its second page fails.
    platform.page_size, platform.readable_pages = 2, 1
    yield processes
    processes.close()


def test_routers_serve_by_the_first_page_while_the_list_is_being_read(fleet):
    fleet.start()
    fleet.make_ready()
    router = fleet.routers[0]
    assert fleet.ask(router, "/chat/x", "s-1").status == 200


def test_routers_keep_targets_while_a_new_leader_reads_the_list(fleet, platform):
    platform.readable_pages = 2
    fleet.start()
    fleet.make_ready()
    platform.readable_pages = 1
    leader = until(fleet.leader, "a leader")
    leader.kill()
    router = fleet.routers[0]
    until(lambda: _leaders_found(router) == 2, "the router at the next leader")
    platform.stop("desk-1")
    statuses = [fleet.ask(router, "/read/x", f"r-{n}", "GET").status for n in range(20)]
    assert statuses == [200] * 20
    assert "r-19" in platform.targets["desk-2"].runs


def _leaders_found(router):
    return sum(line.get("event") == "leader_found" for line in router.lines())
