"""Start of routers and change of the leader while a long target list is read."""

import time

import pytest

from berylnotch.daemon.fleet.leader import TARGETS_BATCH_S
from tests.fleet.processes import FleetOfProcesses, gauge, wait_until


@pytest.fixture
def fleet(tmp_path, platform):
    processes = FleetOfProcesses(tmp_path, platform)
    platform.add("desk-1", "desk")
    platform.add("llm-1", "llm", version=1)
    platform.add("desk-2", "desk")
    # The list is never read in full: its second page fails.
    platform.page_size, platform.readable_pages = 2, 1
    yield processes
    processes.close()


def test_routers_serve_with_the_first_page_while_the_list_is_being_read(fleet):
    fleet.start()
    fleet.make_ready()
    router = fleet.routers[0]
    assert fleet.ask(router, "/chat/x", "s-1").status == 200


def test_routers_keep_targets_while_a_new_leader_reads_the_list(fleet, platform):
    platform.readable_pages = 2
    fleet.start()
    fleet.make_ready()
    # Routers are ready after the first page, maybe before the second one arrived.
    wait_until(lambda: _is_listed(fleet, "desk-2"), "the whole list at the leader")
    time.sleep(10 * TARGETS_BATCH_S)
    platform.readable_pages = 1
    leader = wait_until(fleet.leader, "a leader")
    leader.kill()
    router = fleet.routers[0]
    wait_until(
        lambda: _leaders_found_count(router) == 2, "the router at the next leader"
    )
    platform.stop("desk-1")
    statuses = [fleet.ask(router, "/read/x", f"r-{n}", "GET").status for n in range(20)]
    assert statuses == [200] * 20
    assert "r-19" in platform.targets["desk-2"].runs


def test_pages_that_are_read_again_are_not_sent_again(fleet, platform):
    fleet.start()
    fleet.make_ready()
    calls = platform.list_calls
    wait_until(
        lambda: platform.list_calls > calls + 4, "more readings of the first page"
    )
    heard_s = _heard_s(fleet)
    wait_until(
        lambda: platform.list_calls > calls + 8, "more readings of the first page"
    )
    later_s = _heard_s(fleet)
    assert later_s > heard_s


def _is_listed(fleet, target):
    lines = (line for controller in fleet.controllers for line in controller.lines())
    return any(
        line.get("event") == "target_listed" and line["target"] == target
        for line in lines
    )


def _heard_s(fleet):
    return gauge(fleet.metrics(fleet.routers[0]), "berylnotch_targets_heard_seconds")


def _leaders_found_count(router):
    return sum(line.get("event") == "leader_found" for line in router.lines())
