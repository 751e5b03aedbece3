"""A light hash for rendezvous, for processes without a cryptographic library."""

from __future__ import annotations

import zlib
from functools import lru_cache

_MASK = (1 << 64) - 1


@lru_cache(maxsize=8192)
def mix(node: str, key: str) -> int:
    """Return the rendezvous weight of a node for a key; the lowest is best.

    It is the same in every process. A checksum spreads the names, and the
    finalizer of a 64-bit hash the bits.
    """
    value = zlib.crc32(node.encode()) << 32 | zlib.crc32(key.encode())
    value = (value ^ value >> 33) * 0xFF51AFD7ED558CCD & _MASK
    value = (value ^ value >> 33) * 0xC4CEB9FE1A85EC53 & _MASK
    return value ^ value >> 33


def prompt_mark(salt: str, part_id: str) -> int:
    """Return 32 bits that stand for a shared part of a prompt.

    Two of 10,000 prompts have the same mark in one of 90 fleets; a router then expects
    a prompt where it is not, and the engine reads it.

    Parameters
    ----------
    salt : str
        What separates cache entries that may not be shared.
    part_id : str
        The caller's name for the part.
    """
    return zlib.crc32(f"{salt} {part_id}".encode())
