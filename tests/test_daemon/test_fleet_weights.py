"""Tests that engines are emptied of long requests before they load weights."""

import pytest

from berylnotch.daemon.fleet import weights
from berylnotch.daemon.fleet.weights import (
    EMPTYING_CHECK_INTERVAL_S,
    MAX_EMPTYING_OVERDUE_S,
    MAX_EMPTYING_S,
    OVERDUE_SHARE,
    WeightsRollout,
)
from berylnotch.membership.announced_weights import AnnouncedWeights
from berylnotch.membership.inventory import TargetInventory
from berylnotch.membership.listing import ListedTarget, ModelVersion

WEIGHTS_LIMIT_S = 15.0


class Clock:
    """Fake boot time and event loop, whose timers run when the time is advanced."""

    def __init__(self):
        self.now, self.timers = 100.0, []

    def call_later(self, delay_s, call):
        self.timers.append((self.now + delay_s, call))

    def advance(self, seconds):
        until = self.now + seconds
        while due := [timer for timer in self.timers if timer[0] <= until]:
            timer = min(due, key=lambda t: t[0])
            self.timers.remove(timer)
            self.now = timer[0]
            timer[1]()
        self.now = until


class HeldOrderLease:
    """Fake of an order lease that is always held."""

    is_held = True

    def on_load_started(self):
        """Ignore the start of a load."""

    on_load_ended = on_load_started


class Log:
    """Log that discards its lines."""

    def info(self, event, **fields):
        """Discard a line."""

    warning = error = info


@pytest.fixture
def clock(monkeypatch):
    clock = Clock()
    monkeypatch.setattr(weights, "boot_time", lambda: clock.now)
    return clock


@pytest.fixture
def requests(monkeypatch):
    requests = []

    def fetch(_loop, address, request, _seconds, _done):
        requests.append((str(address), request.method, request.target))

    monkeypatch.setattr(weights, "fetch", fetch)
    return requests


def make_rollout(clock, long_requests, named_at=100.0):
    inventory, announced_weights = TargetInventory(), AnnouncedWeights()
    models = (ModelVersion("m", 1),)
    inventory.replace_targets(
        clock.now,
        tuple(
            ListedTarget(f"e{n}", "llm", f"10.0.0.{n}:1", "d", models=models)
            for n in range(5)
        ),
    )
    announced_weights.record("m", 2, named_at)
    rollout = WeightsRollout(
        clock,
        inventory,
        announced_weights,
        HeldOrderLease(),
        lambda: True,
        dict,
        lambda target_id: long_requests.get(target_id, 0),
        frozenset,
        "c1",
        7,
        WEIGHTS_LIMIT_S,
        lambda: None,
        Log(),
    )
    return rollout, inventory


def loading_states(inventory):
    return {
        entry.target.target_id: "loading" if entry.is_loading else "emptying"
        for entry in inventory.entries()
        if entry.is_loading or entry.is_emptying
    }


def test_engine_without_long_requests_loads_immediately(clock, requests):
    rollout, inventory = make_rollout(clock, {})
    rollout.advance()
    assert loading_states(inventory) == {"e0": "loading", "e1": "loading"}
    clock.advance(0.1)
    assert {address for address, _, _ in requests} == {"10.0.0.0:1", "10.0.0.1:1"}


def test_engine_with_long_requests_is_emptied_before_it_loads(clock, requests):
    long_requests = {"e0": 2}
    rollout, inventory = make_rollout(clock, long_requests)
    rollout.advance()
    assert loading_states(inventory) == {"e0": "emptying", "e1": "loading"}
    clock.advance(1.0)
    assert loading_states(inventory)["e0"] == "emptying"
    long_requests["e0"] = 0
    clock.advance(0.1)
    assert loading_states(inventory)["e0"] == "loading"


def test_emptying_time_is_bounded(clock, requests):
    rollout, inventory = make_rollout(clock, {"e0": 2})
    rollout.advance()
    clock.advance(MAX_EMPTYING_S + 0.2)
    assert loading_states(inventory)["e0"] == "loading"


def test_overdue_weights_shorten_the_emptying_time(clock, requests):
    named_at = clock.now - OVERDUE_SHARE * WEIGHTS_LIMIT_S - 0.1
    rollout, inventory = make_rollout(clock, {"e0": 2}, named_at)
    rollout.advance()
    assert loading_states(inventory)["e0"] == "emptying"
    clock.advance(MAX_EMPTYING_OVERDUE_S + 2 * EMPTYING_CHECK_INTERVAL_S)
    assert loading_states(inventory)["e0"] == "loading"


def test_weights_overdue_during_emptying_are_loaded_then(clock, requests):
    overdue_at = clock.now + 1.0
    rollout, inventory = make_rollout(
        clock, {"e0": 2}, named_at=overdue_at - OVERDUE_SHARE * WEIGHTS_LIMIT_S
    )
    rollout.advance()
    clock.advance(1.0)
    assert loading_states(inventory)["e0"] == "emptying"
    clock.advance(2 * EMPTYING_CHECK_INTERVAL_S)
    assert loading_states(inventory)["e0"] == "loading"
