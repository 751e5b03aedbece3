from __future__ import annotations

import pytest

from berylnotch.control import audit, eventlog
from berylnotch.control.commands import (
    ApplyText,
    ClaimState,
    CloseClaim,
    FinishOrder,
    IssueOrder,
    LifeState,
    Proposal,
    ReportCrash,
    SetDrain,
    SetLifeState,
    Status,
    Subject,
    WithdrawKey,
)
from berylnotch.control.crashes import CRASH_KEEP_MS
from berylnotch.control.errors import EventError, SnapshotError
from berylnotch.control.events import (
    DrainChanged,
    KeyWithdrawn,
    TextChanged,
    VersionedEvent,
)
from berylnotch.control.state import ControlState
from berylnotch.control.view import View
from berylnotch.errors import ControlError
from berylnotch.transport.codec import encode
from tests.test_control.helpers import TEXT, Machine, applied, claim, key


def test_apply_text_is_compare_and_set():
    machine = applied()
    assert machine.state.revision == 1
    other = machine.run(ApplyText("c-1", "ravi", 0, TEXT + "\n"))
    assert other.result.status is Status.CONFLICT
    assert "applied by asha at 1970-01-01T00:16:40Z" in other.result.message
    again = machine.run(ApplyText("c-0", "asha", 0, TEXT))
    assert (again.result.status, again.result.index) == (Status.OK, 1)
    assert machine.state.revision == 1


def test_invalid_text_changes_nothing():
    machine = applied()
    broken = TEXT.replace("tokens/s", "tokens", 1)
    result = machine.run(ApplyText("c-1", "asha", 1, broken)).result
    assert result.status is Status.INVALID
    assert ":9:" in result.message
    assert machine.state.text == TEXT


def test_view_follows_keys_and_drains():
    machine = applied()
    machine.run(key(1))
    machine.run(SetDrain("d-1", "asha", Subject.TARGET, "sake-llm-1", True))
    view = View()
    assert view.apply(machine.state.events_after(0))
    assert view.find_key((1).to_bytes(32, "big")).organisation == "clerks"
    assert view.is_draining(Subject.TARGET, "sake-llm-1")
    assert view.weights("sake-llm-2") == "v1"
    machine.run(WithdrawKey("w-1", "asha", "k1"))
    assert view.apply(machine.state.events_after(view.version))
    assert view.find_key((1).to_bytes(32, "big")) is None
    assert not view.restore(machine.state.view_snapshot())


def test_claim_runs_once_and_is_answered():
    machine = applied()
    assert machine.run(claim()).result.status is Status.OK
    second = machine.run(claim("a2")).result
    assert second.status is Status.EXISTS
    assert second.claim.state is ClaimState.RUNNING
    done = CloseClaim("clerks", "order-7", "a1", ClaimState.DONE, 200, "t", b"ok")
    machine.run(done)
    stored = machine.run(claim("a3")).result
    assert (stored.status, stored.claim.body) == (Status.EXISTS, b"ok")


def test_lost_router_leaves_claim_unknown():
    machine = applied()
    machine.run(claim())
    lost = SetLifeState(Subject.VM, "entry-1", "i1", LifeState.LOST, "heartbeat")
    machine.run(lost)
    result = machine.run(claim("a2", "entry-2/i9")).result
    assert result.claim.state is ClaimState.UNKNOWN


def test_snapshot_restores_everything():
    machine = applied()
    machine.run(key(1))
    machine.run(key(2))
    machine.run(WithdrawKey("w-1", "asha", "k2"))
    machine.run(claim())
    copy = ControlState()
    copy.restore(machine.state.snapshot())
    assert copy.snapshot() == machine.state.snapshot()
    assert copy.keys() == machine.state.keys()
    assert copy.claim("clerks", "order-7").state is ClaimState.RUNNING
    other = Machine()
    other.state, other.index = copy, machine.index
    resent = other.run(key(1)).result
    assert (resent.status, resent.index) == (Status.OK, 2)


