"""Checked access to the fields of a JSON body."""

from __future__ import annotations

import json
from typing import Any, TypeVar

from berylnotch.errors import GatewayError

T = TypeVar("T")

_REQUIRED = object()


class FieldError(GatewayError):
    """A body of the platform cannot be read, or a field is missing or wrong."""


def parse_json(body: bytes, is_strict: bool = True) -> Any:
    """Return the value of a JSON body.

    Parameters
    ----------
    body : bytes
        The whole body.
    is_strict : bool, default=True
        Whether repeated names, unreadable characters and numbers like NaN are
        errors.

    Raises
    ------
    FieldError
        If it cannot be read.
    """
    try:
        if not is_strict:
            return json.loads(body.decode("utf-8", errors="replace"))
        return json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_unique,
            parse_constant=_refuse_constant,
        )
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not JSON: {error}") from error


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("a name is repeated in an object")
    return value


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is no number")


def as_object(value: Any, what: str) -> dict[str, Any]:
    """Return a JSON object."""
    if not isinstance(value, dict):
        raise FieldError(f"{what} is not an object")
    return value


def text(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> str:
    """Return a string field."""
    return _field(values, name, str, default)


def flag(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> bool:
    """Return a boolean field."""
    return _field(values, name, bool, default)


def integer(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> int:
    """Return a whole number."""
    return _field(values, name, int, default)


def number(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> float:
    """Return a number."""
    return _field(values, name, (int, float), default)


def array(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> list[Any]:
    """Return a list field."""
    return _field(values, name, list, default)


def _field(values: dict[str, Any], name: str, kind: Any, default: Any) -> Any:
    value = values.get(name)
    if value is None:
        if default is _REQUIRED:
            raise FieldError(f"{name} is missing")
        return default
    is_wrong_bool = isinstance(value, bool) and kind is not bool
    if is_wrong_bool or not isinstance(value, kind):
        raise FieldError(f"{name} has the wrong type: {type(value).__name__}")
    return value
