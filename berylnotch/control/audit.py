"""Audit trail, which also answers resent commands."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterator
from operator import attrgetter

from berylnotch.control.commands import AuditRecord

#: Newest records held; older change ids are no longer recognised as resent.
MAX_RECORDS = 20_000


class AuditTrail:
    """Records by index, and by the change id of the command."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque()
        self._by_change: dict[str, AuditRecord] = {}

    def __iter__(self) -> Iterator[AuditRecord]:
        return iter(self._records)

    def append(self, record: AuditRecord) -> None:
        """Add the newest record and drop the oldest beyond `MAX_RECORDS`."""
        self._records.append(record)
        if record.change_id:
            self._by_change[record.change_id] = record
        if len(self._records) > MAX_RECORDS:
            oldest = self._records.popleft()
            self._by_change.pop(oldest.change_id, None)

    def find(self, change_id: str) -> AuditRecord | None:
        """Return the record of a change id."""
        return self._by_change.get(change_id)

    def after(self, index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return at most ``limit`` records after a log index, oldest first."""
        start = bisect_right(self._records, index, key=attrgetter("index"))
        stop = min(len(self._records), start + max(0, limit))
        return tuple(self._records[position] for position in range(start, stop))
