"""Conversion between message classes and MessagePack bytes.

The processes of a fleet use this codec where memory counts: it takes under 2 MB of
a process, the schema compiler of `berylnotch.transport.codec` takes 13 MB. A
message is a pair of its class name and a list of its fields. Large messages, as whole
tables and configurations, are compressed: their texts repeat, and a leader sends them
to each router of a fleet.
"""

from __future__ import annotations

import zlib
from enum import Enum
from functools import cache
from typing import Any, get_args

import attrs
import cattrs
import msgpack

from berylnotch.errors import CodecError

#: Largest encoded message, in bytes; a snapshot part and a configuration fit.
MAX_PACKED_BYTES = 8 * 1024 * 1024

#: Bytes from which a message is compressed; smaller ones hardly shrink.
COMPRESS_BYTES = 2048

#: First byte of a compressed message; no MessagePack value begins with it.
_COMPRESSED = b"\xc1"

#: Speed before size: the fastest level takes a fifth of the bytes of a table.
_LEVEL = 1

_converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
_converter.register_structure_hook(bytes, lambda value, _: bytes(value))


def pack(message: object) -> bytes:
    """Encode an instance of an `attrs` class."""
    data = msgpack.packb((type(message).__name__, message), default=_plain)
    if len(data) < COMPRESS_BYTES:
        return data
    return _COMPRESSED + zlib.compress(data, _LEVEL)


def unpack(data: bytes, classes: tuple[type, ...]) -> Any:
    """Decode bytes of `pack` that hold an instance of one of ``classes``.

    Raises
    ------
    CodecError
        If the bytes hold nothing of the kind.
    """
    try:
        name, values = msgpack.unpackb(_decompressed(data), use_list=False)
        cls = _by_name(classes)[name]
        return _converter.structure(values, cls)
    except Exception as error:
        # The libraries raise many kinds of errors for bytes of a stranger.
        raise CodecError(f"invalid message of {len(data)} bytes: {error!r}") from error


def _decompressed(data: bytes) -> bytes:
    if data[:1] != _COMPRESSED:
        return data
    stream = zlib.decompressobj()
    plain = stream.decompress(data[1:], MAX_PACKED_BYTES)
    if not stream.eof or stream.unused_data:
        raise CodecError(f"compressed message is cut, or over {MAX_PACKED_BYTES} bytes")
    return plain


def message_classes(module: Any) -> tuple[type, ...]:
    """Return the `attrs` classes that a module defines."""
    return tuple(
        value
        for value in vars(module).values()
        if isinstance(value, type)
        and attrs.has(value)
        and value.__module__ == module.__name__
    )


def _plain(value: Any) -> Any:
    if isinstance(value, Enum):
        return value.value
    return tuple(getattr(value, field.name) for field in attrs.fields(type(value)))


@cache
def _by_name(classes: tuple[type, ...]) -> dict[str, type]:
    for cls in classes:
        _resolve(cls)
    return {cls.__name__: cls for cls in classes}


def _resolve(hint: Any) -> None:
    """Replace the names of types in a class, and in those of its fields, by types."""
    for part in get_args(hint):
        _resolve(part)
    if isinstance(hint, type) and attrs.has(hint):
        for field in attrs.fields(attrs.resolve_types(hint)):
            _resolve(field.type)