def test_name_that_comes_back_is_another_machine():
    machine = applied()
    machine.run(SetDrain("d-1", "asha", Subject.TARGET, "sake-llm-3", True))
    without = TEXT.replace("sake-llm-3", "sake-llm-4")
    machine.run(ApplyText("c-1", "asha", 1, without))
    machine.run(ApplyText("c-2", "asha", 2, TEXT.replace("= v1", "= v2")))
    view = View()
    view.apply(machine.state.events_after(0))
    assert not view.is_draining(Subject.TARGET, "sake-llm-3")
    assert view.weights("sake-llm-3") == "v2"
    assert view.weights("sake-llm-1") == "v1"


def test_lagging_list_does_not_bring_a_leaving_target_back():
    machine = applied()

    def report(state, source, incarnation="i1"):
        target = Subject.TARGET, "sake-llm-1"
        return machine.run(SetLifeState(*target, incarnation, state, source)).result

    assert report(LifeState.LEAVING, "target").status is Status.OK
    assert report(LifeState.LIVE, "list").status is Status.CONFLICT
    assert report(LifeState.LIVE, "list", "").status is Status.CONFLICT
    assert report(LifeState.LIVE, "list", "i2").status is Status.OK
    assert report(LifeState.LOST, "list", "i1").status is Status.CONFLICT
    view = machine.state.view
    assert view.life_state(Subject.TARGET, "sake-llm-1") is LifeState.LIVE


def test_late_report_still_loses_the_claims_of_an_old_router():
    machine = applied()

    def report(state, incarnation):
        vm = Subject.VM, "entry-1"
        return machine.run(SetLifeState(*vm, incarnation, state, "heartbeat")).result

    report(LifeState.LIVE, "i2")
    machine.run(claim("a1", "entry-1/i1"))
    assert report(LifeState.LOST, "i1").status is Status.CONFLICT
    found = machine.state.claim("clerks", "order-7")
    assert found.state is ClaimState.UNKNOWN
    report(LifeState.LOST, "i2")
    refused = machine.run(claim("a2", "entry-1/i2")).result
    assert (refused.status, refused.claim) == (Status.CONFLICT, None)


def test_change_id_of_another_change_is_refused():
    machine = applied()
    result = machine.run(ApplyText("c-0", "asha", 0, TEXT + "\n")).result
    assert result.status is Status.INVALID
    assert "another change" in result.message


def test_long_fields_and_strange_entries_change_nothing():
    machine = applied()
    before = machine.state.revision, machine.state.audit(0, 100)
    long = WithdrawKey("x" * 600, "asha", "k")
    assert machine.run(long).result.status is Status.INVALID
    assert machine.run(KeyWithdrawn("k1")).result.status is Status.INVALID
    machine.index += 1
    garbage = machine.state.apply(machine.index, Proposal(0, b"\0\1"))
    assert garbage.result.status is Status.INVALID
    assert (machine.state.revision, machine.state.audit(0, 100)) == before
    with pytest.raises(ControlError):
        machine.state.apply(machine.index, Proposal(0, b""))


def test_audit_is_bounded_and_ordered(monkeypatch):
    monkeypatch.setattr(audit, "MAX_CHANGES", 3)
    monkeypatch.setattr(audit, "MAX_OBSERVATIONS", 2)
    machine = applied()
    for number in range(4):
        machine.run(key(number))
        state = list(LifeState)[number % 2]
        life = SetLifeState(Subject.VM, "entry-1", f"i{number}", state, "self")
        machine.run(life)
    records = machine.state.audit(0, 100)
    assert [record.index for record in records] == [4, 6, 7, 8, 9]
    assert machine.state.audit(6, 2) == records[2:4]
    assert machine.run(key(3)).result.index == 8
    assert machine.run(key(0)).result.status is Status.EXISTS


