"""Effects of operators' commands."""

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
from berylnotch.control.data import MAX_WITHDRAWN_KEYS, Context, Outcome, StateData
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


def apply_text(data: StateData, context: Context, command: ApplyText) -> Outcome:
    """Put a text in force if its base is in force."""
    view = data.view
    if command.base_revision != view.revision:
        raise CommandError(Status.CONFLICT, _conflict(data, command))
    if command.text == view.text and view.revision:
        return Outcome("the text is in force already")
    try:
        fleet = parse(command.text)
    except FleetTextError as error:
        raise CommandError(Status.INVALID, str(error)) from error
    events: list[object] = [TextChanged(view.revision + 1, command.text)]
    events.extend(_first_weights(data, fleet, context))
    _start_rollouts(data, context, command.operator, fleet)
    data.text_operator = command.operator
    data.text_at_ms = context.at_ms
    data.book.prune(fleet.services, fleet.targets)
    return Outcome(events=tuple(events))


def give_key(data: StateData, context: Context, command: GiveKey) -> Outcome:
    """Accept a key of an organisation that the text names."""
    keyring = data.view.keyring
    if command.organisation not in data.view.fleet.organisations:
        message = f"organisation {command.organisation!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    if not command.key_id or len(command.key_hash) != KEY_HASH_BYTES:
        message = f"a key has an id and a hash of {KEY_HASH_BYTES} bytes"
        raise CommandError(Status.INVALID, message)
    if command.key_id in data.withdrawn:
        message = f"key {command.key_id} was withdrawn; make a new one"
        raise CommandError(Status.EXISTS, message)
    held = keyring.get(command.key_id) or keyring.find(command.key_hash)
    if held is not None:
        raise CommandError(Status.EXISTS, f"key {held.key_id} exists already")
    data.given_ms[command.key_id] = context.at_ms
    event = KeyGiven(command.key_id, command.organisation, command.key_hash)
    return Outcome(events=(event,))


def withdraw_key(data: StateData, context: Context, command: WithdrawKey) -> Outcome:
    """Stop accepting a key; a withdrawn one stays withdrawn."""
    key = data.view.keyring.get(command.key_id)
    if key is None:
        if command.key_id in data.withdrawn:
            return Outcome("the key was withdrawn already")
        raise CommandError(Status.NOT_FOUND, f"there is no key {command.key_id!r}")
    given_ms = data.given_ms.pop(command.key_id, 0)
    line = KeyLine(command.key_id, key.organisation, given_ms, context.at_ms)
    data.withdrawn[command.key_id] = line
    if len(data.withdrawn) > MAX_WITHDRAWN_KEYS:
        del data.withdrawn[next(iter(data.withdrawn))]
    return Outcome(events=(KeyWithdrawn(command.key_id),))


def set_drain(data: StateData, context: Context, command: SetDrain) -> Outcome:
    """Keep new work from a target or VM, or let it come again."""
    fleet = data.view.fleet
    known = fleet.targets if command.subject is Subject.TARGET else fleet.vms
    if command.name not in known:
        message = f"{command.subject.value} {command.name!r} is not in the text"
        raise CommandError(Status.NOT_FOUND, message)
    if data.view.is_draining(command.subject, command.name) is command.draining:
        return Outcome("nothing to change")
    event = DrainChanged(command.subject, command.name, command.draining)
    return Outcome(events=(event,))


def start_rollout(data: StateData, context: Context, command: StartRollout) -> Outcome:
    """Let a service's engines be brought to a weights version."""
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
    data.book.start(_rollout(context, command.operator, command.service, version))
    return Outcome()


def settle_claim(data: StateData, context: Context, command: SettleClaim) -> Outcome:
    """Record an operator's finding on an unknown outcome."""
    return Outcome(claim=data.ledger.settle(context.at_ms, command))


def _conflict(data: StateData, command: ApplyText) -> str:
    base = f"this change is based on revision {command.base_revision}"
    if not data.view.revision:
        return f"no text is in force; {base}"
    when = format_ms(data.text_at_ms)
    return (
        f"revision {data.view.revision} is in force, "
        f"applied by {data.text_operator} at {when}; {base}"
    )


def _first_weights(
    data: StateData, fleet: Fleet, context: Context
) -> list[WeightsChanged]:
    found = []
    for target in fleet.targets.values():
        service = fleet.services[target.service]
        before = data.view.fleet.targets.get(target.name)
        is_new = before is None or before.service != target.service
        if service.kind is ServiceKind.LANGUAGE and is_new:
            version = service.weights
            found.append(WeightsChanged(target.name, service.name, version, 0))
    return found


def _start_rollouts(
    data: StateData, context: Context, operator: str, fleet: Fleet
) -> None:
    for service in fleet.services.values():
        before = data.view.fleet.services.get(service.name)
        if before is not None and before.weights != service.weights:
            version = service.weights
            data.book.start(_rollout(context, operator, service.name, version))


def _rollout(
    context: Context, operator: str, service: str, version: str
) -> RolloutRecord:
    return RolloutRecord(service, version, context.index, operator, context.at_ms)
