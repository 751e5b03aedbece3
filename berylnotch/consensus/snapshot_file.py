"""Reading and writing of the file that holds a replica's newest snapshot."""

from __future__ import annotations

import struct
import zlib
from typing import TYPE_CHECKING

from berylnotch.consensus.errors import DamagedFileError
from berylnotch.consensus.folder import replace_file_atomically
from berylnotch.consensus.members import decode_members, encode_members
from berylnotch.consensus.state import Snapshot
from berylnotch.errors import CodecError

if TYPE_CHECKING:
    from pathlib import Path

#: Name of the snapshot file in the data folder.
SNAPSHOT_FILE = "snapshot"

#: First bytes of the file, including the format version.
SNAPSHOT_HEADER = b"berylnotch-snapshot-1\n"

# Last index, last term, byte length of the encoded members, byte length of the data.
_HEADER_FIELDS = struct.Struct("<QQIQ")
# CRC-32 of the header fields, the members and the data.
_CRC = struct.Struct("<I")


def write_snapshot(folder: Path, snapshot: Snapshot) -> None:
    """Replace the snapshot file durably and atomically."""
    members = encode_members(snapshot.members)
    fields = _HEADER_FIELDS.pack(
        snapshot.last_index, snapshot.last_term, len(members), len(snapshot.data)
    )
    crc = zlib.crc32(snapshot.data, zlib.crc32(fields + members))
    path = folder / SNAPSHOT_FILE
    header = SNAPSHOT_HEADER + fields + _CRC.pack(crc)
    replace_file_atomically(path, header, members, snapshot.data)


def read_snapshot(folder: Path) -> Snapshot | None:
    """Read the newest snapshot; return None if there is none.

    Raises
    ------
    DamagedFileError
        If the file is damaged or has another format version.
    """
    path = folder / SNAPSHOT_FILE
    if not path.exists():
        return None
    data = path.read_bytes()
    body_offset = len(SNAPSHOT_HEADER) + _HEADER_FIELDS.size + _CRC.size
    if not data.startswith(SNAPSHOT_HEADER) or len(data) < body_offset:
        raise DamagedFileError(str(path), 0, "not a snapshot of this version")
    fields = data[len(SNAPSHOT_HEADER) : body_offset - _CRC.size]
    (crc,) = _CRC.unpack_from(data, body_offset - _CRC.size)
    body = memoryview(data)[body_offset:]
    index, term, members_size, data_size = _HEADER_FIELDS.unpack(fields)
    if len(body) != members_size + data_size:
        raise DamagedFileError(str(path), len(data), "length differs from the header")
    if crc != zlib.crc32(body, zlib.crc32(fields)):
        raise DamagedFileError(str(path), body_offset, "checksum does not match")
    try:
        members = decode_members(bytes(body[:members_size]))
    except CodecError as error:
        raise DamagedFileError(
            str(path), body_offset, "members cannot be decoded"
        ) from error
    return Snapshot(index, term, members, bytes(body[members_size:]))
