"""Type-checked access to the fields of a JSON body."""

from __future__ import annotations

import json
import re
from typing import Any, TypeVar

from berylnotch.errors import GatewayError

T = TypeVar("T")

#: Largest integer that messages between processes can hold.
MAX_INTEGER = 2**63 - 1

#: Maximum number of characters of a name or an identity.
MAX_NAME_LENGTH = 256

#: Maximum number of characters of any other text.
MAX_TEXT_LENGTH = 4096

#: Control characters, line separators and surrogates, which logs and messages between
#: processes cannot hold.
_FORBIDDEN = re.compile(r"[\x00-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")

#: Visible ASCII characters, which every header can carry.
_TOKEN = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}")

#: Default value of a field that must be present.
_REQUIRED = object()


class FieldError(GatewayError):
    """A body cannot be decoded, or a field is missing or has the wrong type."""


def parse_json(body: bytes, is_strict: bool = True) -> Any:
    """Return the value of a JSON body.

    Parameters
    ----------
    body : bytes
        The whole body.
    is_strict : bool, default=True
        Whether repeated names, invalid UTF-8 and numbers like NaN are errors.

    Raises
    ------
    FieldError
        If the body is not valid JSON.
    """
    try:
        if not is_strict:
            return json.loads(body.decode("utf-8", errors="replace"))
        return json.loads(
            body.decode("utf-8"),
            object_pairs_hook=_reject_duplicate_names,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as error:
        raise FieldError(f"not JSON: {error}") from error


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    value = dict(pairs)
    if len(value) != len(pairs):
        raise ValueError("a name is repeated in an object")
    return value


def _reject_constant(name: str) -> Any:
    raise ValueError(f"{name} is no number")


def as_object(value: Any, label: str) -> dict[str, Any]:
    """Return a value that must be a JSON object; ``label`` names it in errors."""
    if not isinstance(value, dict):
        raise FieldError(f"{label} is not an object")
    return value


def get_string(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> str:
    """Return the value of a string field."""
    return _get_field(values, name, str, default)


def check_text(text: str) -> None:
    """Check that logs and messages between processes can hold a text.

    Raises
    ------
    FieldError
        If they cannot.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise FieldError(f"text of over {MAX_TEXT_LENGTH} characters")
    if _FORBIDDEN.search(text):
        raise FieldError("text with a control character or surrogate")


def check_header_value(text: str, label: str) -> None:
    """Check that a header can carry a text; ``label`` names it in errors.

    Raises
    ------
    FieldError
        If the text is empty or too long, or has a character that is not in Latin-1.
    """
    is_latin_1 = all(character <= "\xff" for character in text)
    if not is_latin_1 or not 0 < len(text) <= MAX_NAME_LENGTH:
        raise FieldError(
            f"{label} is empty, over {MAX_NAME_LENGTH} characters, or not in Latin-1"
        )


def get_name(values: dict[str, Any], name: str) -> str:
    """Return the value of a string field that goes into logs and messages."""
    value = get_string(values, name)
    if not 0 < len(value) <= MAX_NAME_LENGTH or _FORBIDDEN.search(value):
        raise FieldError(
            f"{name} is empty, over {MAX_NAME_LENGTH} characters, or has a control "
            "character or surrogate"
        )
    return value


def get_token(values: dict[str, Any], name: str) -> str:
    """Return the value of a string field that goes into headers."""
    value = get_string(values, name)
    if not _TOKEN.fullmatch(value):
        raise FieldError(
            f"{name} is not 1 to {MAX_NAME_LENGTH} visible ASCII characters"
        )
    return value


def get_bool(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> bool:
    """Return the value of a boolean field."""
    return _get_field(values, name, bool, default)


def get_integer(
    values: dict[str, Any],
    name: str,
    default: Any = _REQUIRED,
    low: int = -MAX_INTEGER,
    high: int = MAX_INTEGER,
) -> int:
    """Return the value of an integer field from ``low`` to ``high``."""
    value = _get_field(values, name, int, default)
    if value is not None and not low <= value <= high:
        raise FieldError(f"{name} is not from {low} to {high}")
    return value


def get_number(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> float:
    """Return the value of a numeric field, at most `MAX_INTEGER` either way."""
    value = _get_field(values, name, (int, float), default)
    if value is not None and not -MAX_INTEGER <= value <= MAX_INTEGER:
        raise FieldError(f"{name} is not from {-MAX_INTEGER} to {MAX_INTEGER}")
    return value


def get_list(values: dict[str, Any], name: str, default: Any = _REQUIRED) -> list[Any]:
    """Return the value of an array field."""
    return _get_field(values, name, list, default)


def _get_field(
    values: dict[str, Any], name: str, expected_type: Any, default: Any
) -> Any:
    value = values.get(name)
    if value is None:
        if default is _REQUIRED:
            raise FieldError(f"{name} is missing")
        return default
    is_unexpected_bool = isinstance(value, bool) and expected_type is not bool
    if is_unexpected_bool or not isinstance(value, expected_type):
        raise FieldError(f"{name} has the wrong type: {type(value).__name__}")
    return value
