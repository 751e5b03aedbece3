"""Answers to operators' read requests at the leader, and checks of their commands."""

from __future__ import annotations

import math
import time
from typing import TYPE_CHECKING, Any

from attrs import evolve

from berylnotch.control.commands import (
    ApplyText,
    GiveKey,
    SetDrain,
    SettleClaim,
    StartRollout,
    Subject,
    WithdrawKey,
)
from berylnotch.control.protocol import (
    AuditReply,
    AuditRequest,
    ClaimReply,
    ClaimRequest,
    ControllerLine,
    KeysReply,
    KeysRequest,
    OrganisationLine,
    Refused,
    ShowReply,
    ShowRequest,
    StatusReply,
    StatusRequest,
    TargetLine,
)
from berylnotch.errors import ControlError
from berylnotch.keys.keyring import KEY_HASH_BYTES, hash_digest
from berylnotch.transport.identity import CALLER_KEY_NAME, identity_key

if TYPE_CHECKING:
    from berylnotch.consensus.messages import Member
    from berylnotch.daemon.controller.core import Core
    from berylnotch.fleet.model import Organisation, Target

#: Largest number of audit records in one reply.
_MAX_AUDIT_RECORDS = 1000

_OPERATOR_COMMANDS = (
    ApplyText,
    GiveKey,
    WithdrawKey,
    SetDrain,
    SettleClaim,
    StartRollout,
)


def check_operator_command(operator: str, command: Any, secret: bytes) -> Any:
    """Return the command in its stored form, if this operator may propose it.

    The command-line tool sends an unkeyed digest of a new key; the log stores a keyed
    hash of that digest.

    Raises
    ------
    ControlError
        If operators may not propose this kind of command, or if the command names
        another operator, has no change id, or holds a digest of the wrong length.
    """
    if not isinstance(command, _OPERATOR_COMMANDS):
        raise ControlError(f"{type(command).__name__} is no command of operators")
    if command.operator != operator:
        raise ControlError(f"the command names {command.operator!r} as operator")
    if not command.change_id:
        raise ControlError("the command has no change id")
    if isinstance(command, GiveKey):
        return _with_keyed_hash(command, secret)
    return command


def _with_keyed_hash(command: GiveKey, secret: bytes) -> GiveKey:
    if len(command.key_hash) != KEY_HASH_BYTES:
        raise ControlError(f"a key's digest has {KEY_HASH_BYTES} bytes")
    key = identity_key(secret, CALLER_KEY_NAME)
    return evolve(command, key_hash=hash_digest(key, command.key_hash))


def answer_query(core: Core, message: Any) -> object:
    """Answer a read request of an operator; this controller must be the leader."""
    state = core.state
    if isinstance(message, ShowRequest):
        return ShowReply(state.revision, state.text)
    if isinstance(message, AuditRequest):
        limit = min(max(message.limit, 1), _MAX_AUDIT_RECORDS)
        return AuditReply(state.audit(message.after_index, limit))
    if isinstance(message, KeysRequest):
        return KeysReply(state.keys(message.organisation))
    if isinstance(message, ClaimRequest):
        return ClaimReply(state.claim(message.organisation, message.idempotency_key))
    if isinstance(message, StatusRequest):
        return _build_status(core, time.monotonic())
    return Refused(f"{type(message).__name__} is not served here")


def _build_status(core: Core, now: float) -> StatusReply:
    replica, fleet = core.replica, core.state.fleet
    return StatusReply(
        term=replica.term,
        leader=replica.leader,
        commit=replica.commit,
        revision=core.state.revision,
        controllers=tuple(_controller_line(core, now, m) for m in core.members()),
        routers=core.leader.router_lines(now),
        targets=tuple(_target_line(core, t) for t in fleet.targets.values()),
        organisations=tuple(
            _organisation_line(core, now, o) for o in fleet.organisations.values()
        ),
    )


def _controller_line(core: Core, now: float, member: Member) -> ControllerLine:
    replica = core.replica
    if member.replica == replica.identity:
        return ControllerLine(member, True, replica.last_index, 0)
    progress = replica.progress.get(member.replica)
    if progress is None or math.isinf(progress.last_contact_at):
        match_index = progress.match_index if progress is not None else 0
        return ControllerLine(member, False, match_index, -1)
    heard_ms = int((now - progress.last_contact_at) * 1000)
    return ControllerLine(member, False, progress.match_index, heard_ms)


def _target_line(core: Core, target: Target) -> TargetLine:
    view = core.state.view
    return TargetLine(
        target.name,
        target.service,
        target.address,
        target.failure_domain,
        view.life_state(Subject.TARGET, target.name).value,
        view.is_draining(Subject.TARGET, target.name),
        view.weights(target.name),
    )


def _organisation_line(
    core: Core, now: float, organisation: Organisation
) -> OrganisationLine:
    owner, name = core.leader.quota_owner, organisation.name
    return OrganisationLine(
        name,
        organisation.rate,
        organisation.burst,
        organisation.share,
        int(owner.level(now, name)) if owner else 0,
        int(owner.used_per_s(now, name)) if owner else 0,
    )
