"""Audit trail, which also answers resent commands."""

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

#: Newest records of operators' changes held; the change ids of older ones are
#: no longer recognised.
MAX_CHANGES = 20_000
#: Newest records held of what the system did by itself.
MAX_OBSERVATIONS = 5_000

# Records that stand together in a snapshot.
_RECORDS_PER_BLOCK = 1000

_index = attrgetter("index")


@frozen
class _Held:
    # Records are kept encoded: few are ever read, and a snapshot holds them all.
    index: int
    change_id: str
    data: bytes


class AuditTrail:
    """Records by index, and by the change id of the command.

    What the system does by itself is bounded apart, so that a target that comes
    and goes cannot push operators' changes out.
    """

    def __init__(self) -> None:
        self._changes: deque[_Held] = deque()
        self._observations: deque[_Held] = deque()
        self._by_change: dict[str, _Held] = {}

    def append(self, record: AuditRecord) -> None:
        """Add the newest record and drop the oldest beyond the bound."""
        self._append(_Held(record.index, record.change_id, encode(record)))

    def find(self, change_id: str) -> AuditRecord | None:
        """Return the record of a change id."""
        held = self._by_change.get(change_id)
        return decode(held.data) if held else None

    def after(self, index: int, limit: int) -> tuple[AuditRecord, ...]:
        """Return at most ``limit`` records after a log index, oldest first."""
        limit = max(0, limit)
        changes = _after(self._changes, index, limit)
        observations = _after(self._observations, index, limit)
        newest = list(merge(changes, observations, key=_index))[:limit]
        return tuple(decode(held.data) for held in newest)

    def blocks(self) -> Iterator[AuditBlock]:
        """Yield everything for a snapshot."""
        held = list(merge(self._changes, self._observations, key=_index))
        for start in range(0, len(held), _RECORDS_PER_BLOCK):
            yield _block(held[start : start + _RECORDS_PER_BLOCK])

    def restore(self, block: AuditBlock) -> None:
        """Take a block of a snapshot over."""
        fields = zip(block.indexes, block.change_ids, block.records, strict=True)
        for index, change_id, data in fields:
            self._append(_Held(index, change_id, data))

    def _append(self, held: _Held) -> None:
        if not held.change_id:
            self._observations.append(held)
            if len(self._observations) > MAX_OBSERVATIONS:
                self._observations.popleft()
            return
        self._changes.append(held)
        self._by_change[held.change_id] = held
        if len(self._changes) > MAX_CHANGES:
            oldest = self._changes.popleft()
            del self._by_change[oldest.change_id]


def _after(records: deque[_Held], index: int, limit: int) -> list[_Held]:
    start = bisect_right(records, index, key=_index)
    stop = min(len(records), start + limit)
    return [records[position] for position in range(start, stop)]


def _block(held: Iterable[_Held]) -> AuditBlock:
    found = tuple(held)
    return AuditBlock(
        tuple(item.index for item in found),
        tuple(item.change_id for item in found),
        tuple(item.data for item in found),
    )
