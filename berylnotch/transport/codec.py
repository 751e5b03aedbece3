"""Conversion between message classes and Cap'n Proto bytes.

The schema is ``berylnotch.capnp`` in this folder. Each message class has a
struct of the same name there, and a field of the union ``Body``. Fields are
matched by name: ``snake_case`` here, ``camelCase`` there.
"""

from __future__ import annotations

from enum import Enum
from functools import cache
from pathlib import Path
from types import UnionType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import attrs
import capnp

from berylnotch.consensus import messages as consensus
from berylnotch.control import commands, events, protocol, records
from berylnotch.errors import CodecError
from berylnotch.transport import messages as connection

T = TypeVar("T")

_MODULES = (connection, consensus, commands, events, protocol, records)

#: Largest encoded message, in bytes.
MAX_MESSAGE_BYTES = 8 * 1024 * 1024

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("berylnotch.capnp")))


def message_classes() -> tuple[type, ...]:
    """Return every class that `encode` accepts, in schema order."""
    return tuple(
        value
        for module in _MODULES
        for value in vars(module).values()
        if attrs.has(value) and value.__module__ == module.__name__
    )


@cache
def camel(name: str) -> str:
    """Return the schema's name of a class or field."""
    head, *tail = name.split("_")
    return head[0].lower() + head[1:] + "".join(part.capitalize() for part in tail)


_hints: dict[type, dict[str, Any]] = {}
_by_field: dict[str, type] = {camel(cls.__name__): cls for cls in message_classes()}


def _fields(cls: type) -> dict[str, Any]:
    found = _hints.get(cls)
    if found is None:
        hints = get_type_hints(cls)
        found = {field.name: hints[field.name] for field in attrs.fields(cls)}
        _hints[cls] = found
    return found


def _optional(hint: Any) -> Any:
    if get_origin(hint) is UnionType:
        return next(arg for arg in get_args(hint) if arg is not type(None))
    return hint


def _fill(builder: Any, message: Any) -> None:
    for name in _fields(type(message)):
        value = getattr(message, name)
        field = camel(name)
        if value is None:
            continue
        if isinstance(value, Enum):
            setattr(builder, field, value.value)
        elif attrs.has(type(value)):
            _fill(builder.init(field), value)
        elif isinstance(value, tuple):
            _fill_list(builder, field, value)
        else:
            setattr(builder, field, value)


def _fill_list(builder: Any, field: str, values: tuple[Any, ...]) -> None:
    if not values:
        return
    items = builder.init(field, len(values))
    for position, value in enumerate(values):
        if attrs.has(type(value)):
            _fill(items[position], value)
        else:
            items[position] = value


def _read(reader: Any, cls: type[T]) -> T:
    values = {}
    for name, hint in _fields(cls).items():
        values[name] = _read_field(reader, camel(name), hint)
    return cls(**values)


def _read_field(reader: Any, field: str, hint: Any) -> Any:
    inner = _optional(hint)
    if inner is not hint:
        return _read(getattr(reader, field), inner) if reader._has(field) else None
    if get_origin(hint) is tuple:
        return _read_list(getattr(reader, field), get_args(hint)[0])
    value = getattr(reader, field)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return hint(value)
    if attrs.has(hint):
        return _read(value, hint)
    return value


def _read_list(items: Any, item_hint: Any) -> tuple[Any, ...]:
    if attrs.has(item_hint):
        return tuple(_read(item, item_hint) for item in items)
    return tuple(items)


def encode(message: object) -> bytes:
    """Encode a message.

    Parameters
    ----------
    message : object
        Instance of one of `message_classes`.

    Returns
    -------
    bytes
        Cap'n Proto bytes of a ``Body``.
    """
    body = _schema.Body.new_message()
    _fill(body.init(camel(type(message).__name__)), message)
    return body.to_bytes()


def decode(data: bytes) -> Any:
    """Decode bytes that `encode` made.

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
        with _schema.Body.from_bytes(data) as body:
            field = body.which()
            return _read(getattr(body, str(field)), _by_field[str(field)])
    except (capnp.KjException, ValueError, KeyError, UnicodeDecodeError) as error:
        raise CodecError(f"invalid message of {len(data)} bytes") from error
