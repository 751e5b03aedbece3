"""Consistent-hash ring that finds the homes of a prefix among many targets.

The homes of a prefix are the targets that are preferred for requests with this prefix.
"""

from __future__ import annotations

import hashlib
import struct
from bisect import bisect_left

from berylnotch.placement.rendezvous import prefix_key

#: Points of each target on the ring. More points make the targets' shares more even.
POINTS_PER_TARGET = 64

_POINT_BITS = 61
_INDEX_BITS = 16

#: Distance on the ring between the start positions of successive groups of homes.
_GROUP_STEP = 0x9E3779B97F4A7C15


class HomeRing:
    """Ring of hash points that lists the homes of a prefix.

    Rendezvous hashing computes a weight for each target. With hundreds of targets this
    takes too long, so the ring first selects the few targets that are ranked. Small
    services use rendezvous hashing alone. Removing a target reassigns only the
    prefixes that had this target as a home.

    Parameters
    ----------
    names : tuple of str
        Names of a service's targets, at most 65,536.
    count : int
        Number of targets returned for a prefix.
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
        """Names of the service's targets."""
        return self._names

    def homes(self, prefix: bytes, group: int = 0) -> tuple[str, ...]:
        """Return the targets whose points follow a prefix on the ring.

        Each ``group`` starts at another position of the ring, for prefixes that need
        more homes than one call returns.
        """
        ring = self._ring
        mask = (1 << _INDEX_BITS) - 1
        key = (prefix_key(prefix) + group * _GROUP_STEP) % (1 << _POINT_BITS)
        position = bisect_left(ring, key << _INDEX_BITS)
        indexes: dict[int, None] = {}
        while len(indexes) < self._count:
            indexes[ring[position % len(ring)] & mask] = None
            position += 1
        return tuple(self._names[index] for index in indexes)


def _points(name: str) -> tuple[int, ...]:
    digest = hashlib.shake_128(name.encode()).digest(8 * POINTS_PER_TARGET)
    words = struct.unpack(f">{POINTS_PER_TARGET}Q", digest)
    return tuple(word >> 64 - _POINT_BITS for word in words)
