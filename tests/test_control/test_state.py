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
from berylnotch.control.crashes import CRASH_RETENTION_MS
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
from tests.test_control.helpers import (
    TEXT,
    Machine,
    claim,
    configured_harness,
    give_key,
)


def test_apply_text_is_compare_and_set():
    harness = configured_harness()
    assert harness.state.revision == 1
    conflicting = harness.run(ApplyText("c-1", "ravi", 0, TEXT + "\n"))
    assert conflicting.result.status is Status.CONFLICT
    assert "applied by asha at 1970-01-01T00:16:40Z" in conflicting.result.message
    resent = harness.run(ApplyText("c-0", "asha", 0, TEXT))
    assert (resent.result.status, resent.result.index) == (Status.OK, 1)
    assert harness.state.revision == 1


def test_invalid_text_changes_nothing():
    harness = configured_harness()
    broken = TEXT.replace("tokens/s", "tokens", 1)
    result = harness.run(ApplyText("c-1", "asha", 1, broken)).result
    assert result.status is Status.INVALID
    assert ":9:" in result.message
    assert harness.state.text == TEXT


def test_view_applies_keys_and_drains():
    harness = configured_harness()
    harness.run(give_key(1))
    harness.run(SetDrain("d-1", "asha", Subject.TARGET, "sake-llm-1", True))
    view = View()
    assert view.apply(harness.state.events_after(0))
    assert view.find_key((1).to_bytes(32, "big")).organisation == "clerks"
    assert view.is_draining(Subject.TARGET, "sake-llm-1")
    assert view.weights("sake-llm-2") == "v1"
    harness.run(WithdrawKey("w-1", "asha", "k1"))
    assert view.apply(harness.state.events_after(view.version))
    assert view.find_key((1).to_bytes(32, "big")) is None
    assert not view.restore(harness.state.view_snapshot())


def test_claim_runs_once_and_resends_get_the_stored_answer():
    harness = configured_harness()
    assert harness.run(claim()).result.status is Status.OK
    second = harness.run(claim("a2")).result
    assert second.status is Status.EXISTS
    assert second.claim.state is ClaimState.RUNNING
    done = CloseClaim("clerks", "order-7", "a1", ClaimState.DONE, 200, "t", b"ok")
    harness.run(done)
    stored = harness.run(claim("a3")).result
    assert (stored.status, stored.claim.body) == (Status.EXISTS, b"ok")


def test_claim_of_lost_router_becomes_unknown():
    harness = configured_harness()
    harness.run(claim())
    lost = SetLifeState(Subject.VM, "entry-1", "i1", LifeState.LOST, "heartbeat")
    harness.run(lost)
    result = harness.run(claim("a2", "entry-2/i9")).result
    assert result.claim.state is ClaimState.UNKNOWN


def test_snapshot_restores_everything():
    harness = configured_harness()
    harness.run(give_key(1))
    harness.run(give_key(2))
    harness.run(WithdrawKey("w-1", "asha", "k2"))
    harness.run(claim())
    copy = ControlState()
    copy.restore(harness.state.snapshot())
    assert copy.snapshot() == harness.state.snapshot()
    assert copy.keys() == harness.state.keys()
    assert copy.claim("clerks", "order-7").state is ClaimState.RUNNING
    other_harness = Machine()
    other_harness.state, other_harness.index = copy, harness.index
    resent = other_harness.run(give_key(1)).result
    assert (resent.status, resent.index) == (Status.OK, 2)


def test_readded_target_inherits_no_drain_or_weights():
    harness = configured_harness()
    harness.run(SetDrain("d-1", "asha", Subject.TARGET, "sake-llm-3", True))
    without = TEXT.replace("sake-llm-3", "sake-llm-4")
    harness.run(ApplyText("c-1", "asha", 1, without))
    harness.run(ApplyText("c-2", "asha", 2, TEXT.replace("= v1", "= v2")))
    view = View()
    view.apply(harness.state.events_after(0))
    assert not view.is_draining(Subject.TARGET, "sake-llm-3")
    assert view.weights("sake-llm-3") == "v2"
    assert view.weights("sake-llm-1") == "v1"


def test_lagging_target_list_does_not_make_leaving_target_live():
    harness = configured_harness()

    def report(state, source, incarnation="i1"):
        target = Subject.TARGET, "sake-llm-1"
        return harness.run(SetLifeState(*target, incarnation, state, source)).result

    assert report(LifeState.LEAVING, "target").status is Status.OK
    assert report(LifeState.LIVE, "list").status is Status.CONFLICT
    assert report(LifeState.LIVE, "list", "").status is Status.CONFLICT
    assert report(LifeState.LIVE, "list", "i2").status is Status.OK
    assert report(LifeState.LOST, "list", "i1").status is Status.CONFLICT
    view = harness.state.view
    assert view.life_state(Subject.TARGET, "sake-llm-1") is LifeState.LIVE


def test_outdated_lost_report_still_marks_claims_unknown():
    harness = configured_harness()

    def report(state, incarnation):
        vm = Subject.VM, "entry-1"
        return harness.run(SetLifeState(*vm, incarnation, state, "heartbeat")).result

    report(LifeState.LIVE, "i2")
    harness.run(claim("a1", "entry-1/i1"))
    assert report(LifeState.LOST, "i1").status is Status.CONFLICT
    stored_claim = harness.state.claim("clerks", "order-7")
    assert stored_claim.state is ClaimState.UNKNOWN
    report(LifeState.LOST, "i2")
    refused = harness.run(claim("a2", "entry-1/i2")).result
    assert (refused.status, refused.claim) == (Status.CONFLICT, None)


def test_change_id_of_another_change_is_refused():
    harness = configured_harness()
    result = harness.run(ApplyText("c-0", "asha", 0, TEXT + "\n")).result
    assert result.status is Status.INVALID
    assert "another change" in result.message


