"""Binary format of snapshots: a compressed sequence of encoded records.

A snapshot is the four bytes of `MAGIC` followed by a zlib stream of records. Each
record has a length prefix of four bytes in big-endian order.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from typing import Any

from berylnotch.control.errors import SnapshotError
from berylnotch.errors import CodecError
from berylnotch.transport.codec import decode, encode

#: First bytes of a snapshot; the last byte is the format version.
MAGIC = b"BNS\x01"
#: Maximum size of a decompressed snapshot, in bytes.
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024

_LENGTH_PREFIX = struct.Struct(">I")
# Most of a snapshot consists of random hashes, which a higher level does not compress
# any further.
_COMPRESSION_LEVEL = 1


def encode_snapshot(records: Iterable[object]) -> bytes:
    """Encode records as a snapshot."""
    compressor = zlib.compressobj(_COMPRESSION_LEVEL)
    parts = [MAGIC]
    for record in records:
        data = encode(record)
        parts.append(compressor.compress(_LENGTH_PREFIX.pack(len(data)) + data))
    parts.append(compressor.flush())
    return b"".join(parts)


def decode_snapshot(data: bytes) -> tuple[Any, ...]:
    """Decode the records of a snapshot.

    Raises
    ------
    SnapshotError
        If the snapshot is damaged, too large or has an unknown format.
    """
    if data[: len(MAGIC)] != MAGIC:
        raise SnapshotError(
            f"unknown snapshot format: expected {MAGIC!r}, got {data[: len(MAGIC)]!r}"
        )
    decompressed = _decompress(data[len(MAGIC) :])
    records = []
    offset = 0
    while offset < len(decompressed):
        start = offset + _LENGTH_PREFIX.size
        if start > len(decompressed):
            raise SnapshotError(
                "snapshot truncated: length prefix ends "
                f"at byte {start} of {len(decompressed)}"
            )
        offset = (
            start
            + _LENGTH_PREFIX.unpack_from(decompressed, start - _LENGTH_PREFIX.size)[0]
        )
        if offset > len(decompressed):
            raise SnapshotError(
                "snapshot truncated: record ends "
                f"at byte {offset} of {len(decompressed)}"
            )
        try:
            records.append(decode(decompressed[start:offset]))
        except CodecError as error:
            raise SnapshotError(str(error)) from error
    return tuple(records)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(data, MAX_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise SnapshotError(f"snapshot cannot be decompressed: {error}") from error
    if decompressor.unconsumed_tail:
        raise SnapshotError(f"decompressed snapshot exceeds {MAX_SNAPSHOT_BYTES} bytes")
    if not decompressor.eof or decompressor.unused_data:
        raise SnapshotError("compressed snapshot is truncated or has trailing bytes")
    return decompressed
