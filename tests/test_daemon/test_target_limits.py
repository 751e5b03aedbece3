"""Limits that targets name hold for the requests of all routers together.

Each router knows only its own requests and what it alone was told. The stand-ins count
what they get from all routers, also while processes restart and lose each other.
"""

import signal
import time

import pytest

from tests.fleet.callers import CallerThreads
from tests.fleet.limits import (
    NOTICE_S,
    WINDOW_S,
    allowed_in_a_window,
    most_in_a_window,
)
from tests.fleet.processes import wait_until

LIMIT_PER_S = 2.0

#: Requests per second of all callers; without a limit each of three targets gets a
#: third of them.
REQUESTS_PER_S = 40

#: Time that a target takes for an answer, in seconds. With it the requests are spread
#: over the targets by load.
ANSWER_S = 0.15

N_CALLERS = 10


class Load:
    """Callers that send requests to random routers until they are stopped."""

    def __init__(self, fleet, kind="read"):
        self._fleet, self._kind = fleet, kind
        self._callers = CallerThreads(
            N_CALLERS,
            self._send,
            lambda rng: N_CALLERS / REQUESTS_PER_S * rng.uniform(0.8, 1.2),
        )
        self.statuses = []

    def __enter__(self):
        self._callers.start()
        return self

    def __exit__(self, *error):
        self._callers.close()

    def _send(self, rng, caller, number):
        router = rng.choice(self._fleet.routers)
        request_id = f"{self._kind}-{caller}-{number}"
        answer = self._fleet.ask(router, f"/{self._kind}/x", request_id, "GET")
        self.statuses.append(answer.status if answer else 0)


def arrivals_since(target, time_s):
    return [t for t in target.arrivals if t >= time_s]


@pytest.fixture
def fleet(proxied_fleet, platform):
    """Three controllers behind proxies, four routers and three plain targets."""
    for number in (1, 2, 3):
        platform.add(f"desk-{number}", "desk").answer_s = ANSWER_S
    proxied_fleet.make_ready()
    return proxied_fleet


def test_a_limited_target_gets_its_limit_from_all_routers_together(fleet, platform):
    target = platform.targets["desk-1"]
    with Load(fleet) as load:
        wait_until(lambda: len(target.arrivals) > 20, "requests at the target")
        target.limit_per_s = LIMIT_PER_S
        time.sleep(NOTICE_S)
        limited_at = time.monotonic()
        time.sleep(2 * WINDOW_S)
        limited_arrivals = arrivals_since(target, limited_at)
        target.limit_per_s = None
        ended_at = time.monotonic()
        wait_until(
            lambda: len(arrivals_since(target, ended_at)) > 30,
            "the former share of the requests after the end of the limit",
            timeout_s=10,
        )
    assert most_in_a_window(limited_arrivals) <= allowed_in_a_window(LIMIT_PER_S)
    assert len(limited_arrivals) >= LIMIT_PER_S * WINDOW_S, "the target is hardly used"
    assert set(load.statuses) == {200}


def test_a_limit_holds_over_restarts_cuts_and_a_change_of_leader(
    fleet, platform, set_links
):
    target = platform.targets["desk-1"]
    with Load(fleet):
        wait_until(lambda: len(target.arrivals) > 20, "requests at the target")
        target.limit_per_s = LIMIT_PER_S
        time.sleep(NOTICE_S)
        limited_at = time.monotonic()
        leader = wait_until(fleet.leader, "a leader")
        leader.kill()
        time.sleep(1.0)
        restarted, frozen = fleet.routers[:2]
        restarted.kill()
        restarted.start()
        time.sleep(2.0)
        leader.start()
        frozen.signal(signal.SIGSTOP)
        set_links("silence")
        time.sleep(2.0)
        frozen.signal(signal.SIGCONT)
        time.sleep(2.0)
        set_links("ok")
        time.sleep(WINDOW_S)
    limited_arrivals = arrivals_since(target, limited_at)
    assert most_in_a_window(limited_arrivals) <= allowed_in_a_window(LIMIT_PER_S)
    for router in fleet.routers:
        wait_until(
            lambda r=router: fleet.ask(r, "/read/x", "after", "GET").status == 200,
            f"{router.name} to serve",
        )
