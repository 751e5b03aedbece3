"""Targets: who may get new work, ejection and expected wait."""

from __future__ import annotations

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.control.commands import LifeState, Subject
from berylnotch.control.events import LifeStateChanged
from berylnotch.fleet.model import Fleet, Target
from berylnotch.membership.settings import MembershipSettings
from berylnotch.membership.targets import LoadReport, TargetHealth

SERVICE = "coach-llm"
NAMES = tuple(f"engine-{i}" for i in range(4))


@define
class FakeView:
    fleet: Fleet
    drained: set[str] = field(factory=set)
    listed: dict[str, LifeStateChanged] = field(factory=dict)

    def is_draining(self, subject: Subject, name: str) -> bool:
        return name in self.drained

    def life_report(self, subject: Subject, name: str) -> LifeStateChanged | None:
        return self.listed.get(name)

    def weights(self, target: str) -> str:
        return "v1"

    def tell(self, name: str, incarnation: str, state: LifeState) -> None:
        self.listed[name] = LifeStateChanged(
            Subject.TARGET, name, incarnation, state, "platform"
        )


@pytest.fixture
def view() -> FakeView:
    return make_view()


@pytest.fixture
def health() -> TargetHealth:
    return TargetHealth(MembershipSettings())


def make_view() -> FakeView:
    targets = {name: Target(name, SERVICE, "10.0.0.1:80", "ub") for name in NAMES}
    return FakeView(Fleet(targets=targets))


def usable(health: TargetHealth, view: FakeView, now: float = 0.0) -> set[str]:
    return {c.name for c in health.candidates(now, view, SERVICE) if c.is_usable}


def fail(health: TargetHealth, now: float, name: str, times: int = 3) -> None:
    for _ in range(times):
        health.finish(now, health.begin(now, name, 0.1), False)


def test_list_saying_live_does_not_undo_the_own_signal(health, view):
    health.observe("engine-0", "a", leaving=True)
    view.tell("engine-0", "a", LifeState.LIVE)
    health.report("engine-0", LoadReport("a", 1.0, 0.0))
    assert "engine-0" not in usable(health, view)
    assert health.observe("engine-0", "b")
    assert "engine-0" in usable(health, view)
    assert not health.report("engine-0", LoadReport("a", 2.0, 9.0, leaving=True))
    assert "engine-0" in usable(health, view)


def test_list_saying_lost_holds_until_that_incarnation_was_replaced(health, view):
    health.observe("engine-0", "a")
    view.tell("engine-0", "a", LifeState.LOST)
    assert "engine-0" not in usable(health, view)
    health.observe("engine-0", "b")
    assert "engine-0" in usable(health, view)
    view.tell("engine-0", "c", LifeState.LEAVING)
    assert "engine-0" not in usable(health, view)


def test_drain_holds_for_every_incarnation(health, view):
    view.drained.add("engine-0")
    health.observe("engine-0", "b")
    assert "engine-0" not in usable(health, view)


def test_ejected_target_comes_back_by_one_probe(health, view):
    old = health.begin(0.0, "engine-0", 0.1)
    fail(health, 1.0, "engine-0")
    health.finish(1.5, old, True)
    assert "engine-0" not in usable(health, view, 2.9)
    assert "engine-0" in usable(health, view, 3.1)
    probe = health.begin(3.1, "engine-0", 0.1)
    assert "engine-0" not in usable(health, view, 3.2)
    health.finish(3.3, probe, False)
    assert "engine-0" not in usable(health, view, 7.2)
    probe = health.begin(7.4, "engine-0", 0.1)
    health.finish(7.5, probe, True)
    assert "engine-0" in usable(health, view, 7.5)


def test_abandoned_probe_lets_the_next_one_through(health, view):
    fail(health, 0.0, "engine-0")
    health.abandon(health.begin(3.0, "engine-0", 0.1))
    assert "engine-0" in usable(health, view, 3.1)


def test_new_process_is_not_blamed_for_the_old_one(health, view):
    health.observe("engine-0", "a")
    fail(health, 0.0, "engine-0")
    health.observe("engine-0", "b")
    assert "engine-0" in usable(health, view)


@given(st.lists(st.sampled_from(NAMES), max_size=40))
def test_at_most_half_of_the_targets_are_ejected(failed):
    health, view = TargetHealth(MembershipSettings()), make_view()
    for now, name in enumerate(failed):
        fail(health, now / 100.0, name)
        assert len(usable(health, view, now / 100.0)) >= 2


def test_shortlist_is_left_when_most_of_it_cannot_work(health, view):
    short = NAMES[:2]
    assert len(health.candidates(0.0, view, SERVICE, short)) == 2
    view.drained.update(short)
    assert len(health.candidates(0.0, view, SERVICE, short)) == 4


def test_wait_is_the_aged_report_and_own_requests_since(health, view):
    before = health.begin(9.0, "engine-0", 0.5)
    health.report("engine-0", LoadReport("a", 10.0, 2.0))
    since = health.begin(10.5, "engine-0", 0.25)
    assert wait(health, view, 11.0) == pytest.approx(1.25)
    health.first_token(since)
    assert wait(health, view, 11.0) == pytest.approx(1.0)
    assert wait(health, view, 30.0) == pytest.approx(0.5)
    health.finish(30.0, before, True)
    assert wait(health, view, 30.0) == 0.0


def wait(health: TargetHealth, view: FakeView, now: float) -> float:
    return health.candidates(now, view, SERVICE)[0].queue_wait_s
