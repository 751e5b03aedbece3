"""A router must not serve callers before other routers wait for its view.

The answer to a request that lost targets waits for the views of all routers that the
leader has heard of. A router that serves before its first heartbeat arrives would run
such a request again.
"""

import time
from concurrent.futures import Future

import pytest

from berylnotch.control.protocol import SyncReply
from berylnotch.daemon.router import follower as follower_module
from berylnotch.daemon.router.follower import LEADER_CONTACT_S, Follower
from berylnotch.keys.freshness import Freshness


class Peers:
    """Peers whose only source confirms the view."""

    def call(self, source, request, timeout_s):
        future = Future()
        future.set_result(SyncReply(1, 0, "c", group="g"))
        return future


class View:
    group, version = "g", 1


class Loop:
    """Loop that runs calls at once and keeps timers."""

    def __init__(self):
        self.timers = []

    def call_soon(self, call):
        call()

    def call_later(self, delay_s, call):
        self.timers.append(call)


@pytest.fixture
def clock(monkeypatch):
    now = [time.monotonic()]
    monkeypatch.setattr(follower_module.time, "monotonic", lambda: now[0])
    return now


@pytest.fixture
def known():
    return [False]


@pytest.fixture
def router(clock, known):
    """Loop and freshness of a follower that was started."""
    loop, freshness = Loop(), Freshness(2.0)
    follower = Follower(
        loop, Peers(), ("c",), View(), freshness, "r", "1", lambda: known[0], list
    )
    follower.start()
    return loop, freshness


def test_router_does_not_serve_before_the_leader_has_heard_of_it(router, clock, known):
    loop, freshness = router
    assert not freshness.is_fresh(clock[0])
    loop.timers.pop()()
    assert not freshness.is_fresh(clock[0])
    known[0] = True
    loop.timers.pop()()
    assert freshness.is_fresh(clock[0])


def test_router_serves_without_an_answer_of_a_leader_after_a_while(router, clock):
    loop, freshness = router
    clock[0] += LEADER_CONTACT_S
    loop.timers.pop()()
    assert freshness.is_fresh(clock[0])
