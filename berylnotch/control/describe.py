"""Lines of the audit trail that commands leave."""

from __future__ import annotations

import hashlib
from typing import Any

from attrs import frozen

from berylnotch.control.commands import (
    ApplyText,
    FinishOrder,
    GiveKey,
    IssueOrder,
    SetDrain,
    SetLifeState,
    SettleClaim,
    StartRollout,
    WithdrawKey,
)

#: Operator's name of what the leader itself orders.
CONTROLLER = "controller"


@frozen
class Line:
    """What a command is, for the audit trail."""

    operator: str
    action: str
    subject: str
    change_id: str = ""
    base_revision: int = 0


def describe(command: Any) -> Line | None:
    """Return a command's line, or None if it leaves none."""
    found = _DESCRIBE.get(type(command))
    return found(command) if found else None


def _apply_text(command: ApplyText) -> Line:
    digest = hashlib.sha256(command.text.encode()).hexdigest()[:16]
    return Line(
        command.operator,
        "apply-text",
        f"text sha256:{digest}",
        command.change_id,
        command.base_revision,
    )


def _give_key(command: GiveKey) -> Line:
    subject = f"key {command.key_id} of {command.organisation}"
    return Line(command.operator, "give-key", subject, command.change_id)


def _withdraw_key(command: WithdrawKey) -> Line:
    subject = f"key {command.key_id}"
    return Line(command.operator, "withdraw-key", subject, command.change_id)


def _set_drain(command: SetDrain) -> Line:
    action = "drain" if command.draining else "undrain"
    subject = f"{command.subject.value} {command.name}"
    return Line(command.operator, action, subject, command.change_id)


def _start_rollout(command: StartRollout) -> Line:
    subject = f"service {command.service} to {command.version}"
    return Line(command.operator, "start-rollout", subject, command.change_id)


def _settle_claim(command: SettleClaim) -> Line:
    key = f"{command.organisation}/{command.idempotency_key}"
    subject = f"claim {key} as {command.state.value}"
    return Line(command.operator, "settle-claim", subject, command.change_id)


def _issue_order(command: IssueOrder) -> Line:
    subject = f"target {command.target} to {command.version}"
    return Line(CONTROLLER, "issue-order", subject)


def _finish_order(command: FinishOrder) -> Line:
    result = "done" if command.ok else "failed"
    subject = f"target {command.target} order {command.fence} {result}"
    return Line(CONTROLLER, "finish-order", subject)


def _set_life_state(command: SetLifeState) -> Line:
    subject = f"{command.subject.value} {command.name} {command.state.value}"
    return Line(command.source, "set-life-state", subject)


_DESCRIBE = {
    ApplyText: _apply_text,
    GiveKey: _give_key,
    WithdrawKey: _withdraw_key,
    SetDrain: _set_drain,
    StartRollout: _start_rollout,
    SettleClaim: _settle_claim,
    IssueOrder: _issue_order,
    FinishOrder: _finish_order,
    SetLifeState: _set_life_state,
}
