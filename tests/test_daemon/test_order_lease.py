"""Order lease: which leader may send orders to engines, and from when."""

from types import SimpleNamespace

import pytest

from berylnotch.daemon.fleet import order_lease
from berylnotch.daemon.fleet.order_lease import OrderLease
from berylnotch.group.state import FleetState
from tests.test_daemon.test_fleet_weights import Clock, Log

LEASE_S = 3.0


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(order_lease, "boot_time", lambda: clock.now)
    return clock


class Group:
    """Replicated state of all controllers, and a log that may fail to commit."""

    def __init__(self, clock):
        self.clock, self.state, self.can_commit = clock, FleetState(), True
        self.epoch = 0

    def propose(self, command, done):
        if self.can_commit:
            self.state.apply(command)
        done(self.can_commit)

    def lead(self, name):
        """Return a new leader's order lease, and the times at which it acquired it."""
        acquired = []
        self.epoch += 1
        settings = SimpleNamespace(
            name=name, bounds=SimpleNamespace(order_lease_s=LEASE_S)
        )
        lease = OrderLease(
            settings,
            self.clock,
            self.state,
            self.propose,
            self.epoch,
            lambda: acquired.append(self.clock.now),
            Log(),
        )
        return lease, acquired


@pytest.fixture
def group(clock):
    return Group(clock)


def test_first_leader_acquires_the_lease_at_once(group, clock):
    lease, acquired = group.lead("c1")
    lease.request()
    assert acquired == [clock.now] and lease.is_held
    assert group.state.order_holder == "c1"


def test_new_leader_waits_for_the_orders_of_its_predecessor(group, clock):
    first, _ = group.lead("c1")
    first.request()
    first.on_load_started()
    first.close()
    began_at = clock.now
    second, acquired = group.lead("c2")
    second.request()
    clock.advance(LEASE_S)
    assert acquired == [] and not second.is_held
    clock.advance(1.0)
    assert len(acquired) == 1 and acquired[0] - began_at > LEASE_S


def test_time_before_the_first_request_counts_towards_the_wait(group, clock):
    first, _ = group.lead("c1")
    first.request()
    first.close()
    second, acquired = group.lead("c2")
    clock.advance(LEASE_S + 1)
    second.request()
    assert acquired == [clock.now]


def test_lease_is_released_after_idle_time_and_needs_no_wait(group, clock):
    first, _ = group.lead("c1")
    first.request()
    first.on_load_started()
    clock.advance(10)
    first.on_load_ended()
    ended_at = clock.now
    clock.advance(LEASE_S)
    assert first.is_held
    clock.advance(1.0)
    assert not first.is_held and group.state.order_holder == ""
    assert clock.now - ended_at > LEASE_S
    second, acquired = group.lead("c2")
    second.request()
    assert acquired == [clock.now]


def test_released_lease_is_acquired_again_before_the_next_order(group, clock):
    lease, acquired = group.lead("c1")
    lease.request()
    clock.advance(LEASE_S + 1)
    assert not lease.is_held
    lease.request()
    assert lease.is_held and len(acquired) == 2
    assert group.state.order_holder == "c1"


def test_each_order_restarts_the_idle_time(group, clock):
    lease, _ = group.lead("c1")
    lease.request()
    for _ in range(4):
        clock.advance(LEASE_S - 0.5)
        lease.on_load_started()
        lease.on_load_ended()
    assert lease.is_held and group.state.order_holder == "c1"


def test_new_leader_waits_if_the_release_was_not_committed(group, clock):
    first, _ = group.lead("c1")
    first.request()
    group.can_commit = False
    clock.advance(LEASE_S + 1)
    assert not first.is_held and group.state.order_holder == "c1"
    group.can_commit = True
    second, acquired = group.lead("c2")
    second.request()
    assert acquired == []
    clock.advance(LEASE_S + 1)
    assert len(acquired) == 1


def test_acquisition_is_retried(group, clock):
    lease, acquired = group.lead("c1")
    group.can_commit = False
    lease.request()
    assert not lease.is_held
    group.can_commit = True
    clock.advance(1.0)
    assert lease.is_held and len(acquired) == 1


def test_former_leader_does_not_acquire_the_lease(group, clock):
    first, _ = group.lead("c1")
    first.request()
    second, acquired = group.lead("c2")
    second.request()
    second.close()
    clock.advance(LEASE_S + 1)
    assert acquired == [] and not second.is_held
    first.close()
    assert not first.is_held
