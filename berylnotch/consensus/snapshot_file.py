"""The file that holds a replica's newest snapshot."""

from __future__ import annotations

import struct
import zlib
from typing import TYPE_CHECKING

from berylnotch.consensus.errors import DamagedFileError
from berylnotch.consensus.folder import write_durably
from berylnotch.consensus.members import decode_members, encode_members
from berylnotch.consensus.state import Snapshot
from berylnotch.errors import CodecError

if TYPE_CHECKING:
    from pathlib import Path

#: Name of the file in the data folder.
SNAPSHOT_FILE = "snapshot"

#: First bytes of the file, with the format's version.
SNAPSHOT_HEADER = b"berylnotch-snapshot-1\n"

# Index, term, length of the members, length of the data, CRC-32 of all these
# numbers, members and data.
_NUMBERS = struct.Struct("<QQIQ")
_CRC = struct.Struct("<I")


def write_snapshot(folder: Path, snapshot: Snapshot) -> None:
    """Replace the newest snapshot durably and atomically."""
    members = encode_members(snapshot.members)
    numbers = _NUMBERS.pack(
        snapshot.last_index, snapshot.last_term, len(members), len(snapshot.data)
    )
    crc = zlib.crc32(snapshot.data, zlib.crc32(numbers + members))
    path = folder / SNAPSHOT_FILE
    head = SNAPSHOT_HEADER + numbers + _CRC.pack(crc)
    write_durably(path, head, members, snapshot.data)


def read_snapshot(folder: Path) -> Snapshot | None:
    """Return the newest snapshot, or None if there is none.

    Raises
    ------
    DamagedFileError
        If the file does not hold what was written.
    """
    path = folder / SNAPSHOT_FILE
    if not path.exists():
        return None
    data = path.read_bytes()
    start = len(SNAPSHOT_HEADER) + _NUMBERS.size + _CRC.size
    if not data.startswith(SNAPSHOT_HEADER) or len(data) < start:
        raise DamagedFileError(str(path), 0, "not a snapshot of this version")
    numbers = data[len(SNAPSHOT_HEADER) : start - _CRC.size]
    (crc,) = _CRC.unpack_from(data, start - _CRC.size)
    body = memoryview(data)[start:]
    index, term, members_size, size = _NUMBERS.unpack(numbers)
    if len(body) != members_size + size:
        raise DamagedFileError(str(path), len(data), "wrong length")
    if crc != zlib.crc32(body, zlib.crc32(numbers)):
        raise DamagedFileError(str(path), start, "wrong checksum")
    try:
        members = decode_members(bytes(body[:members_size]))
    except CodecError as error:
        raise DamagedFileError(str(path), start, "bad members") from error
    return Snapshot(index, term, members, bytes(body[members_size:]))
