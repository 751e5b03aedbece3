"""Tests the wait until other routers know of the targets that a request lost."""

import time

import pytest

from berylnotch.daemon.controller.routers import SHARED_MAX_AGE_S, RouterHeartbeats
from berylnotch.daemon.router.confirmation import LossConfirmation
from berylnotch.quota.messages import GrantRequest


class View:
    version = 7
    lost = frozenset({"a", "b"})

    def targets_lost_with(self, fingerprint, at_ms):
        return self.lost


class Loop:
    """Loop that keeps its timers until they are run."""

    def __init__(self):
        self.timers = []

    def call_later(self, delay_s, action):
        self.timers.append(action)

    def run_next(self):
        self.timers.pop(0)()


class Router:
    """Router whose losses are confirmed."""

    def __init__(self):
        self.loop, self.view, self.shared_version = Loop(), View(), 0
        self.heartbeats, self.results = 0, []

    def send_heartbeat(self):
        self.heartbeats += 1

    def confirm(self, timeout_s=60.0):
        confirmation = LossConfirmation(
            self.loop, self.view, lambda: self.shared_version, self.send_heartbeat
        )
        deadline = time.monotonic() + timeout_s
        confirmation.confirm(b"request", {"a", "b"}, deadline, self.results.append)


@pytest.fixture
def router():
    return Router()


def test_losses_are_confirmed_once_all_routers_have_the_version(router):
    router.confirm()
    assert router.results == [] and router.heartbeats == 1
    router.shared_version = 6
    router.loop.run_next()
    assert router.results == []
    router.shared_version = 7
    router.loop.run_next()
    assert router.results == [True] and router.loop.timers == []


def test_losses_are_not_confirmed_before_they_are_committed(router):
    router.shared_version = 99
    router.view.lost = frozenset({"a"})
    router.confirm()
    assert router.results == [] and router.heartbeats == 0
    router.view.lost = frozenset({"a", "b", "c"})
    router.loop.run_next()
    assert router.results == [True]


def test_the_wait_for_a_commit_ends_at_the_deadline(router):
    router.view.lost = frozenset()
    router.confirm(timeout_s=0.0)
    assert router.results == [False]


def test_the_wait_for_other_routers_ends_at_the_deadline(router):
    router.confirm(timeout_s=0.0)
    assert router.results == [False]


def heartbeat(vm, version):
    return GrantRequest(vm, "1", "", "", False, 1, (), version)


def test_the_shared_version_is_that_of_the_slowest_live_router():
    heartbeats = RouterHeartbeats(now=0.0)
    heartbeats.record(9.0, heartbeat("lost", 3))
    heartbeats.record(11.0, heartbeat("slow", 5))
    heartbeats.record(11.0, heartbeat("fast", 8))
    assert heartbeats.shared_version(11.0) == 3
    assert heartbeats.shared_version(9.1 + SHARED_MAX_AGE_S) == 5
    assert heartbeats.shared_version(60.0) == 0


def test_a_new_leader_knows_no_shared_version_yet():
    heartbeats = RouterHeartbeats(now=10.0)
    heartbeats.record(10.1, heartbeat("fast", 8))
    assert heartbeats.shared_version(10.0 + SHARED_MAX_AGE_S) == 0
