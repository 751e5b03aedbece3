"""Requests sent again stay within the fleet's budget, over restarts of its processes.

Targets answer most requests with errors, and count what arrives from all routers.
"""

import signal
import time

import pytest

from tests.fleet.processes import wait_until
from tests.fleet.retries import WINDOW_S, RetryLoad, fullest_window, repeat_times

REQUESTS_PER_S = 60

#: Number of targets, and fraction of its requests that each answers with an error.
N_TARGETS, ERROR_FRACTION = 5, 0.8

#: Seconds of the load before the targets fail, and between two rounds of restarts.
BEFORE_S, ROUND_S = 3.0, 2.0


@pytest.fixture
def fleet(proxied_fleet, platform):
    """Three controllers behind proxies, four routers and five plain targets."""
    for number in range(1, N_TARGETS + 1):
        platform.add(f"desk-{number}", "desk")
    proxied_fleet.make_ready()
    return proxied_fleet


def fail_most(platform):
    for target in platform.targets.values():
        target.error_fraction = ERROR_FRACTION


def check_budget(load, platform):
    repeats = repeat_times(platform.targets.values())
    window = fullest_window(load.sent, repeats)
    assert window.repeats <= window.allowed, window


def restart(process):
    process.kill()
    process.start()


def kill_all_in_rounds(fleet):
    for _ in range(4):
        time.sleep(ROUND_S)
        for router in fleet.routers:
            router.kill()
        for router in fleet.routers:
            router.start()


def kill_in_turn(fleet):
    for _ in range(3):
        for router in fleet.routers:
            time.sleep(ROUND_S / len(fleet.routers))
            restart(router)


def stop_in_overlapping_series(fleet):
    """Stop two routers, and the next two before the first have ended."""
    for _ in range(2):
        for first in (0, 2):
            pair = fleet.routers[first : first + 2]
            for router in pair:
                router.signal(signal.SIGTERM)
            time.sleep(ROUND_S / 2)
        for router in fleet.routers:
            router.process.wait(timeout=10)
            router.start()


def shrink_and_grow(fleet):
    """Kill all routers but one, which gets the roster of one, and start them again."""
    for _ in range(2):
        for router in fleet.routers[1:]:
            router.kill()
        time.sleep(ROUND_S)
        for router in fleet.routers[1:]:
            router.start()
        time.sleep(ROUND_S)


@pytest.mark.parametrize(
    "disturb",
    [kill_all_in_rounds, kill_in_turn, stop_in_overlapping_series, shrink_and_grow],
)
def test_starts_of_routers_do_not_renew_the_retry_budget(fleet, platform, disturb):
    with RetryLoad(fleet, REQUESTS_PER_S) as load:
        time.sleep(BEFORE_S)
        fail_most(platform)
        disturb(fleet)
        time.sleep(WINDOW_S / 2)
    check_budget(load, platform)


def test_changes_of_leader_and_routers_out_of_touch_keep_the_retry_budget(
    fleet, platform, set_links
):
    with RetryLoad(fleet, REQUESTS_PER_S) as load:
        time.sleep(BEFORE_S)
        fail_most(platform)
        time.sleep(1.0)
        leader = wait_until(fleet.leader, "a leader")
        leader.kill()
        time.sleep(ROUND_S)
        restart(fleet.routers[0])
        frozen = fleet.routers[1]
        frozen.signal(signal.SIGSTOP)
        leader.start()
        time.sleep(ROUND_S)
        frozen.signal(signal.SIGCONT)
        set_links("silence")
        restart(fleet.routers[2])
        time.sleep(ROUND_S)
        set_links("ok")
        time.sleep(WINDOW_S / 2)
    check_budget(load, platform)
