"""Separate decoding of the entries of a JSON array.

The entries may come from several writers. An entry that cannot be decoded, for example
because it is deeply nested or holds a number of thousands of digits, must not hide the
others, so the body is split before any entry is decoded.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from itertools import accumulate
from typing import Any

from attrs import frozen

from berylnotch.errors import BerylnotchError

#: Maximum depth of nested arrays and objects in an entry.
MAX_DEPTH = 32

#: Maximum length of an entry in characters.
MAX_ENTRY_LENGTH = 64 * 1024

_WHITESPACE = re.compile(r"[ \t\n\r]*+")
_STRING = re.compile(r'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
_SCALAR = re.compile(r'[^\s,:"\[\]{}]++')

#: Maximum number of changes between opening and closing brackets that are looked at in
#: an entry. It bounds the time that a process spends on an entry of megabytes.
MAX_TURNS = 100_000

#: Text outside of strings, strings, and arrays and objects that hold no others.
_FLAT = re.compile(
    r'(?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+"'
    r'|[\[{](?:[^"\[\]{}]++|"(?:[^"\\]++|\\.)*+")*+[\]}])*+',
    re.DOTALL,
)

#: Opening or closing brackets, each followed by text and by strings without brackets.
_OPENING = re.compile(r'(?:[\[{](?:[^"\[\]{}]++|"[^"\\\[\]{}]*+")*+)++')
_CLOSING = re.compile(r'(?:[\]}](?:[^"\[\]{}]++|"[^"\\\[\]{}]*+")*+)++')
_CLOSING_BRACKETS = re.compile(r"[\]}]++")


class EntryError(BerylnotchError):
    """A body cannot be split, or an entry cannot be decoded."""


@frozen
class SplitBody:
    """Parts of a JSON object, not decoded yet.

    Parameters
    ----------
    entries : tuple of str
        Texts of the entries of the array.
    fields : dict of str to str
        Texts of the object's other fields by name.
    """

    entries: tuple[str, ...]
    fields: dict[str, str]


def split_entries(body: bytes, name: str) -> SplitBody:
    """Split a JSON object into the entries of one array and its other fields.

    Invalid UTF-8 is replaced. Only the structure is checked, so the parts may be
    malformed.

    Parameters
    ----------
    body : bytes
        The whole body.
    name : str
        Name of the field that holds the array.

    Raises
    ------
    EntryError
        If the body is no JSON object with this array.
    """
    scanner = _Scanner(body.decode("utf-8", errors="replace"))
    entries: tuple[str, ...] | None = None
    fields: dict[str, str] = {}
    scanner.expect("{")
    for _ in scanner.items("}"):
        field_name = decode_entry(scanner.read_value())
        scanner.expect(":")
        if field_name == name:
            scanner.expect("[")
            entries = tuple(scanner.read_value() for _ in scanner.items("]"))
        elif isinstance(field_name, str):
            fields[field_name] = scanner.read_value()
        else:
            raise EntryError("an object has a name that is no string")
    scanner.expect_end()
    if entries is None:
        raise EntryError(f"{name} is missing")
    return SplitBody(entries, fields)


def decode_entry(text: str) -> Any:
    """Decode the text of an entry or a field.

    Raises
    ------
    EntryError
        If the text is no JSON, longer than `MAX_ENTRY_LENGTH` or nested deeper than
        `MAX_DEPTH`.
    """
    if len(text) > MAX_ENTRY_LENGTH:
        raise EntryError(f"longer than {MAX_ENTRY_LENGTH} characters")
    # The depth cannot exceed the number of brackets, which is faster to count.
    may_be_deep = text.count("[") + text.count("{") > MAX_DEPTH
    if may_be_deep and _depth(text) > MAX_DEPTH:
        raise EntryError(f"nested deeper than {MAX_DEPTH} levels")
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise EntryError(f"not JSON: {error}") from error


class _Scanner:
    """Reads the structure of a JSON text from its beginning to its end."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0

    def expect(self, character: str) -> None:
        """Read a character that must come next, after whitespace."""
        if not self._skip(character):
            raise EntryError(f"no {character!r} at character {self._position}")

    def expect_end(self) -> None:
        """Check that only whitespace follows."""
        self._skip_whitespace()
        if self._position < len(self._text):
            raise EntryError(f"text after the end at character {self._position}")

    def items(self, closing_bracket: str) -> Iterator[None]:
        """Iterate over the items of an array or object; the caller reads each."""
        if self._skip(closing_bracket):
            return
        while True:
            yield
            if self._skip(closing_bracket):
                return
            self.expect(",")

    def read_value(self) -> str:
        """Return the text of the next value."""
        self._skip_whitespace()
        start = self._position
        if self._text[start : start + 1] in ("[", "{"):
            self._position = _end_of_brackets(self._text, start)
        else:
            match = _STRING.match(self._text, start) or _SCALAR.match(self._text, start)
            if match is None:
                raise EntryError(f"no value at character {start}")
            self._position = match.end()
        return self._text[start : self._position]

    def _skip(self, character: str) -> bool:
        self._skip_whitespace()
        if not self._text.startswith(character, self._position):
            return False
        self._position += 1
        return True

    def _skip_whitespace(self) -> None:
        self._position = _WHITESPACE.match(self._text, self._position).end()


def _bracket_runs(text: str, position: int) -> Iterator[tuple[int, int]]:
    """Yield positions and numbers of brackets of one direction; negative if closing.

    Arrays and objects that hold no others may be left out.

    Raises
    ------
    EntryError
        If the direction changes more than `MAX_TURNS` times.
    """
    for _ in range(MAX_TURNS):
        position = _FLAT.match(text, position).end()
        if match := _OPENING.match(text, position):
            yield position, match[0].count("[") + match[0].count("{")
        elif match := _CLOSING.match(text, position):
            yield position, -match[0].count("]") - match[0].count("}")
        else:
            return
        position = match.end()
    raise EntryError(f"brackets change direction more than {MAX_TURNS} times")


def _end_of_brackets(text: str, start: int) -> int:
    """Return the position after the array or object that begins at ``start``."""
    depth = 1
    for position, count in _bracket_runs(text, start + 1):
        if depth + count <= 0:
            return _end_of_closing(text, position, depth)
        depth += count
    raise EntryError(f"array or object at character {start} has no end")


def _end_of_closing(text: str, position: int, count: int) -> int:
    """Return the position after ``count`` closing brackets; so many must follow."""
    while True:
        match = _CLOSING_BRACKETS.search(text, position)
        position = match.end()
        count -= position - match.start()
        if count <= 0:
            return position + count


def _depth(text: str) -> int:
    """Return the depth of nested arrays and objects, or one less."""
    return max(accumulate((count for _, count in _bracket_runs(text, 0)), initial=0))
