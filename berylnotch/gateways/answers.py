"""Answers of systems outside, checked and turned into values."""

from __future__ import annotations

import json
from typing import TypeVar

import cattrs

from berylnotch.gateways.errors import BadAnswerError, BusyError

#: Longest answer read, in bytes.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
_OK = 200
_BUSY = frozenset((429, 503))

_T = TypeVar("_T")
_converter = cattrs.Converter()


def _exactly(value: object, cls: type) -> object:
    """Return a JSON value of the type wanted; cattrs would convert others."""
    is_number = cls is float and type(value) is int
    if type(value) is not cls and not is_number:
        raise ValueError(f"expected {cls.__name__}, not {type(value).__name__}")
    return cls(value)


for _scalar in (bool, int, float, str):
    _converter.register_structure_hook(_scalar, _exactly)


def read_answer(cls: type[_T], status: int, body: bytes) -> _T:
    """Return the value of ``cls`` that an answer's JSON object holds.

    Fields that ``cls`` doesn't know are ignored.

    Raises
    ------
    BusyError
        If the system asks to be left alone for a while.
    BadAnswerError
        If the status isn't 200 or the body doesn't hold such a value.
    """
    if status in _BUSY:
        raise BusyError(f"busy: status {status}")
    if status != _OK:
        raise BadAnswerError(f"status {status}")
    if len(body) > MAX_ANSWER_BYTES:
        raise BadAnswerError(f"answer exceeds {MAX_ANSWER_BYTES} bytes")
    try:
        return _converter.structure(json.loads(body), cls)
    except (ValueError, TypeError, RecursionError, cattrs.BaseValidationError) as error:
        raise BadAnswerError(f"not a {cls.__name__}: {error}") from error
