"""Replicated state machine of the control state.

Every replica applies the same commands at the same log indexes and so builds the same
state. To stay deterministic, the state machine takes the time only from
`Proposal.at_ms`.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterator
from typing import Any

from attrs import frozen

from berylnotch.control import changes, observations
from berylnotch.control.audit import AuditTrail
from berylnotch.control.commands import (
    ApplyText,
    AuditRecord,
    ClaimRecord,
    CloseClaim,
    ExpireClaims,
    FinishOrder,
    GiveKey,
    IssueOrder,
    OpenClaim,
    Proposal,
    ReportCrash,
    Result,
    SetDrain,
    SetLifeState,
    SettleClaim,
    StartRollout,
    Status,
    WithdrawKey,
)
from berylnotch.control.data import ApplyContext, CommandEffect, StateData
from berylnotch.control.describe import describe
from berylnotch.control.errors import CommandError, SnapshotError
from berylnotch.control.events import VersionedEvent
from berylnotch.control.limits import check_field_sizes, truncate_message
from berylnotch.control.protocol import KeyLine
from berylnotch.control.records import (
    AuditBlock,
    KeyTimes,
    OrderRecord,
    RolloutRecord,
    StateHeader,
)
from berylnotch.control.snapshot import decode_snapshot, encode_snapshot
from berylnotch.control.view import View
from berylnotch.errors import CodecError, ControlError
from berylnotch.fleet.model import Fleet
from berylnotch.ledger.errors import ClaimError
from berylnotch.orders.scheduler import OrderState
from berylnotch.orders.state import order_state
from berylnotch.transport.codec import decode, encode

_HANDLERS = {
    ApplyText: changes.apply_text,
    GiveKey: changes.give_key,
    WithdrawKey: changes.withdraw_key,
    SetDrain: changes.set_drain,
    StartRollout: changes.start_rollout,
    SettleClaim: changes.settle_claim,
    SetLifeState: observations.set_life_state,
    OpenClaim: observations.open_claim,
    CloseClaim: observations.close_claim,
    ExpireClaims: observations.expire_claims,
    ReportCrash: observations.report_crash,
    IssueOrder: observations.issue_order,
    FinishOrder: observations.finish_order,
}

# Number of keys whose creation times are stored in one record of a snapshot.
_KEYS_PER_RECORD = 1000


@frozen
class AppliedCommand:
    """Result of one log entry, and the events that it produced."""

    result: Result
    events: tuple[VersionedEvent, ...] = ()


class ControlState:
    """Control state of one replica."""

    def __init__(self) -> None:
        self._data = StateData()
        self._audit = AuditTrail()
        self._index = 0
        self._at_ms = 0

    @property
    def index(self) -> int:
        """Log index of the newest applied command."""
        return self._index

    @property
    def version(self) -> int:
        """Log index of the newest event."""
        return self._data.view.version

    @property
    def group(self) -> str:
        """Identity of this group of controllers, derived from its first command."""
        return self._data.view.group

    @property
    def revision(self) -> int:
        """Revision of the fleet configuration in force."""
        return self._data.view.revision

    @property
    def text(self) -> str:
        """Text of the fleet configuration in force."""
        return self._data.view.text

    @property
    def fleet(self) -> Fleet:
        """Parsed fleet configuration in force."""
        return self._data.view.fleet

    @property
    def view(self) -> View:
        """Part of the state that routers replicate; it must not be modified."""
        return self._data.view

    @property
    def orders(self) -> OrderState:
        """Input of the order scheduler."""
        return order_state(self._data.view, self._data.order_book)

    def apply(self, index: int, proposal: Proposal) -> AppliedCommand:
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Log index, higher than that of every earlier command.
        proposal : Proposal
            Content of the log entry.

        Returns
        -------
        AppliedCommand
            The result, and the events to apply to the routers' views.

        Raises
        ------
        ControlError
            If the index is not higher than that of the newest applied command.
        """
        if index <= self._index:
            message = (
                f"log index {index} is not above {self._index}; "
                "the entry would be applied twice"
            )
            raise ControlError(message)
        if not self._index:
            self._data.view.set_group(_derive_group_identity(index, proposal))
        self._index = index
        # Leaders' clocks differ. The time must not go backwards after a change of
        # leader, so that expired items stay expired.
        self._at_ms = max(self._at_ms, proposal.at_ms)
        try:
            command = decode(proposal.command)
        except CodecError as error:
            return AppliedCommand(self._build_result(Status.INVALID, str(error)))
        if type(command) not in _HANDLERS:
            message = f"{type(command).__name__} is no command"
            return AppliedCommand(self._build_result(Status.INVALID, message))
        try:
            check_field_sizes(command)
        except CommandError as error:
            return AppliedCommand(self._build_result(error.status, str(error)))
        recorded_result = self._find_recorded_result(command)
        return (
            AppliedCommand(recorded_result)
            if recorded_result
            else self._execute(command)
        )

    def snapshot(self) -> bytes:
        """Return a snapshot of the state."""
        return self.prepare_snapshot()()

    def prepare_snapshot(self) -> Callable[[], bytes]:
        """Return a function that encodes a snapshot of the current state.

        This method only collects the records and is quick. The returned function takes
        far longer and may run in another thread while commands are applied to this
        state.
        """
        records = tuple(self._snapshot_records())
        return lambda: encode_snapshot(records)

    def restore(self, data: bytes) -> None:
        """Replace the state with the one in a snapshot.

        Raises
        ------
        SnapshotError
            If the snapshot is damaged; the state is unchanged.
        """
        records = decode_snapshot(data)
        if not records or not isinstance(records[0], StateHeader):
            raise SnapshotError(
                "the first record of the snapshot is not a state header"
            )
        restored = ControlState()
        restored._restore_records(records[0], records[1:])
        self.__dict__.update(restored.__dict__)

    def events_after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return the events after a version, or None if some were evicted."""
        return self._data.view.events_after(version)

    def view_snapshot(self) -> bytes:
        """Return a snapshot for `View.restore`."""
        return self._data.view.view_snapshot()

    def audit(self, after_index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return at most ``limit`` audit records after a log index."""
        return self._audit.records_after(after_index, limit)

    def keys(self, organisation: str = "") -> tuple[KeyLine, ...]:
        """Return the keys of one or all organisations, sorted by key ID."""
        issued_ms = self._data.key_issued_ms
        lines = [
            KeyLine(key.key_id, key.organisation, issued_ms.get(key.key_id, 0), 0)
            for key in self._data.view.keyring
        ]
        lines.extend(self._data.withdrawn_keys.values())
        selected = [line for line in lines if organisation in ("", line.organisation)]
        return tuple(sorted(selected, key=lambda line: line.key_id))

    def claim(self, organisation: str, idempotency_key: str) -> ClaimRecord | None:
        """Return the claim with an idempotency key, or None if there is none."""
        return self._data.ledger.find(organisation, idempotency_key)

    @property
    def running_claims(self) -> tuple[ClaimRecord, ...]:
        """Claims in state RUNNING, oldest first."""
        return self._data.ledger.running

    def order(self, target: str) -> OrderRecord | None:
        """Return the newest order to an engine, or None if there is none."""
        return self._data.order_book.orders.get(target)

    def rollouts(self) -> tuple[RolloutRecord, ...]:
        """Return the newest rollout of each service."""
        return tuple(self._data.order_book.rollouts.values())

    def _find_recorded_result(self, command: Any) -> Result | None:
        change_id = getattr(command, "change_id", "")
        record = self._audit.find(change_id) if change_id else None
        if record is None:
            return None
        description = describe(command)
        recorded_fields = (
            record.operator,
            record.action,
            record.subject,
            record.base_revision,
        )
        if recorded_fields != (
            description.operator,
            description.action,
            description.subject,
            description.base_revision,
        ):
            message = f"change id {change_id} belongs to another change"
            return self._build_result(Status.INVALID, message)
        claim = None
        if isinstance(command, SettleClaim):
            claim = self.claim(command.organisation, command.idempotency_key)
        return Result(
            record.status, record.index, record.revision, record.detail, claim
        )

    def _execute(self, command: Any) -> AppliedCommand:
        context = ApplyContext(self._index, self._at_ms)
        claim = None
        events: tuple[VersionedEvent, ...] = ()
        try:
            effect = _HANDLERS[type(command)](self._data, context, command)
        except CommandError as error:
            status, message = error.status, str(error)
        except ClaimError as error:
            status, message, claim = error.status, str(error), error.claim
        else:
            status, message, claim = Status.OK, effect.message, effect.claim
            events = self._apply_events(effect)
        result = self._build_result(status, message, claim)
        self._append_audit_record(command, result, bool(events))
        return AppliedCommand(result, events)

    def _apply_events(self, effect: CommandEffect) -> tuple[VersionedEvent, ...]:
        events = tuple(
            VersionedEvent(self._index, encode(event)) for event in effect.events
        )
        self._data.view.apply(events)
        return events

    def _build_result(
        self, status: Status, message: str, claim: ClaimRecord | None = None
    ) -> Result:
        return Result(
            status, self._index, self.revision, truncate_message(message), claim
        )

    def _append_audit_record(
        self, command: Any, result: Result, has_events: bool
    ) -> None:
        description = describe(command)
        if description is None or not (description.change_id or has_events):
            return
        record = AuditRecord(
            index=self._index,
            at_ms=self._at_ms,
            operator=description.operator,
            action=description.action,
            subject=description.subject,
            base_revision=description.base_revision,
            revision=result.revision,
            change_id=description.change_id,
            status=result.status,
            detail=result.message,
        )
        self._audit.append(record)

    def _snapshot_records(self) -> Iterator[object]:
        data = self._data
        view_records = tuple(data.view.records())
        yield StateHeader(
            self._index,
            self._at_ms,
            data.text_operator,
            data.text_at_ms,
            len(view_records),
        )
        yield from view_records
        yield from _build_key_times(data.key_issued_ms)
        yield from data.withdrawn_keys.values()
        yield from data.ledger
        yield from data.order_book.records()
        yield from self._audit.blocks()

    def _restore_records(self, header: StateHeader, records: tuple[Any, ...]) -> None:
        self._index = header.index
        self._at_ms = header.at_ms
        data = self._data
        data.view = View.from_records(records[: header.view_records])
        data.text_operator = header.text_operator
        data.text_at_ms = header.text_at_ms
        for record in records[header.view_records :]:
            self._restore_record(record)

    def _restore_record(self, record: Any) -> None:
        data = self._data
        if isinstance(record, KeyTimes):
            data.key_issued_ms.update(zip(record.key_ids, record.given_ms, strict=True))
        elif isinstance(record, KeyLine):
            data.withdrawn_keys[record.key_id] = record
        elif isinstance(record, ClaimRecord):
            data.ledger.restore(record)
        elif isinstance(record, RolloutRecord | OrderRecord):
            data.order_book.restore(record)
        elif isinstance(record, AuditBlock):
            self._audit.restore(record)
        else:
            message = f"{type(record).__name__} is not a record of a state snapshot"
            raise SnapshotError(message)


def _derive_group_identity(index: int, proposal: Proposal) -> str:
    digest = hashlib.sha256(proposal.command).hexdigest()[:16]
    return f"{proposal.at_ms}-{index}-{digest}"


def _build_key_times(key_issued_ms: dict[str, int]) -> Iterator[KeyTimes]:
    key_ids = tuple(key_issued_ms)
    for start in range(0, len(key_ids), _KEYS_PER_RECORD):
        part_ids = key_ids[start : start + _KEYS_PER_RECORD]
        yield KeyTimes(part_ids, tuple(key_issued_ms[key_id] for key_id in part_ids))
