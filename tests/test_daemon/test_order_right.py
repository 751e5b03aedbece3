"""Who may give orders to engines, and when the next leader may."""

from types import SimpleNamespace

import pytest

from berylnotch.daemon.fleet import order_right
from berylnotch.daemon.fleet.order_right import OrderRight
from berylnotch.group.state import FleetState
from tests.test_daemon.test_fleet_weights import Clock, Log

LEASE_S = 3.0


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(order_right, "boot_time", lambda: clock.now)
    return clock


class Group:
    """A state that all controllers share, and a log that may be out of reach."""

    def __init__(self, clock):
        self.clock, self.state, self.commits = clock, FleetState(), True
        self.epoch = 0

    def propose(self, command, done):
        if self.commits:
            self.state.apply(command)
        done(self.commits)

    def lead(self, name):
        """Return a new leader's right, and the times at which it got it."""
        taken = []
        self.epoch += 1
        settings = SimpleNamespace(
            name=name, bounds=SimpleNamespace(order_lease_s=LEASE_S)
        )
        right = OrderRight(
            settings,
            self.clock,
            self.state,
            self.propose,
            self.epoch,
            lambda: taken.append(self.clock.now),
            Log(),
        )
        return right, taken


@pytest.fixture
def group(clock):
    return Group(clock)


def test_the_first_leader_orders_at_once(group, clock):
    right, taken = group.lead("c1")
    right.ask()
    assert taken == [clock.now] and right.is_held
    assert group.state.order_holder == "c1"


def test_a_new_leader_waits_for_the_orders_of_the_one_before(group, clock):
    first, _ = group.lead("c1")
    first.ask()
    first.began()
    first.close()
    began_at = clock.now
    second, taken = group.lead("c2")
    second.ask()
    clock.advance(LEASE_S)
    assert taken == [] and not second.is_held
    clock.advance(1.0)
    assert len(taken) == 1 and taken[0] - began_at > LEASE_S


def test_time_that_passed_before_an_order_was_due_counts(group, clock):
    first, _ = group.lead("c1")
    first.ask()
    first.close()
    second, taken = group.lead("c2")
    clock.advance(LEASE_S + 1)
    second.ask()
    assert taken == [clock.now]


def test_a_right_that_rested_for_a_lease_is_not_waited_for(group, clock):
    first, _ = group.lead("c1")
    first.ask()
    first.began()
    clock.advance(10)
    first.ended()
    ended_at = clock.now
    clock.advance(LEASE_S)
    assert first.is_held
    clock.advance(1.0)
    assert not first.is_held and group.state.order_holder == ""
    assert clock.now - ended_at > LEASE_S
    second, taken = group.lead("c2")
    second.ask()
    assert taken == [clock.now]


def test_it_is_taken_again_before_the_next_order(group, clock):
    right, taken = group.lead("c1")
    right.ask()
    clock.advance(LEASE_S + 1)
    assert not right.is_held
    right.ask()
    assert right.is_held and len(taken) == 2
    assert group.state.order_holder == "c1"


def test_each_order_begins_the_rest_anew(group, clock):
    right, _ = group.lead("c1")
    right.ask()
    for _ in range(4):
        clock.advance(LEASE_S - 0.5)
        right.began()
        right.ended()
    assert right.is_held and group.state.order_holder == "c1"


def test_a_right_that_could_not_be_given_back_is_waited_for(group, clock):
    first, _ = group.lead("c1")
    first.ask()
    group.commits = False
    clock.advance(LEASE_S + 1)
    assert not first.is_held and group.state.order_holder == "c1"
    group.commits = True
    second, taken = group.lead("c2")
    second.ask()
    assert taken == []
    clock.advance(LEASE_S + 1)
    assert len(taken) == 1


def test_taking_is_tried_again(group, clock):
    right, taken = group.lead("c1")
    group.commits = False
    right.ask()
    assert not right.is_held
    group.commits = True
    clock.advance(1.0)
    assert right.is_held and len(taken) == 1


def test_a_former_leader_takes_nothing(group, clock):
    first, _ = group.lead("c1")
    first.ask()
    second, taken = group.lead("c2")
    second.ask()
    second.close()
    clock.advance(LEASE_S + 1)
    assert taken == [] and not second.is_held
    first.close()
    assert not first.is_held
