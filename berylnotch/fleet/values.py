"""Conversion of setting values from text, with checks of units and ranges.

Each conversion takes the text of a value and returns the value for the fleet model. It
raises a ValueError with a message that says why the text is invalid.
"""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable

from berylnotch.fleet.model import ServiceKind

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_MODEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_VERSION = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_METHOD = re.compile(r"[A-Z]{1,20}")
_NUMBER = re.compile(r"[0-9]{1,15}")
_AMOUNT = re.compile(r"([0-9]{1,15}(?:\.[0-9]{1,6})?)\s*(\S*)")

_SECONDS = {"ms": 0.001, "s": 1.0, "min": 60.0}


def name(text: str) -> str:
    """Return a valid name."""
    if not _NAME.fullmatch(text):
        raise ValueError(f"{text!r} is not a name")
    return text


def names(text: str) -> tuple[str, ...]:
    """Split a comma-separated list of names."""
    return tuple(name(item) for item in _split_list(text))


def models(text: str) -> tuple[str, ...]:
    """Split a comma-separated list of model names."""
    items = _split_list(text)
    for item in items:
        if not _MODEL.fullmatch(item):
            raise ValueError(f"{item!r} is not a model name")
    return items


def methods(text: str) -> tuple[str, ...]:
    """Split a comma-separated list of HTTP methods."""
    items = _split_list(text)
    for item in items:
        if not _METHOD.fullmatch(item):
            raise ValueError(f"{item!r} is not a method")
    return items


def version(text: str) -> str:
    """Return a version of weights, or an empty string."""
    if text and not _VERSION.fullmatch(text):
        raise ValueError(f"{text!r} is not a version")
    return text


def kind(text: str) -> ServiceKind:
    """Return the kind of a service."""
    try:
        return ServiceKind(text)
    except ValueError:
        raise ValueError(f"{text!r} is not a kind of service") from None


def yes_no(text: str) -> bool:
    """Return whether the value is ``yes``."""
    if text not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text == "yes"


def address(text: str) -> str:
    """Return a normalised ``IP:port``, so that equal addresses have equal texts."""
    host, colon, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        parsed = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise ValueError(f"{text!r} is not an IP and a port") from None
    if not colon or bracketed != (parsed.version == 6):
        raise ValueError(f"{text!r} is not an IP and a port")
    if not _NUMBER.fullmatch(port) or not 1 <= int(port) <= 65535:
        raise ValueError(f"port {port!r} is not from 1 to 65535")
    return f"[{parsed}]:{int(port)}" if bracketed else f"{parsed}:{int(port)}"


def number(low: int, high: int) -> Callable[[str], int]:
    """Return a conversion for integers from ``low`` to ``high``."""

    def convert(text: str) -> int:
        if not _NUMBER.fullmatch(text):
            raise ValueError(f"{text!r} is not a whole number")
        return int(_require_range(int(text), low, high, text))

    return convert


def quantity(unit: str, low: int, high: int) -> Callable[[str], int]:
    """Return a conversion for integers from ``low`` to ``high`` with a unit."""

    def convert(text: str) -> int:
        number_text, written_unit = _split_quantity(text, unit)
        if written_unit != unit:
            raise ValueError(f"unit {written_unit!r} of {text!r} is not {unit}")
        if "." in number_text:
            raise ValueError(f"{text!r} is not a whole number of {unit}")
        return int(_require_range(int(number_text), low, high, text))

    return convert


def duration(low_s: float, high_s: float) -> Callable[[str], float]:
    """Return a conversion for durations, from ms, s or min into seconds."""

    def convert(text: str) -> float:
        number_text, written_unit = _split_quantity(text, "s")
        if written_unit not in _SECONDS:
            raise ValueError(f"unit {written_unit!r} of {text!r} is not ms, s or min")
        seconds = float(number_text) * _SECONDS[written_unit]
        return _require_range(seconds, low_s, high_s, text)

    return convert


def format_value(value: object, unit: str = "") -> str:
    """Format a value of the fleet model as it is written in the operators' text."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value) or "none"
    if isinstance(value, ServiceKind):
        return value.value
    if isinstance(value, int | float):
        return f"{value:.15g} {unit}".strip()
    return str(value) or "none"


def _split_list(text: str) -> tuple[str, ...]:
    if not text:
        return ()
    items = tuple(item.strip() for item in text.split(","))
    if "" in items:
        raise ValueError("the list has an empty item")
    for position, item in enumerate(items):
        if item in items[:position]:
            raise ValueError(f"{item!r} stands twice in the list")
    return items


def _split_quantity(text: str, unit: str) -> tuple[str, str]:
    match = _AMOUNT.fullmatch(text)
    if match is None:
        raise ValueError(f"{text!r} is not a number with a unit")
    if not match[2]:
        raise ValueError(f"{text!r} has no unit, write for example {match[1]} {unit}")
    return match[1], match[2]


def _require_range(value: float, low: float, high: float, text: str) -> float:
    if not low <= value <= high:
        raise ValueError(f"{text!r} is out of range")
    return value
