"""Target health: eligibility for new work, ejection and expected wait."""

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

    def set_platform_report(
        self, name: str, incarnation: str, state: LifeState
    ) -> None:
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


def usable_names(health: TargetHealth, view: FakeView, now: float = 0.0) -> set[str]:
    return {c.name for c in health.candidates(now, view, SERVICE) if c.is_usable}


def record_failures(
    health: TargetHealth, now: float, name: str, count: int = 3
) -> None:
    for _ in range(count):
        health.record_end(now, health.record_sent(now, name, 0.1), False)


def test_live_in_the_list_does_not_override_the_targets_leaving_signal(health, view):
    health.observe("engine-0", "a", leaving=True)
    view.set_platform_report("engine-0", "a", LifeState.LIVE)
    health.report("engine-0", LoadReport("a", 1.0, 0.0))
    assert "engine-0" not in usable_names(health, view)
    assert health.observe("engine-0", "b")
    assert "engine-0" in usable_names(health, view)
    assert not health.report("engine-0", LoadReport("a", 2.0, 9.0, leaving=True))
    assert "engine-0" in usable_names(health, view)


def test_lost_in_the_list_holds_until_that_incarnation_is_replaced(health, view):
    health.observe("engine-0", "a")
    view.set_platform_report("engine-0", "a", LifeState.LOST)
    assert "engine-0" not in usable_names(health, view)
    health.observe("engine-0", "b")
    assert "engine-0" in usable_names(health, view)
    view.set_platform_report("engine-0", "c", LifeState.LEAVING)
    assert "engine-0" not in usable_names(health, view)


def test_drain_applies_to_every_incarnation(health, view):
    view.drained.add("engine-0")
    health.observe("engine-0", "b")
    assert "engine-0" not in usable_names(health, view)


def test_one_successful_probe_ends_an_ejection(health, view):
    old = health.record_sent(0.0, "engine-0", 0.1)
    record_failures(health, 1.0, "engine-0")
    health.record_end(1.5, old, True)
    assert "engine-0" not in usable_names(health, view, 2.9)
    assert "engine-0" in usable_names(health, view, 3.1)
    probe = health.record_sent(3.1, "engine-0", 0.1)
    assert "engine-0" not in usable_names(health, view, 3.2)
    health.record_end(3.3, probe, False)
    assert "engine-0" not in usable_names(health, view, 7.2)
    probe = health.record_sent(7.4, "engine-0", 0.1)
    health.record_end(7.5, probe, True)
    assert "engine-0" in usable_names(health, view, 7.5)


def test_abandoned_probe_allows_another_probe(health, view):
    record_failures(health, 0.0, "engine-0")
    health.record_abandoned(health.record_sent(3.0, "engine-0", 0.1))
    assert "engine-0" in usable_names(health, view, 3.1)


def test_new_process_does_not_inherit_the_ejection_of_the_old_one(health, view):
    health.observe("engine-0", "a")
    record_failures(health, 0.0, "engine-0")
    health.observe("engine-0", "b")
    assert "engine-0" in usable_names(health, view)


@given(st.lists(st.sampled_from(NAMES), max_size=40))
def test_at_most_half_of_the_targets_are_ejected(failed):
    health, view = TargetHealth(MembershipSettings()), make_view()
    for now, name in enumerate(failed):
        record_failures(health, now / 100.0, name)
        assert len(usable_names(health, view, now / 100.0)) >= 2


def test_all_targets_are_considered_if_most_of_the_shortlist_is_unusable(health, view):
    shortlist = NAMES[:2]
    assert len(health.candidates(0.0, view, SERVICE, shortlist)) == 2
    view.drained.update(shortlist)
    assert len(health.candidates(0.0, view, SERVICE, shortlist)) == 4


def test_wait_is_the_aged_report_plus_own_requests_sent_since(health, view):
    before = health.record_sent(9.0, "engine-0", 0.5)
    health.report("engine-0", LoadReport("a", 10.0, 2.0))
    since = health.record_sent(10.5, "engine-0", 0.25)
    assert queue_wait_s(health, view, 11.0) == pytest.approx(1.25)
    health.first_token(since)
    assert queue_wait_s(health, view, 11.0) == pytest.approx(1.0)
    assert queue_wait_s(health, view, 30.0) == pytest.approx(0.5)
    health.record_end(30.0, before, True)
    assert queue_wait_s(health, view, 30.0) == 0.0


def queue_wait_s(health: TargetHealth, view: FakeView, now: float) -> float:
    return health.candidates(now, view, SERVICE)[0].queue_wait_s
