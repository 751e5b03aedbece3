"""Binary format of the records in a log segment.

A segment is `SEGMENT_HEADER` followed by records. A record consists of
`RECORD_MAGIC`, the length of the payload, a CRC-32 of type and payload, the type, and
the payload. Each save starts with a record of type SAVE, and the records of one save
become durable together. A bad record with no SAVE after it was therefore cut off by a
crash. A bad record with a SAVE after it was durable once and was damaged later.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum

from attrs import frozen

from berylnotch.consensus.errors import DamagedFileError
from berylnotch.consensus.messages import Entry, EntryKind
from berylnotch.consensus.state import HardState

#: First bytes of each segment, including the format version.
SEGMENT_HEADER = b"berylnotch-log-1\n"

#: First bytes of each record.
RECORD_MAGIC = b"\xb7REC"

_RECORD_HEADER = struct.Struct("<4sIIB")
_ENTRY_HEADER = struct.Struct("<QQB")
_TERM = struct.Struct("<Q")

#: Separator between the two replica ids in a hard state: the id that the vote went to
#: and the id of the followed leader.
#: Records of earlier versions have no separator and hold only the vote.
_NAME_SEPARATOR = "\0"

_KIND_CODES = {EntryKind.NOOP: 0, EntryKind.COMMAND: 1, EntryKind.MEMBERS: 2}
_KINDS = {code: kind for kind, code in _KIND_CODES.items()}


class RecordType(IntEnum):
    """Content of a record."""

    SAVE = 1
    HARD_STATE = 2
    ENTRY = 3


_RECORD_TYPES = frozenset(RecordType)


@frozen
class Record:
    """A record and its byte offset in the segment."""

    offset: int
    type: RecordType
    payload: bytes


@frozen
class Segment:
    """Records of a segment, and the size in bytes of its valid part.

    The size includes the segment header.
    """

    records: tuple[Record, ...]
    size: int


def pack_record(record_type: RecordType, payload: bytes = b"") -> bytes:
    """Encode one record."""
    crc = zlib.crc32(payload, record_type)
    return _RECORD_HEADER.pack(RECORD_MAGIC, len(payload), crc, record_type) + payload


def pack_hard_state(hard_state: HardState) -> bytes:
    """Encode a record of the term, the vote and the followed leader."""
    names = hard_state.voted_for
    if hard_state.followed:
        names += _NAME_SEPARATOR + hard_state.followed
    payload = _TERM.pack(hard_state.term) + names.encode()
    return pack_record(RecordType.HARD_STATE, payload)


def pack_entry(entry: Entry) -> bytes:
    """Encode a record of a log entry."""
    header = _ENTRY_HEADER.pack(entry.index, entry.term, _KIND_CODES[entry.kind])
    return pack_record(RecordType.ENTRY, header + entry.payload)


def unpack_hard_state(record: Record) -> HardState:
    """Decode the term, the vote and the followed leader of a record."""
    (term,) = _TERM.unpack_from(record.payload)
    names = record.payload[_TERM.size :].decode()
    voted_for, _, followed = names.partition(_NAME_SEPARATOR)
    return HardState(term, voted_for, followed)


def unpack_entry(record: Record) -> Entry:
    """Decode the log entry of a record."""
    index, term, kind = _ENTRY_HEADER.unpack_from(record.payload)
    return Entry(index, term, _KINDS[kind], record.payload[_ENTRY_HEADER.size :])


def read_segment(path: str, data: bytes, is_last: bool) -> Segment:
    """Decode the records of a segment.

    Parameters
    ----------
    path : str
        Path of the file, for error messages.
    data : bytes
        Content of the whole segment.
    is_last : bool
        Whether this is the last segment, where a crash may have cut off the last save.

    Raises
    ------
    DamagedFileError
        If the header is wrong, or a record that was durable once is damaged.
    """
    if not data.startswith(SEGMENT_HEADER):
        raise DamagedFileError(path, 0, "not a log segment of this version")
    records: list[Record] = []
    offset = len(SEGMENT_HEADER)
    while offset < len(data):
        record = _read_record(data, offset)
        if record is None:
            if not is_last or _has_later_save(data, offset + 1):
                raise DamagedFileError(path, offset, "bad record before the last save")
            break
        records.append(record)
        offset += _RECORD_HEADER.size + len(record.payload)
    return Segment(tuple(records), offset)


def _read_record(data: bytes, offset: int) -> Record | None:
    payload_start = offset + _RECORD_HEADER.size
    if payload_start > len(data):
        return None
    magic, length, crc, record_type = _RECORD_HEADER.unpack_from(data, offset)
    payload = data[payload_start : payload_start + length]
    if magic != RECORD_MAGIC or len(payload) != length:
        return None
    if crc != zlib.crc32(payload, record_type) or record_type not in _RECORD_TYPES:
        return None
    return Record(offset, RecordType(record_type), payload)


def _has_later_save(data: bytes, offset: int) -> bool:
    while (offset := data.find(RECORD_MAGIC, offset)) >= 0:
        record = _read_record(data, offset)
        if record is not None and record.type is RecordType.SAVE:
            return True
        offset += 1
    return False