def test_invalid_commands_change_nothing():
    harness = configured_harness()
    before = harness.state.revision, harness.state.audit(0, 100)
    oversized = WithdrawKey("x" * 600, "asha", "k")
    assert harness.run(oversized).result.status is Status.INVALID
    assert harness.run(KeyWithdrawn("k1")).result.status is Status.INVALID
    harness.index += 1
    garbage = harness.state.apply(harness.index, Proposal(0, b"\0\1"))
    assert garbage.result.status is Status.INVALID
    assert (harness.state.revision, harness.state.audit(0, 100)) == before
    with pytest.raises(ControlError):
        harness.state.apply(harness.index, Proposal(0, b""))


def test_audit_is_bounded_and_ordered(monkeypatch):
    monkeypatch.setattr(audit, "MAX_CHANGES", 3)
    monkeypatch.setattr(audit, "MAX_OBSERVATIONS", 2)
    harness = configured_harness()
    for number in range(4):
        harness.run(give_key(number))
        state = list(LifeState)[number % 2]
        report = SetLifeState(Subject.VM, "entry-1", f"i{number}", state, "self")
        harness.run(report)
    records = harness.state.audit(0, 100)
    assert [record.index for record in records] == [4, 6, 7, 8, 9]
    assert harness.state.audit(6, 2) == records[2:4]
    assert harness.run(give_key(3)).result.index == 8
    assert harness.run(give_key(0)).result.status is Status.EXISTS


def test_weights_version_follows_order_results():
    harness = configured_harness()
    edited = TEXT.replace("= v1", "= v2")
    harness.run(ApplyText("c-1", "ravi", 1, edited))
    assert harness.state.orders.versions == {"sake-llm": "v2"}
    issued = harness.run(IssueOrder("sake-llm-1", "sake-llm", "v2")).result
    assert harness.state.view.weights("sake-llm-1") == ""
    second = harness.run(IssueOrder("sake-llm-1", "sake-llm", "v2")).result
    assert second.status is Status.CONFLICT
    stale = FinishOrder("sake-llm-1", issued.index - 1, True, "v2")
    assert harness.run(stale).result.status is Status.CONFLICT
    harness.run(FinishOrder("sake-llm-1", issued.index, True, "v1", "read back v1"))
    order = harness.state.order("sake-llm-1")
    assert (order.ok, order.failures) == (False, 1)
    harness.run(FinishOrder("sake-llm-1", 0, True, "v2"))
    assert harness.state.view.weights("sake-llm-1") == "v2"


def test_damaged_snapshot_leaves_state_unchanged(harness_snapshot):
    harness, data = harness_snapshot
    before = harness.state.snapshot()
    for broken in (b"", data[:-1], data + b"x", b"BNS\x09" + data[4:], data[:40]):
        with pytest.raises(SnapshotError):
            harness.state.restore(broken)
        with pytest.raises(SnapshotError):
            View().restore(broken)
    with pytest.raises(SnapshotError):
        harness.state.restore(harness.state.view_snapshot())
    assert harness.state.snapshot() == before


def test_frozen_snapshot_excludes_later_commands():
    harness = configured_harness()
    harness.run(give_key(1))
    before = harness.state.snapshot()
    encode_frozen_snapshot = harness.state.prepare_snapshot()
    harness.run(WithdrawKey("w-1", "asha", "k1"))
    harness.run(claim())
    assert encode_frozen_snapshot() == before


def test_invalid_event_leaves_view_unchanged():
    harness = configured_harness()
    view = View()
    view.apply(harness.state.events_after(0))
    before = list(view.records())
    drain = encode(DrainChanged(Subject.TARGET, "sake-llm-1", True))
    version_events = [
        VersionedEvent(9, drain),
        VersionedEvent(9, encode(TextChanged(9, "x"))),
    ]
    with pytest.raises(EventError):
        view.apply(version_events)
    assert list(view.records()) == before


def test_crash_reports_expire():
    harness = configured_harness()
    harness.run(ReportCrash(b"f", "sake-llm-1", "i1"), at_ms=10**7)
    harness.run(ReportCrash(b"f", "sake-llm-2", "i1"), at_ms=10**7 + 1)
    view = harness.state.view
    assert view.targets_lost_with(b"f") == {"sake-llm-1", "sake-llm-2"}
    assert view.targets_lost_with(b"f", 10**7 + CRASH_RETENTION_MS) == {"sake-llm-2"}
    harness.run(ReportCrash(b"g", "sake-llm-1", "i1"), at_ms=10**7 + CRASH_RETENTION_MS)
    assert view.targets_lost_with(b"f") == {"sake-llm-2"}


def test_key_of_removed_organisation_is_not_accepted():
    harness = configured_harness()
    harness.run(give_key(1))
    removed = TEXT.replace("organisation clerks", "organisation labels")
    harness.run(ApplyText("c-1", "asha", 1, removed))
    key_hash = (1).to_bytes(32, "big")
    assert harness.state.view.find_key(key_hash) is None
    assert harness.state.view.keyring.find_by_hash(key_hash) is not None
    harness.run(ApplyText("c-2", "asha", 2, TEXT))
    assert harness.state.view.find_key(key_hash) is not None


def test_events_are_bounded(monkeypatch):
    monkeypatch.setattr(eventlog, "MAX_EVENTS", 3)
    harness = configured_harness()
    for number in range(4):
        harness.run(give_key(number))
    assert harness.state.events_after(0) is None
    assert len(harness.state.events_after(2)) == 3
    assert harness.state.events_after(99) == ()


@pytest.fixture
def harness_snapshot():
    harness = configured_harness()
    harness.run(give_key(1))
    return harness, harness.state.snapshot()
