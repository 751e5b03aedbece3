"""Rendezvous hashing of prefixes to targets."""

from __future__ import annotations

import functools
import hashlib
import heapq
from collections.abc import Iterable

#: Modulus of the weights, a Mersenne prime.
_PRIME = (1 << 61) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15


@functools.lru_cache(maxsize=8192)
def name_hash(name: str) -> int:
    """Return a hash of a name below 2^61, equal in every process."""
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:8], "big") % _PRIME


def prefix_key(prefix: bytes) -> int:
    """Return the part of a prefix hash that rendezvous hashing uses."""
    return int.from_bytes(prefix[:8], "big") % _PRIME


def weight(key: int, node: int) -> int:
    """Return the rendezvous weight of a node for a key; the lowest weight wins.

    Both arguments must be evenly distributed below 2^61, as the results of
    `name_hash` and `prefix_key` are.
    """
    return (key ^ node) * _MULTIPLIER % _PRIME


def top(prefix: bytes, names: Iterable[str], count: int) -> list[str]:
    """Return the ``count`` names with the lowest weights for a prefix, lowest first.

    Removing a name reassigns only the prefixes that were assigned to it.
    """
    key = prefix_key(prefix)
    weighted = ((weight(key, name_hash(name)), name) for name in names)
    return [name for _, name in heapq.nsmallest(count, weighted)]
