"""Simulated prefix cache of a stand-in engine, and its cache events."""

from __future__ import annotations

import hashlib
from collections import OrderedDict, deque

from attrs import frozen

#: Length of the prompt text in one block, in bytes.
BLOCK_BYTES = 1024
_MAX_KEPT_EVENTS = 10_000


@frozen
class CacheEvent:
    """One cache event; ``kind`` is ``stored`` or ``removed``."""

    sequence: int
    kind: str
    block: str


class PrefixCache:
    """Prefix blocks with least-recently-used eviction.

    Parameters
    ----------
    capacity : int
        Maximum number of cached blocks.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0
        self._events: deque[CacheEvent] = deque(maxlen=_MAX_KEPT_EVENTS)

    @property
    def last_sequence(self) -> int:
        """Sequence number of the newest event, 0 before the first."""
        return self._sequence

    def add_prompt(self, scope: str, weights: str, prompt: bytes) -> int:
        """Cache the blocks of a prompt.

        Returns
        -------
        int
            Number of blocks after the longest cached prefix.
        """
        blocks = block_hashes(scope, weights, prompt)
        cached = 0
        while cached < len(blocks) and blocks[cached] in self._blocks:
            cached += 1
        for block in blocks:
            self._use_block(block)
        return len(blocks) - cached

    def clear(self) -> None:
        """Evict all blocks, since cached blocks are valid for one weights version."""
        for block in list(self._blocks):
            self._remove(block)

    def events_after(self, sequence: int, limit: int) -> list[CacheEvent]:
        """Return at most ``limit`` kept events after ``sequence``, oldest first."""
        events = [event for event in self._events if event.sequence > sequence]
        return events[:limit]

    def _use_block(self, block: str) -> None:
        if block in self._blocks:
            self._blocks.move_to_end(block)
            return
        self._blocks[block] = None
        self._append_event("stored", block)
        if len(self._blocks) > self._capacity:
            self._remove(next(iter(self._blocks)))

    def _remove(self, block: str) -> None:
        del self._blocks[block]
        self._append_event("removed", block)

    def _append_event(self, kind: str, block: str) -> None:
        self._sequence += 1
        self._events.append(CacheEvent(self._sequence, kind, block))


def block_hashes(scope: str, weights: str, prompt: bytes) -> list[str]:
    """Return the chained hash of each full block of a prompt."""
    parent_digest = hashlib.blake2b(
        f"{scope}\0{weights}".encode(), digest_size=16
    ).digest()
    hashes = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        block_data = prompt[start : start + BLOCK_BYTES]
        parent_digest = hashlib.blake2b(
            parent_digest + block_data, digest_size=16
        ).digest()
        hashes.append(parent_digest.hex())
    return hashes
