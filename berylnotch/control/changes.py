"""Handlers of the commands that operators send."""

from __future__ import annotations

from berylnotch.control.commands import (
    ApplyText,
    GiveKey,
    SetDrain,
    SettleClaim,
    StartRollout,
    Status,
    Subject,
    WithdrawKey,
)
from berylnotch.control.data import (
    MAX_WITHDRAWN_KEYS,
    ApplyContext,
    CommandEffect,
    StateData,
)
from berylnotch.control.errors import CommandError
from berylnotch.control.events import (
    DrainChanged,
    KeyGiven,
    KeyWithdrawn,
    TextChanged,
    WeightsChanged,
)
from berylnotch.control.protocol import KeyLine
from berylnotch.control.records import RolloutRecord
from berylnotch.control.times import format_ms
from berylnotch.fleet import values
from berylnotch.fleet.errors import FleetTextError
from berylnotch.fleet.model import Fleet, ServiceKind
from berylnotch.fleet.text import parse
from berylnotch.keys.keyring import KEY_HASH_BYTES


def apply_text(
    data: StateData, context: ApplyContext, command: ApplyText
) -> CommandEffect:
    """Replace the fleet configuration if the command's base revision is in force."""
    view = data.view
    if command.base_revision != view.revision:
        raise CommandError(Status.CONFLICT, _format_conflict(data, command))
    if command.text == view.text and view.revision:
        return CommandEffect("the text is in force already")
    try:
        fleet = parse(command.text)
    except FleetTextError as error:
        raise CommandError(Status.INVALID, str(error)) from error
    events: list[object] = [TextChanged(view.revision + 1, command.text)]
    events.extend(_initial_weights_events(data, fleet, context))
    _start_rollouts(data, context, command.operator, fleet)
    data.text_operator = command.operator
    data.text_at_ms = context.at_ms
    data.order_book.prune(fleet.services, fleet.targets)
    return CommandEffect(events=tuple(events))


def give_key(data: StateData, context: ApplyContext, command: GiveKey) -> CommandEffect:
    """Accept a new key of an organisation that the fleet configuration names."""
    keyring = data.view.keyring
    if command.organisation not in data.view.fleet.organisations:
        message = f"organisation {command.organisation!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    if not command.key_id or len(command.key_hash) != KEY_HASH_BYTES:
        message = f"a key has an id and a hash of {KEY_HASH_BYTES} bytes"
        raise CommandError(Status.INVALID, message)
    if command.key_id in data.withdrawn_keys:
        message = f"key {command.key_id} was withdrawn; make a new one"
        raise CommandError(Status.EXISTS, message)
    existing_key = keyring.find_by_id(command.key_id) or keyring.find_by_hash(
        command.key_hash
    )
    if existing_key is not None:
        raise CommandError(Status.EXISTS, f"key {existing_key.key_id} exists already")
    data.key_issued_ms[command.key_id] = context.at_ms
    event = KeyGiven(command.key_id, command.organisation, command.key_hash)
    return CommandEffect(events=(event,))


def withdraw_key(
    data: StateData, context: ApplyContext, command: WithdrawKey
) -> CommandEffect:
    """Stop accepting a key, and refuse later keys with its ID."""
    key = data.view.keyring.find_by_id(command.key_id)
    if key is None:
        if command.key_id in data.withdrawn_keys:
            return CommandEffect("the key was withdrawn already")
        raise CommandError(Status.NOT_FOUND, f"there is no key {command.key_id!r}")
    issued_ms = data.key_issued_ms.pop(command.key_id, 0)
    key_line = KeyLine(command.key_id, key.organisation, issued_ms, context.at_ms)
    data.withdrawn_keys[command.key_id] = key_line
    if len(data.withdrawn_keys) > MAX_WITHDRAWN_KEYS:
        del data.withdrawn_keys[next(iter(data.withdrawn_keys))]
    return CommandEffect(events=(KeyWithdrawn(command.key_id),))


def set_drain(
    data: StateData, context: ApplyContext, command: SetDrain
) -> CommandEffect:
    """Start or stop draining a target or VM; draining excludes new requests."""
    fleet = data.view.fleet
    configured = fleet.targets if command.subject is Subject.TARGET else fleet.vms
    if command.name not in configured:
        message = f"{command.subject.value} {command.name!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    if data.view.is_draining(command.subject, command.name) is command.draining:
        return CommandEffect("nothing to change")
    event = DrainChanged(command.subject, command.name, command.draining)
    return CommandEffect(events=(event,))


def start_rollout(
    data: StateData, context: ApplyContext, command: StartRollout
) -> CommandEffect:
    """Start a rollout of a weights version to a service's engines."""
    service = data.view.fleet.services.get(command.service)
    if service is None or service.kind is not ServiceKind.LANGUAGE:
        message = f"{command.service!r} is no language service of the text"
        raise CommandError(Status.NOT_FOUND, message)
    try:
        version = values.version(command.version)
    except ValueError as error:
        raise CommandError(Status.INVALID, str(error)) from error
    if not version:
        raise CommandError(Status.INVALID, "the version is empty")
    data.order_book.start(
        _build_rollout(context, command.operator, command.service, version)
    )
    return CommandEffect()


def settle_claim(
    data: StateData, context: ApplyContext, command: SettleClaim
) -> CommandEffect:
    """Record the outcome that an operator found for a claim in state UNKNOWN."""
    return CommandEffect(claim=data.ledger.settle(context.at_ms, command))


def _format_conflict(data: StateData, command: ApplyText) -> str:
    base_message = f"this change is based on revision {command.base_revision}"
    if not data.view.revision:
        return f"no text is in force; {base_message}"
    applied_at = format_ms(data.text_at_ms)
    return (
        f"revision {data.view.revision} is in force, "
        f"applied by {data.text_operator} at {applied_at}; {base_message}"
    )


def _initial_weights_events(
    data: StateData, fleet: Fleet, context: ApplyContext
) -> list[WeightsChanged]:
    events = []
    for target in fleet.targets.values():
        service = fleet.services[target.service]
        previous_target = data.view.fleet.targets.get(target.name)
        is_new = previous_target is None or previous_target.service != target.service
        if service.kind is ServiceKind.LANGUAGE and is_new:
            version = service.weights
            events.append(WeightsChanged(target.name, service.name, version, 0))
    return events


def _start_rollouts(
    data: StateData, context: ApplyContext, operator: str, fleet: Fleet
) -> None:
    for service in fleet.services.values():
        previous_service = data.view.fleet.services.get(service.name)
        if previous_service is not None and previous_service.weights != service.weights:
            version = service.weights
            data.order_book.start(
                _build_rollout(context, operator, service.name, version)
            )


def _build_rollout(
    context: ApplyContext, operator: str, service: str, version: str
) -> RolloutRecord:
    return RolloutRecord(service, version, context.index, operator, context.at_ms)
