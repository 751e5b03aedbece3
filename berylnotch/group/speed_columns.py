"""Compact encodings of how fast targets are, between routers and the leader.

A router reports the measurements of each target as a record of a fixed size. The leader
sends one byte for each target, which encodes a factor on a logarithmic scale.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Iterable, Iterator

from attrs import frozen

from berylnotch.group.messages import SpeedRecords
from berylnotch.placement.engine_speed import MAX_FACTOR, MIN_FACTOR

#: Steps of the scale for each doubling of the factor. A decoded factor is within 2.9%
#: of the encoded one. Finer steps would compress less and be mostly noise.
STEPS_PER_DOUBLING = 12

#: Byte of a target about which the leader knows nothing.
UNKNOWN = 0

#: Byte of the lowest factor, and number of steps up to the byte of the highest.
_LOWEST_BYTE = 1
_STEPS = round(STEPS_PER_DOUBLING * math.log2(MAX_FACTOR / MIN_FACTOR))

#: Fields of a record: number of the target, check value of its start, weight of the
#: measurements, sum of their logarithms.
_RECORD_STRUCT = struct.Struct("<HHHh")

#: Units for each measurement of the weight, and for each 1 of the sum.
_UNITS = 128

_MAX_UINT16, _MAX_INT16 = 0xFFFF, 0x7FFF


@frozen
class SpeedRecord:
    """Measurements of one target since a router's previous report.

    Parameters
    ----------
    number : int
        The leader's number of the target.
    start_check : int
        Result of `start_check` for the process that was measured.
    weight : float
        Sum of the weights of the measurements.
    total : float
        Sum of the weighted logarithms of the ratios.
    """

    number: int
    start_check: int
    weight: float
    total: float


def start_check(born_ms: int) -> int:
    """Return a value of two bytes that distinguishes a target's process."""
    return born_ms % (_MAX_UINT16 + 1)


def encode_records(numbering: int, records: Iterable[SpeedRecord]) -> SpeedRecords:
    """Encode measurements; weights and sums are limited to two bytes each."""
    packed = bytearray()
    for record in records:
        total = round(record.total * _UNITS)
        packed += _RECORD_STRUCT.pack(
            record.number,
            record.start_check,
            min(_MAX_UINT16, round(record.weight * _UNITS)),
            max(-_MAX_INT16, min(_MAX_INT16, total)),
        )
    return SpeedRecords(numbering if packed else 0, bytes(packed))


def decode_records(records: SpeedRecords) -> Iterator[SpeedRecord]:
    """Decode measurements; there are none if the bytes are malformed."""
    if len(records.records) % _RECORD_STRUCT.size:
        return
    for number, check, weight, total in _RECORD_STRUCT.iter_unpack(records.records):
        yield SpeedRecord(number, check, weight / _UNITS, total / _UNITS)


def encode_speed(log_factor: float) -> int:
    """Return the byte of a factor, whose logarithm is given."""
    step = round(
        STEPS_PER_DOUBLING * (log_factor / math.log(2) - math.log2(MIN_FACTOR))
    )
    return _LOWEST_BYTE + min(_STEPS, max(0, step))


def decode_speed(byte: int) -> float | None:
    """Return the logarithm of a byte's factor, None if it is unknown or malformed."""
    step = byte - _LOWEST_BYTE
    if not 0 <= step <= _STEPS:
        return None
    return (step / STEPS_PER_DOUBLING + math.log2(MIN_FACTOR)) * math.log(2)
