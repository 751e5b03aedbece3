"""Audit trail of applied commands, which also identifies resent commands."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Iterable, Iterator
from heapq import merge
from operator import attrgetter

from attrs import frozen

from berylnotch.control.commands import AuditRecord
from berylnotch.control.records import AuditBlock
from berylnotch.transport.codec import decode, encode

#: Maximum number of retained records of operators' changes. A resent command whose
#: record was evicted is no longer recognised by its change ID.
MAX_CHANGES = 20_000
#: Maximum number of retained records of commands proposed by the system itself.
MAX_OBSERVATIONS = 5_000

# Number of records in one block of a snapshot.
_RECORDS_PER_BLOCK = 1000

_index = attrgetter("index")


@frozen
class _EncodedRecord:
    # Records stay encoded because few are ever read, while every snapshot contains
    # all of them.
    index: int
    change_id: str
    data: bytes


class AuditTrail:
    """Audit records ordered by log index and searchable by change ID.

    Records of the system's own commands have a separate limit, so that a target
    that repeatedly appears and disappears cannot evict operators' changes.
    """

    def __init__(self) -> None:
        self._changes: deque[_EncodedRecord] = deque()
        self._observations: deque[_EncodedRecord] = deque()
        self._by_change_id: dict[str, _EncodedRecord] = {}

    def append(self, record: AuditRecord) -> None:
        """Append the newest record and evict the oldest one above the limit."""
        self._append(_EncodedRecord(record.index, record.change_id, encode(record)))

    def find(self, change_id: str) -> AuditRecord | None:
        """Return the record of the command with this change ID."""
        encoded = self._by_change_id.get(change_id)
        return decode(encoded.data) if encoded else None

    def records_after(self, index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return at most ``limit`` records after a log index, oldest first."""
        limit = max(0, limit)
        changes = _records_after(self._changes, index, limit)
        observations = _records_after(self._observations, index, limit)
        merged = list(merge(changes, observations, key=_index))[:limit]
        return tuple(decode(encoded.data) for encoded in merged)

    def blocks(self) -> Iterator[AuditBlock]:
        """Yield all records as blocks for a snapshot."""
        merged = list(merge(self._changes, self._observations, key=_index))
        for start in range(0, len(merged), _RECORDS_PER_BLOCK):
            yield _build_block(merged[start : start + _RECORDS_PER_BLOCK])

    def restore(self, block: AuditBlock) -> None:
        """Append the records of a snapshot's block."""
        fields = zip(block.indexes, block.change_ids, block.records, strict=True)
        for index, change_id, data in fields:
            self._append(_EncodedRecord(index, change_id, data))

    def _append(self, encoded: _EncodedRecord) -> None:
        if not encoded.change_id:
            self._observations.append(encoded)
            if len(self._observations) > MAX_OBSERVATIONS:
                self._observations.popleft()
            return
        self._changes.append(encoded)
        self._by_change_id[encoded.change_id] = encoded
        if len(self._changes) > MAX_CHANGES:
            oldest = self._changes.popleft()
            del self._by_change_id[oldest.change_id]


def _records_after(
    records: deque[_EncodedRecord], index: int, limit: int
) -> list[_EncodedRecord]:
    start = bisect_right(records, index, key=_index)
    stop = min(len(records), start + limit)
    return [records[position] for position in range(start, stop)]


def _build_block(encoded_records: Iterable[_EncodedRecord]) -> AuditBlock:
    records = tuple(encoded_records)
    return AuditBlock(
        tuple(encoded.index for encoded in records),
        tuple(encoded.change_id for encoded in records),
        tuple(encoded.data for encoded in records),
    )
