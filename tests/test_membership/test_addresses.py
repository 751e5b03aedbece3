"""Choice of the VM addresses for a caller."""

from __future__ import annotations

import pytest
from attrs import define, field
from hypothesis import given
from hypothesis import strategies as st

from berylnotch.control.commands import LifeState, Subject
from berylnotch.fleet.model import Fleet, Organisation, Vm
from berylnotch.membership.addresses import answer
from berylnotch.membership.settings import MembershipSettings

DOMAINS = ("kolkata-a", "kolkata-b", "howrah", "durgapur")
SETTINGS = MembershipSettings(answer_vms=3)


@define
class FakeView:
    fleet: Fleet
    drained: set[str] = field(factory=set)
    states: dict[str, LifeState] = field(factory=dict)

    def is_draining(self, subject: Subject, name: str) -> bool:
        return name in self.drained

    def life_state(self, subject: Subject, name: str) -> LifeState:
        return self.states.get(name, LifeState.LIVE)


def make_view(count: int = 9, rates: dict[str, int] | None = None) -> FakeView:
    vms = {
        f"vm-{i}": Vm(f"vm-{i}", f"10.0.0.{i}:80", DOMAINS[i % 4]) for i in range(count)
    }
    organisations = {
        name: Organisation(name, rate, rate) for name, rate in (rates or {}).items()
    }
    return FakeView(Fleet(vms=vms, organisations=organisations, address_keep_s=20.0))


@pytest.fixture
def view() -> FakeView:
    return make_view()


def test_all_callers_of_an_organisation_get_the_same_vms(view):
    address_sets = {
        frozenset(answer(view, "label", d, SETTINGS).addresses) for d in DOMAINS
    }
    assert len(address_sets) == 1
    assert len(address_sets.pop()) == 3
    assert answer(view, "label", "", SETTINGS).keep_s == 20


@given(st.text(max_size=8), st.sampled_from(DOMAINS), st.sets(st.integers(0, 8)))
def test_leaving_vms_are_omitted_and_near_ones_come_first(name, domain, leaving):
    view = make_view()
    view.states.update({f"vm-{i}": LifeState.LEAVING for i in leaving})
    addresses = answer(view, name, domain, SETTINGS).addresses
    vms = {vm.address: vm for vm in view.fleet.vms.values()}
    if len(leaving) < 9:
        assert not {vms[a].name for a in addresses} & set(view.states)
    is_near = [vms[a].failure_domain == domain for a in addresses]
    assert is_near == sorted(is_near, reverse=True)


@given(st.text(max_size=8))
def test_the_vms_of_an_organisation_are_in_different_failure_domains(name):
    view = make_view()
    vms = {vm.address: vm for vm in view.fleet.vms.values()}
    addresses = answer(view, name, "", SETTINGS).addresses
    assert len({vms[a].failure_domain for a in addresses}) == 3


@given(st.text(max_size=8), st.integers(0, 8))
def test_a_lost_vm_changes_only_the_addresses_of_its_organisations(name, lost):
    view = make_view()
    before = set(answer(view, name, "", SETTINGS).addresses)
    view.drained.add(f"vm-{lost}")
    after = set(answer(view, name, "", SETTINGS).addresses)
    if f"10.0.0.{lost}:80" not in before:
        assert after == before
    assert len(before - after) <= 2


def test_callers_of_a_large_organisation_spread_over_more_vms(view):
    view = make_view(20, {"university": 9_000, "clinic": 1_000})
    university = {
        address
        for turn in range(40)
        for address in answer(view, "university", "", SETTINGS, turn).addresses
    }
    assert len(university) == 18
    assert len(answer(view, "clinic", "", SETTINGS, 5).addresses) == 3
