"""Framing of the records in a log segment.

A segment is `SEGMENT_HEADER` and then records. A record is its magic, the
length of its payload, a CRC-32 of type and payload, the type, and the payload.
Each save begins with a record of type SAVE. Records of one save become durable
together, so a bad record that no later SAVE follows was cut off by a crash,
while one that a later SAVE follows was durable and has been damaged since.
"""

from __future__ import annotations

import struct
import zlib
from enum import IntEnum

from attrs import frozen

from berylnotch.consensus.errors import DamagedFileError
from berylnotch.consensus.messages import Entry, EntryKind
from berylnotch.consensus.state import HardState

#: First bytes of each segment, with the format's version.
SEGMENT_HEADER = b"berylnotch-log-1\n"

#: First bytes of each record.
RECORD_MAGIC = b"\xb7REC"

_HEAD = struct.Struct("<4sIIB")
_ENTRY = struct.Struct("<QQB")
_TERM = struct.Struct("<Q")

#: What separates the names of a hard state; records of before have only the first.
_NAMES_END = "\0"

_KIND_CODES = {EntryKind.NOOP: 0, EntryKind.COMMAND: 1, EntryKind.MEMBERS: 2}
_KINDS = {code: kind for kind, code in _KIND_CODES.items()}


class RecordType(IntEnum):
    """What a record holds."""

    SAVE = 1
    HARD_STATE = 2
    ENTRY = 3


_TYPES = frozenset(RecordType)


@frozen
class Record:
    """A record and where it begins in its segment."""

    offset: int
    type: RecordType
    payload: bytes


@frozen
class Segment:
    """The records of a segment and how many of its bytes they take."""

    records: tuple[Record, ...]
    size: int


def pack(record_type: RecordType, payload: bytes = b"") -> bytes:
    """Return the bytes of one record."""
    crc = zlib.crc32(payload, record_type)
    return _HEAD.pack(RECORD_MAGIC, len(payload), crc, record_type) + payload


def pack_hard_state(hard_state: HardState) -> bytes:
    """Return the record of a term, a vote and the leader that was followed."""
    names = hard_state.voted_for
    if hard_state.followed:
        names += _NAMES_END + hard_state.followed
    payload = _TERM.pack(hard_state.term) + names.encode()
    return pack(RecordType.HARD_STATE, payload)


def pack_entry(entry: Entry) -> bytes:
    """Return the record of a log entry."""
    head = _ENTRY.pack(entry.index, entry.term, _KIND_CODES[entry.kind])
    return pack(RecordType.ENTRY, head + entry.payload)


def unpack_hard_state(record: Record) -> HardState:
    """Return the term, the vote and the leader of a record."""
    (term,) = _TERM.unpack_from(record.payload)
    names = record.payload[_TERM.size :].decode()
    voted_for, _, followed = names.partition(_NAMES_END)
    return HardState(term, voted_for, followed)


def unpack_entry(record: Record) -> Entry:
    """Return the log entry of a record."""
    index, term, kind = _ENTRY.unpack_from(record.payload)
    return Entry(index, term, _KINDS[kind], record.payload[_ENTRY.size :])


def read_segment(path: str, data: bytes, is_last: bool) -> Segment:
    """Return the records of a segment.

    Parameters
    ----------
    path : str
        Name of the file, for errors.
    data : bytes
        The whole segment.
    is_last : bool
        Whether a crash may have cut off its last save.

    Raises
    ------
    DamagedFileError
        If a record is damaged that was durable once.
    """
    if not data.startswith(SEGMENT_HEADER):
        raise DamagedFileError(path, 0, "not a log segment of this version")
    records: list[Record] = []
    offset = len(SEGMENT_HEADER)
    while offset < len(data):
        record = _read_record(data, offset)
        if record is None:
            if not is_last or _finds_save(data, offset + 1):
                raise DamagedFileError(path, offset, "bad record before the last save")
            break
        records.append(record)
        offset += _HEAD.size + len(record.payload)
    return Segment(tuple(records), offset)


def _read_record(data: bytes, offset: int) -> Record | None:
    end = offset + _HEAD.size
    if end > len(data):
        return None
    magic, length, crc, record_type = _HEAD.unpack_from(data, offset)
    payload = data[end : end + length]
    if magic != RECORD_MAGIC or len(payload) != length:
        return None
    if crc != zlib.crc32(payload, record_type) or record_type not in _TYPES:
        return None
    return Record(offset, RecordType(record_type), payload)


def _finds_save(data: bytes, offset: int) -> bool:
    while (offset := data.find(RECORD_MAGIC, offset)) >= 0:
        record = _read_record(data, offset)
        if record is not None and record.type is RecordType.SAVE:
            return True
        offset += 1
    return False
