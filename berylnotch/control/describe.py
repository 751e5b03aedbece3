"""Descriptions of commands for the audit trail."""

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

#: Operator name in the audit records of commands that the leader proposes.
CONTROLLER_OPERATOR = "controller"


@frozen
class CommandDescription:
    """Operator, action and subject of a command."""

    operator: str
    action: str
    subject: str
    change_id: str = ""
    base_revision: int = 0


def describe(command: Any) -> CommandDescription | None:
    """Return a command's description, or None if the command is not audited."""
    describer = _DESCRIBERS.get(type(command))
    return describer(command) if describer else None


def _apply_text(command: ApplyText) -> CommandDescription:
    digest = hashlib.sha256(command.text.encode()).hexdigest()[:16]
    return CommandDescription(
        command.operator,
        "apply-text",
        f"text sha256:{digest}",
        command.change_id,
        command.base_revision,
    )


def _give_key(command: GiveKey) -> CommandDescription:
    subject = f"key {command.key_id} of {command.organisation}"
    return CommandDescription(command.operator, "give-key", subject, command.change_id)


def _withdraw_key(command: WithdrawKey) -> CommandDescription:
    subject = f"key {command.key_id}"
    return CommandDescription(
        command.operator, "withdraw-key", subject, command.change_id
    )


def _set_drain(command: SetDrain) -> CommandDescription:
    action = "drain" if command.draining else "undrain"
    subject = f"{command.subject.value} {command.name}"
    return CommandDescription(command.operator, action, subject, command.change_id)


def _start_rollout(command: StartRollout) -> CommandDescription:
    subject = f"service {command.service} to {command.version}"
    return CommandDescription(
        command.operator, "start-rollout", subject, command.change_id
    )


def _settle_claim(command: SettleClaim) -> CommandDescription:
    key = f"{command.organisation}/{command.idempotency_key}"
    subject = f"claim {key} as {command.state.value}"
    return CommandDescription(
        command.operator, "settle-claim", subject, command.change_id
    )


def _issue_order(command: IssueOrder) -> CommandDescription:
    subject = f"target {command.target} to {command.version}"
    return CommandDescription(CONTROLLER_OPERATOR, "issue-order", subject)


def _finish_order(command: FinishOrder) -> CommandDescription:
    result = "done" if command.ok else "failed"
    subject = f"target {command.target} order {command.fence} {result}"
    return CommandDescription(CONTROLLER_OPERATOR, "finish-order", subject)


def _set_life_state(command: SetLifeState) -> CommandDescription:
    subject = f"{command.subject.value} {command.name} {command.state.value}"
    return CommandDescription(command.source, "set-life-state", subject)


_DESCRIBERS = {
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