def test_weights_follow_orders():
    machine = applied()
    edited = TEXT.replace("= v1", "= v2")
    machine.run(ApplyText("c-1", "ravi", 1, edited))
    assert machine.state.orders.versions == {"sake-llm": "v2"}
    issued = machine.run(IssueOrder("sake-llm-1", "sake-llm", "v2")).result
    assert machine.state.view.weights("sake-llm-1") == ""
    twice = machine.run(IssueOrder("sake-llm-1", "sake-llm", "v2")).result
    assert twice.status is Status.CONFLICT
    stale = FinishOrder("sake-llm-1", issued.index - 1, True, "v2")
    assert machine.run(stale).result.status is Status.CONFLICT
    machine.run(FinishOrder("sake-llm-1", issued.index, True, "v1", "read back v1"))
    order = machine.state.order("sake-llm-1")
    assert (order.ok, order.failures) == (False, 1)
    machine.run(FinishOrder("sake-llm-1", 0, True, "v2"))
    assert machine.state.view.weights("sake-llm-1") == "v2"


def test_damaged_snapshot_leaves_the_state(machine_snapshot):
    machine, data = machine_snapshot
    before = machine.state.snapshot()
    for broken in (b"", data[:-1], data + b"x", b"BNS\x09" + data[4:], data[:40]):
        with pytest.raises(SnapshotError):
            machine.state.restore(broken)
        with pytest.raises(SnapshotError):
            View().restore(broken)
    with pytest.raises(SnapshotError):
        machine.state.restore(machine.state.view_snapshot())
    assert machine.state.snapshot() == before


def test_frozen_state_does_not_follow_changes():
    machine = applied()
    machine.run(key(1))
    before = machine.state.snapshot()
    pack = machine.state.freeze()
    machine.run(WithdrawKey("w-1", "asha", "k1"))
    machine.run(claim())
    assert pack() == before


def test_bad_event_leaves_the_view():
    machine = applied()
    view = View()
    view.apply(machine.state.events_after(0))
    before = list(view.records())
    drain = encode(DrainChanged(Subject.TARGET, "sake-llm-1", True))
    group = [VersionedEvent(9, drain), VersionedEvent(9, encode(TextChanged(9, "x")))]
    with pytest.raises(EventError):
        view.apply(group)
    assert list(view.records()) == before


def test_crash_reports_expire():
    machine = applied()
    machine.run(ReportCrash(b"f", "sake-llm-1", "i1"), at_ms=10**7)
    machine.run(ReportCrash(b"f", "sake-llm-2", "i1"), at_ms=10**7 + 1)
    view = machine.state.view
    assert view.crash_targets(b"f") == {"sake-llm-1", "sake-llm-2"}
    assert view.crash_targets(b"f", 10**7 + CRASH_KEEP_MS) == {"sake-llm-2"}
    machine.run(ReportCrash(b"g", "sake-llm-1", "i1"), at_ms=10**7 + CRASH_KEEP_MS)
    assert view.crash_targets(b"f") == {"sake-llm-2"}


def test_key_of_a_removed_organisation_stops():
    machine = applied()
    machine.run(key(1))
    removed = TEXT.replace("organisation clerks", "organisation labels")
    machine.run(ApplyText("c-1", "asha", 1, removed))
    key_hash = (1).to_bytes(32, "big")
    assert machine.state.view.find_key(key_hash) is None
    assert machine.state.view.keyring.find(key_hash) is not None
    machine.run(ApplyText("c-2", "asha", 2, TEXT))
    assert machine.state.view.find_key(key_hash) is not None


def test_events_are_bounded(monkeypatch):
    monkeypatch.setattr(eventlog, "MAX_EVENTS", 3)
    machine = applied()
    for number in range(4):
        machine.run(key(number))
    assert machine.state.events_after(0) is None
    assert len(machine.state.events_after(2)) == 3
    assert machine.state.events_after(99) == ()


@pytest.fixture
def machine_snapshot():
    machine = applied()
    machine.run(key(1))
    return machine, machine.state.snapshot()
