"""Byte format of snapshots: a list of encoded records, compressed.

A snapshot is the four bytes of `MAGIC` and a zlib stream of records, each
preceded by its length as four bytes, most significant first.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from typing import Any

from berylnotch.control.errors import SnapshotError
from berylnotch.errors import CodecError
from berylnotch.transport.codec import decode, encode

#: First bytes of a snapshot; the last one is the format's version.
MAGIC = b"BNS\x01"
#: Largest snapshot after decompression, in bytes.
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024

_LENGTH = struct.Struct(">I")
# Most of the size is random hashes, which a higher level does not make smaller.
_LEVEL = 1


def pack(records: Iterable[object]) -> bytes:
    """Turn records into a snapshot."""
    compressor = zlib.compressobj(_LEVEL)
    parts = [MAGIC]
    for record in records:
        data = encode(record)
        parts.append(compressor.compress(_LENGTH.pack(len(data)) + data))
    parts.append(compressor.flush())
    return b"".join(parts)


def unpack(data: bytes) -> tuple[Any, ...]:
    """Turn a snapshot into its records.

    Raises
    ------
    SnapshotError
        If it is damaged, too large or of an unknown format.
    """
    if data[: len(MAGIC)] != MAGIC:
        raise SnapshotError("the snapshot has an unknown format")
    plain = _decompress(data[len(MAGIC) :])
    records = []
    offset = 0
    while offset < len(plain):
        start = offset + _LENGTH.size
        if start > len(plain):
            raise SnapshotError("the snapshot is cut off")
        offset = start + _LENGTH.unpack_from(plain, start - _LENGTH.size)[0]
        if offset > len(plain):
            raise SnapshotError("the snapshot is cut off")
        try:
            records.append(decode(plain[start:offset]))
        except CodecError as error:
            raise SnapshotError(str(error)) from error
    return tuple(records)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise SnapshotError(f"the snapshot is damaged: {error}") from error
    if decompressor.unconsumed_tail:
        raise SnapshotError(f"the snapshot is over {MAX_SNAPSHOT_BYTES} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise SnapshotError("the snapshot is cut off or followed by other bytes")
    return plain
