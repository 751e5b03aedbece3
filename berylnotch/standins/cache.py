"""Simulated prefix cache of a stand-in engine and the events it sends."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque

from attrs import frozen

#: Bytes of prompt in a cached piece.
PIECE_BYTES = 1024
_KEPT_EVENTS = 10_000


@frozen
class CacheRecord:
    """One cache event; ``kind`` is ``stored`` or ``removed``."""

    sequence: int
    kind: str
    block: str


class PrefixCache:
    """Least-recently-used set of prefix blocks.

    Parameters
    ----------
    capacity : int
        Pieces kept.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0
        self._records: deque[CacheRecord] = deque(maxlen=_KEPT_EVENTS)

    @property
    def last_sequence(self) -> int:
        """Number of the newest event."""
        return self._sequence

    def admit(self, scope: str, weights: str, prompt: bytes) -> int:
        """Cache a prompt's pieces and return how many were not cached."""
        blocks = block_hashes(scope, weights, prompt)
        cached = 0
        while cached < len(blocks) and blocks[cached] in self._blocks:
            cached += 1
        for block in blocks:
            self._touch(block)
        return len(blocks) - cached

    def clear(self) -> None:
        """Drop every block, as new weights do."""
        for block in list(self._blocks):
            self._remove(block)

    def records_after(self, sequence: int, limit: int) -> list[CacheRecord]:
        """Return the kept events after ``sequence``, oldest first."""
        records = [r for r in self._records if r.sequence > sequence]
        return records[:limit]

    def _touch(self, block: str) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._record("stored", block)
        if len(self._blocks) > self._capacity:
            self._remove(next(iter(self._blocks)))

    def _remove(self, block: str) -> None:
        del self._blocks[block]
        self._record("removed", block)

    def _record(self, kind: str, block: str) -> None:
        self._sequence += 1
        self._records.append(CacheRecord(self._sequence, kind, block))


def block_hashes(scope: str, weights: str, prompt: bytes) -> list[str]:
    """Return the chained hash of each full piece of a prompt."""
    parent = hashlib.blake2b(f"{scope}\0{weights}".encode(), digest_size=16).digest()
    hashes = []
    for start in range(0, len(prompt) - PIECE_BYTES + 1, PIECE_BYTES):
        piece = prompt[start : start + PIECE_BYTES]
        parent = hashlib.blake2b(parent + piece, digest_size=16).digest()
        hashes.append(parent.hex())
    return hashes
