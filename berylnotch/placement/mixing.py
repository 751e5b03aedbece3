"""Rendezvous weights for processes that load no cryptographic library."""

from __future__ import annotations

import zlib
from functools import lru_cache

_MASK = (1 << 64) - 1


@lru_cache(maxsize=8192)
def rendezvous_weight(node: str, key: str) -> int:
    """Return the rendezvous weight of a node for a key; the lowest weight wins.

    The weight is equal in every process. It combines the checksums of the two
    strings, and the finalizer of a 64-bit hash (MurmurHash3) spreads the bits.
    """
    value = zlib.crc32(node.encode()) << 32 | zlib.crc32(key.encode())
    value = (value ^ value >> 33) * 0xFF51AFD7ED558CCD & _MASK
    value = (value ^ value >> 33) * 0xC4CEB9FE1A85EC53 & _MASK
    return value ^ value >> 33
