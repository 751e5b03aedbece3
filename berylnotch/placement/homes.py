"""Homes of prefixes among many targets, found without a look at each."""

from __future__ import annotations

import hashlib
import struct
from bisect import bisect_left

from berylnotch.placement.rendezvous import prefix_key

#: Points of each target on the ring. More even out the targets' shares.
POINTS = 64

_POINT_BITS = 61
_INDEX_BITS = 16

#: Distance on the ring between two turns.
_TURN_STEP = 0x9E3779B97F4A7C15


class HomeTable:
    """A ring of hash points that lists the homes of a prefix.

    Where all targets are ranked, rendezvous hashing is used alone. It needs a
    look at each target, which takes too long for hundreds, so the ring selects
    the few that are ranked. Taking a target away moves only its own prefixes.

    Parameters
    ----------
    names : tuple of str
        Targets of a service, at most 65,536.
    count : int
        Targets listed for a prefix.
    """

    def __init__(self, names: tuple[str, ...], count: int) -> None:
        self._names = names
        self._count = min(count, len(names))
        points = []
        for index, name in enumerate(names):
            for point in _points(name):
                points.append(point << _INDEX_BITS | index)
        self._ring = sorted(points)

    @property
    def names(self) -> tuple[str, ...]:
        """Targets of the service."""
        return self._names

    def homes(self, prefix: bytes, turn: int = 0) -> tuple[str, ...]:
        """Return the targets that follow a prefix on the ring.

        Each ``turn`` selects others, for prefixes that need more targets than
        are listed at once.
        """
        ring = self._ring
        mask = (1 << _INDEX_BITS) - 1
        key = (prefix_key(prefix) + turn * _TURN_STEP) % (1 << _POINT_BITS)
        position = bisect_left(ring, key << _INDEX_BITS)
        found: dict[int, None] = {}
        while len(found) < self._count:
            found[ring[position % len(ring)] & mask] = None
            position += 1
        return tuple(self._names[index] for index in found)


def _points(name: str) -> tuple[int, ...]:
    digest = hashlib.shake_128(name.encode()).digest(8 * POINTS)
    words = struct.unpack(f">{POINTS}Q", digest)
    return tuple(word >> 64 - _POINT_BITS for word in words)
