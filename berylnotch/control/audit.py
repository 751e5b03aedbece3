"""Audit trail, which also answers resent commands."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from heapq import merge
from operator import attrgetter
from sys import intern

from attrs import evolve

from berylnotch.control.commands import AuditRecord

#: Newest records of operators' changes held; the change ids of older ones are
#: no longer recognised.
MAX_CHANGES = 20_000
#: Newest records held of what the system did by itself.
MAX_OBSERVATIONS = 5_000

_index = attrgetter("index")


class AuditTrail:
    """Records by index, and by the change id of the command.

    What the system does by itself is bounded apart, so that a target that comes
    and goes cannot push operators' changes out.
    """

    def __init__(self) -> None:
        self._changes: deque[AuditRecord] = deque()
        self._observations: deque[AuditRecord] = deque()
        self._by_change: dict[str, AuditRecord] = {}

    def __iter__(self) -> Iterator[AuditRecord]:
        return merge(self._changes, self._observations, key=_index)

    def append(self, record: AuditRecord) -> None:
        """Add the newest record and drop the oldest beyond the bound."""
        # Few operators and actions share many records.
        operator, action = intern(record.operator), intern(record.action)
        record = evolve(record, operator=operator, action=action)
        if record.change_id:
            self._append_change(record)
            return
        self._observations.append(record)
        if len(self._observations) > MAX_OBSERVATIONS:
            self._observations.popleft()

    def find(self, change_id: str) -> AuditRecord | None:
        """Return the record of a change id."""
        return self._by_change.get(change_id)

    def after(self, index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return at most ``limit`` records after a log index, oldest first."""
        limit = max(0, limit)
        changes = _after(self._changes, index, limit)
        observations = _after(self._observations, index, limit)
        return tuple(merge(changes, observations, key=_index))[:limit]

    def _append_change(self, record: AuditRecord) -> None:
        self._changes.append(record)
        self._by_change[record.change_id] = record
        if len(self._changes) > MAX_CHANGES:
            oldest = self._changes.popleft()
            del self._by_change[oldest.change_id]


def _after(records: deque[AuditRecord], index: int, limit: int) -> list[AuditRecord]:
    start = bisect_right(records, index, key=_index)
    stop = min(len(records), start + limit)
    return [records[position] for position in range(start, stop)]
