"""Rendezvous hashing over nested prefixes."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

_MASK = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER = 0x9E3779B97F4A7C15
_FINISH = 0xBF58476D1CE4E5B9


@functools.lru_cache(maxsize=8192)
def name_hash(name: str) -> int:
    """Hash a target's name to 64 bits, the same in every process."""
    return int.from_bytes(hashlib.sha256(name.encode()).digest()[:8], "big")


def prefix_key(prefix: bytes) -> int:
    """Return the 64 bits of a prefix hash that rendezvous hashing uses."""
    return int.from_bytes(prefix[:8], "big")


def weight(key: int, node: int) -> int:
    """Return the rendezvous weight of a node for a key; both have 64 bits."""
    mixed = (key ^ node) * _MULTIPLIER & _MASK
    mixed = (mixed ^ mixed >> 31) * _FINISH & _MASK
    return mixed ^ mixed >> 29


def top(prefix: bytes, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the highest weight, best first.

    If a name is taken away, only the prefixes that it held move.
    """
    key = prefix_key(prefix)
    ordered = sorted(names, key=lambda name: (-weight(key, name_hash(name)), name))
    return ordered[:count]
