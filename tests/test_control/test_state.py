from __future__ import annotations

from berylnotch.control.commands import (
    ApplyText,
    ClaimState,
    CloseClaim,
    LifeState,
    SetDrain,
    SetLifeState,
    Status,
    Subject,
    WithdrawKey,
)
from berylnotch.control.state import ControlState
from berylnotch.control.view import View
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
