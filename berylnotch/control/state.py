"""The replicated control state: commands in, results and events out.

Every replica applies the same commands at the same log indexes and so builds
the same state. Time comes only from `Proposal.at_ms`.
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
from berylnotch.control.data import Context, Outcome, StateData
from berylnotch.control.describe import describe
from berylnotch.control.errors import CommandError, SnapshotError
from berylnotch.control.events import VersionedEvent
from berylnotch.control.limits import check_sizes, shorten
from berylnotch.control.protocol import KeyLine
from berylnotch.control.records import (
    AuditBlock,
    KeyTimes,
    OrderRecord,
    RolloutRecord,
    StateHeader,
)
from berylnotch.control.snapshot import pack, unpack
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

# Keys whose times stand in one record of a snapshot.
_KEYS_PER_RECORD = 1000


@frozen
class Applied:
    """Effect of one log entry."""

    result: Result
    events: tuple[VersionedEvent, ...] = ()


class ControlState:
    """The control state of one replica."""

    def __init__(self) -> None:
        self._data = StateData()
        self._audit = AuditTrail()
        self._index = 0
        self._at_ms = 0

    @property
    def index(self) -> int:
        """Log index of the newest command."""
        return self._index

    @property
    def version(self) -> int:
        """Log index of the newest event."""
        return self._data.view.version

    @property
    def group(self) -> str:
        """Identity of this group of controllers, from its first command."""
        return self._data.view.group

    @property
    def revision(self) -> int:
        """Revision of the operators' text in force."""
        return self._data.view.revision

    @property
    def text(self) -> str:
        """The operators' text in force."""
        return self._data.view.text

    @property
    def fleet(self) -> Fleet:
        """The fleet that the text describes."""
        return self._data.view.fleet

    @property
    def view(self) -> View:
        """The part that routers get; not to be changed."""
        return self._data.view

    @property
    def orders(self) -> OrderState:
        """What the order scheduler works on."""
        return order_state(self._data.view, self._data.book)

    def apply(self, index: int, proposal: Proposal) -> Applied:
        """Apply a committed command.

        Parameters
        ----------
        index : int
            Log index, higher than that of every command before.
        proposal : Proposal
            The entry's content.

        Returns
        -------
        Applied
            The result, and the events for the views.

        Raises
        ------
        ControlError
            If the index does not rise.
        """
        if index <= self._index:
            message = f"index {index} after {self._index} would apply an entry twice"
            raise ControlError(message)
        if not self._index:
            self._data.view.set_group(_group_of(index, proposal))
        self._index = index
        # Leaders' clocks differ; what was once past stays past.
        self._at_ms = max(self._at_ms, proposal.at_ms)
        try:
            command = decode(proposal.command)
        except CodecError as error:
            return Applied(self._result(Status.INVALID, str(error)))
        if type(command) not in _HANDLERS:
            message = f"{type(command).__name__} is no command"
            return Applied(self._result(Status.INVALID, message))
        try:
            check_sizes(command)
        except CommandError as error:
            return Applied(self._result(error.status, str(error)))
        resent = self._find_resent(command)
        return Applied(resent) if resent else self._run(command)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self.freeze()()

    def freeze(self) -> Callable[[], bytes]:
        """Return a function that makes a snapshot of the state as it is now.

        Collecting the records is quick. The function takes far longer; it may
        run in another thread, while this state goes on.
        """
        records = tuple(self._records())
        return lambda: pack(records)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot.

        Raises
        ------
        SnapshotError
            If the snapshot is damaged; the state stays as it was.
        """
        records = unpack(data)
        if not records or not isinstance(records[0], StateHeader):
            raise SnapshotError("the snapshot does not begin with a state header")
        fresh = ControlState()
        fresh._restore_records(records[0], records[1:])
        self.__dict__.update(fresh.__dict__)

    def events_after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return the events after a version, or None if some are gone."""
        return self._data.view.events_after(version)

    def view_snapshot(self) -> bytes:
        """Return a snapshot for `View.restore`."""
        return self._data.view.view_snapshot()

    def audit(self, after_index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return at most ``limit`` audit records after a log index."""
        return self._audit.after(after_index, limit)

    def keys(self, organisation: str = "") -> tuple[KeyLine, ...]:
        """Return the keys of an organisation, or of all, by id."""
        given = self._data.given_ms
        lines = [
            KeyLine(key.key_id, key.organisation, given.get(key.key_id, 0), 0)
            for key in self._data.view.keyring
        ]
        lines.extend(self._data.withdrawn.values())
        wanted = [line for line in lines if organisation in ("", line.organisation)]
        return tuple(sorted(wanted, key=lambda line: line.key_id))

    def claim(self, organisation: str, idempotency_key: str) -> ClaimRecord | None:
        """Return a claim."""
        return self._data.ledger.find(organisation, idempotency_key)

    @property
    def running_claims(self) -> tuple[ClaimRecord, ...]:
        """Claims without an outcome, oldest first."""
        return self._data.ledger.running

    def order(self, target: str) -> OrderRecord | None:
        """Return the newest order to an engine."""
        return self._data.book.orders.get(target)

    def rollouts(self) -> tuple[RolloutRecord, ...]:
        """Return the newest rollout of each service."""
        return tuple(self._data.book.rollouts.values())

    def _find_resent(self, command: Any) -> Result | None:
        change_id = getattr(command, "change_id", "")
        record = self._audit.find(change_id) if change_id else None
        if record is None:
            return None
        line = describe(command)
        same = (record.operator, record.action, record.subject, record.base_revision)
        if same != (line.operator, line.action, line.subject, line.base_revision):
            message = f"change id {change_id} belongs to another change"
            return self._result(Status.INVALID, message)
        claim = None
        if isinstance(command, SettleClaim):
            claim = self.claim(command.organisation, command.idempotency_key)
        return Result(
            record.status, record.index, record.revision, record.detail, claim
        )

    def _run(self, command: Any) -> Applied:
        context = Context(self._index, self._at_ms)
        claim = None
        events: tuple[VersionedEvent, ...] = ()
        try:
            outcome = _HANDLERS[type(command)](self._data, context, command)
        except CommandError as error:
            status, message = error.status, str(error)
        except ClaimError as error:
            status, message, claim = error.status, str(error), error.claim
        else:
            status, message, claim = Status.OK, outcome.message, outcome.claim
            events = self._publish(outcome)
        result = self._result(status, message, claim)
        self._record(command, result, bool(events))
        return Applied(result, events)

    def _publish(self, outcome: Outcome) -> tuple[VersionedEvent, ...]:
        events = tuple(
            VersionedEvent(self._index, encode(event)) for event in outcome.events
        )
        self._data.view.apply(events)
        return events

    def _result(
        self, status: Status, message: str, claim: ClaimRecord | None = None
    ) -> Result:
        return Result(status, self._index, self.revision, shorten(message), claim)

    def _record(self, command: Any, result: Result, has_events: bool) -> None:
        line = describe(command)
        if line is None or not (line.change_id or has_events):
            return
        record = AuditRecord(
            index=self._index,
            at_ms=self._at_ms,
            operator=line.operator,
            action=line.action,
            subject=line.subject,
            base_revision=line.base_revision,
            revision=result.revision,
            change_id=line.change_id,
            status=result.status,
            detail=result.message,
        )
        self._audit.append(record)

    def _records(self) -> Iterator[object]:
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
        yield from _key_times(data.given_ms)
        yield from data.withdrawn.values()
        yield from data.ledger
        yield from data.book.records()
        yield from self._audit.blocks()

    def _restore_records(self, header: StateHeader, rest: tuple[Any, ...]) -> None:
        self._index = header.index
        self._at_ms = header.at_ms
        data = self._data
        data.view = View.from_records(rest[: header.view_records])
        data.text_operator = header.text_operator
        data.text_at_ms = header.text_at_ms
        for record in rest[header.view_records :]:
            self._restore_record(record)

    def _restore_record(self, record: Any) -> None:
        data = self._data
        if isinstance(record, KeyTimes):
            data.given_ms.update(zip(record.key_ids, record.given_ms, strict=True))
        elif isinstance(record, KeyLine):
            data.withdrawn[record.key_id] = record
        elif isinstance(record, ClaimRecord):
            data.ledger.restore(record)
        elif isinstance(record, RolloutRecord | OrderRecord):
            data.book.restore(record)
        elif isinstance(record, AuditBlock):
            self._audit.restore(record)
        else:
            message = f"{type(record).__name__} does not belong into a snapshot"
            raise SnapshotError(message)


def _group_of(index: int, proposal: Proposal) -> str:
    digest = hashlib.sha256(proposal.command).hexdigest()[:16]
    return f"{proposal.at_ms}-{index}-{digest}"


def _key_times(given_ms: dict[str, int]) -> Iterator[KeyTimes]:
    key_ids = tuple(given_ms)
    for start in range(0, len(key_ids), _KEYS_PER_RECORD):
        part = key_ids[start : start + _KEYS_PER_RECORD]
        yield KeyTimes(part, tuple(given_ms[key_id] for key_id in part))
