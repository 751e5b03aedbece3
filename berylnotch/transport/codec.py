"""Conversion between message classes and Cap'n Proto bytes.

The schema is ``berylnotch.capnp`` in this directory. It has a struct of the same name
for each message class, and a field for it in the union ``Body``. Fields are matched by
name: ``snake_case`` in Python, ``camelCase`` in the schema.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import cache, partial
from pathlib import Path
from types import UnionType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import attrs
import capnp

from berylnotch.consensus import messages as consensus
from berylnotch.control import commands, events, protocol, records
from berylnotch.errors import CodecError
from berylnotch.quota import messages as quota
from berylnotch.transport import messages as handshake

T = TypeVar("T")

_MODULES = (handshake, consensus, commands, events, protocol, quota, records)

#: Maximum size of an encoded message in bytes.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("berylnotch.capnp")))


def message_classes() -> tuple[type, ...]:
    """Return every class that `encode` accepts, in the order of definition."""
    return tuple(
        value
        for module in _MODULES
        for value in vars(module).values()
        if attrs.has(value) and value.__module__ == module.__name__
    )


@cache
def schema_name(name: str) -> str:
    """Return the name that a class or field has in the schema."""
    head, *tail = name.split("_")
    return head[0].lower() + head[1:] + "".join(part.capitalize() for part in tail)


_classes_by_field: dict[str, type] = {
    schema_name(cls.__name__): cls for cls in message_classes()
}


@attrs.frozen
class _Field:
    """Names of a field of a message class, and functions to read and write it."""

    name: str
    schema_name: str
    read: Callable[[Any, str], Any]
    write: Callable[[Any, str, Any], None]


@cache
def _fields(cls: type) -> tuple[_Field, ...]:
    hints = get_type_hints(cls)
    return tuple(
        _Field(field.name, schema_name(field.name), *_accessors(hints[field.name]))
        for field in attrs.fields(cls)
    )


def _accessors(hint: Any) -> tuple[Callable, Callable]:
    """Return the functions that read and write a field of the annotated type."""
    if get_origin(hint) is UnionType:
        inner = next(arg for arg in get_args(hint) if arg is not type(None))
        return partial(_read_optional, inner), _write_optional
    if get_origin(hint) is tuple:
        item = get_args(hint)[0]
        if attrs.has(item):
            return partial(_read_messages, item), _write_messages
        return _read_list, _write_list
    if issubclass(hint, Enum):
        return partial(_read_enum, hint), _write_enum
    if attrs.has(hint):
        return partial(_read_message, hint), _write_message
    return getattr, setattr


def _write_fields(builder: Any, message: Any) -> None:
    for field in _fields(type(message)):
        field.write(builder, field.schema_name, getattr(message, field.name))


def _read_fields(reader: Any, cls: type[T]) -> T:
    values = [field.read(reader, field.schema_name) for field in _fields(cls)]
    return cls(*values)


def _read_optional(cls: type, reader: Any, field: str) -> Any:
    return _read_fields(getattr(reader, field), cls) if reader._has(field) else None


def _write_optional(builder: Any, field: str, value: Any) -> None:
    if value is not None:
        _write_fields(builder.init(field), value)


def _read_messages(cls: type, reader: Any, field: str) -> tuple[Any, ...]:
    return tuple(_read_fields(item, cls) for item in getattr(reader, field))


def _write_messages(builder: Any, field: str, values: tuple[Any, ...]) -> None:
    if not values:
        return
    items = builder.init(field, len(values))
    for index, value in enumerate(values):
        _write_fields(items[index], value)


def _read_list(reader: Any, field: str) -> tuple[Any, ...]:
    return tuple(getattr(reader, field))


def _write_list(builder: Any, field: str, values: tuple[Any, ...]) -> None:
    if not values:
        return
    items = builder.init(field, len(values))
    for index, value in enumerate(values):
        items[index] = value


def _read_enum(cls: type[Enum], reader: Any, field: str) -> Enum:
    return cls(getattr(reader, field))


def _write_enum(builder: Any, field: str, value: Enum) -> None:
    setattr(builder, field, value.value)


def _read_message(cls: type, reader: Any, field: str) -> Any:
    return _read_fields(getattr(reader, field), cls)


def _write_message(builder: Any, field: str, value: Any) -> None:
    _write_fields(builder.init(field), value)


def encode(message: object, packed: bool = False) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message : object
        Instance of one of `message_classes`.
    packed : bool, default=False
        Whether to use the packed encoding, which removes zero bytes. It is used
        between processes.

    Returns
    -------
    bytes
        Cap'n Proto bytes of a ``Body``.
    """
    body = _schema.Body.new_message()
    _write_fields(body.init(schema_name(type(message).__name__)), message)
    return body.to_bytes_packed() if packed else body.to_bytes()


def decode(data: bytes, packed: bool = False) -> Any:
    """Decode bytes that `encode` produced with the same value of `packed`.

    Returns
    -------
    object
        Instance of one of `message_classes`.

    Raises
    ------
    CodecError
        If the bytes do not hold a valid message.
    """
    try:
        if packed:
            return _read_body(_schema.Body.from_bytes_packed(data))
        with _schema.Body.from_bytes(data) as body:
            return _read_body(body)
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as error:
        raise CodecError(f"invalid message of {len(data)} bytes") from error


def _read_body(body: Any) -> Any:
    field = str(body.which())
    return _read_fields(getattr(body, field), _classes_by_field[field])
