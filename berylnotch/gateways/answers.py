"""Decoding of JSON responses of external systems into checked values."""

from __future__ import annotations

import json
import re
from typing import TypeVar

import cattrs

from berylnotch.gateways.errors import BusyError, InvalidResponseError
from berylnotch.util.json_entries import EntryError, decode_entry, split_entries

#: Largest response body that is decoded, in bytes.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024

#: Largest integer, and largest number of characters of a text, in a response.
MAX_INTEGER = 2**63 - 1
MAX_TEXT_LENGTH = 4096

#: Control characters and surrogates, which messages and logs cannot hold.
_FORBIDDEN = re.compile(r"[\x00-\x1f\x7f-\x9f\ud800-\udfff]")
_OK_STATUS = 200
_BUSY_STATUSES = frozenset((429, 503))

#: Errors of a body that is no JSON or does not have the expected fields.
_DECODING_ERRORS = (
    ValueError,
    TypeError,
    RecursionError,
    cattrs.BaseValidationError,
)

_T = TypeVar("_T")
_converter = cattrs.Converter()


def _structure_scalar(value: object, cls: type) -> object:
    """Return a JSON scalar that already has the type ``cls`` and is in range.

    An integer is accepted as a float. Without this hook, cattrs converts values of
    other types.
    """
    is_int_as_float = cls is float and type(value) is int
    if type(value) is not cls and not is_int_as_float:
        raise ValueError(f"expected {cls.__name__}, not {type(value).__name__}")
    if isinstance(value, str):
        if len(value) > MAX_TEXT_LENGTH or _FORBIDDEN.search(value):
            raise ValueError("text is too long or has a control character or surrogate")
    elif not -MAX_INTEGER <= value <= MAX_INTEGER:
        raise ValueError(f"number is not from {-MAX_INTEGER} to {MAX_INTEGER}")
    return cls(value)


for _scalar_type in (bool, int, float, str):
    _converter.register_structure_hook(_scalar_type, _structure_scalar)


def decode_response(cls: type[_T], status: int, body: bytes) -> _T:
    """Decode the JSON object in a response body to a value of ``cls``.

    Fields that ``cls`` does not have are ignored.

    Raises
    ------
    BusyError
        If the status is 429 or 503, by which a system asks for fewer requests.
    InvalidResponseError
        If the response has another status than 200, or if the body is too large or
        does not decode to ``cls``.
    """
    _check_response(status, body)
    try:
        return _converter.structure(json.loads(body), cls)
    except _DECODING_ERRORS as error:
        raise InvalidResponseError(
            f"response is not a valid {cls.__name__}: {error}"
        ) from error


def decode_entries(
    cls: type[_T], status: int, body: bytes, name: str
) -> tuple[tuple[_T, ...], int]:
    """Decode the entries of one array of the JSON object in a response body.

    Entries that do not decode to ``cls`` are skipped.

    Parameters
    ----------
    cls : type
        Class of the entries.
    status : int
        HTTP status of the response.
    body : bytes
        Body of the response.
    name : str
        Name of the field that holds the array.

    Returns
    -------
    tuple of cls
        The decoded entries.
    int
        Number of skipped entries.

    Raises
    ------
    BusyError, InvalidResponseError
        As for `decode_response`, if the body has no such array.
    """
    _check_response(status, body)
    try:
        texts = split_entries(body, name).entries
    except EntryError as error:
        raise InvalidResponseError(f"response has no {name}: {error}") from error
    entries = []
    for text in texts:
        try:
            entries.append(_converter.structure(decode_entry(text), cls))
        except (EntryError, *_DECODING_ERRORS):
            continue
    return tuple(entries), len(texts) - len(entries)


def _check_response(status: int, body: bytes) -> None:
    if status in _BUSY_STATUSES:
        raise BusyError(f"system is overloaded: response status {status}")
    if status != _OK_STATUS:
        raise InvalidResponseError(f"unexpected response status {status}")
    if len(body) > MAX_RESPONSE_BYTES:
        raise InvalidResponseError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
