"""Sections of an INI text with the line number of each entry.

`configparser` gives no line numbers for entries, so that a mistake in a value
could not be located.
"""

from __future__ import annotations

import re

from attrs import field, mutable

from berylnotch.fleet.errors import Problem

_HEADER = re.compile(r"\[\s*([^\s\]]+)(?:\s+([^\]]*?))?\s*\]")
_COMMENT = re.compile(r"(?:^|\s)[;#].*$")


@mutable
class Entry:
    """Written value of a setting."""

    line: int
    value: str


@mutable
class Section:
    """A section; ``name`` is empty where the header holds only a kind."""

    line: int
    kind: str
    name: str
    entries: dict[str, Entry] = field(factory=dict)


def read_sections(text: str) -> tuple[tuple[Section, ...], tuple[Problem, ...]]:
    """Split a text into sections.

    Returns
    -------
    sections : tuple of Section
        In the order of the text.
    problems : tuple of Problem
        Lines that are no header, entry or comment, and duplicates.
    """
    sections: list[Section] = []
    problems: list[Problem] = []
    seen: dict[tuple[str, str], int] = {}
    for number, raw in enumerate(text.split("\n"), start=1):
        line = _COMMENT.sub("", raw).strip()
        if not line:
            continue
        if line.startswith("["):
            _read_header(sections, problems, seen, number, line)
        else:
            _read_entry(sections, problems, number, line)
    if text and not text.endswith("\n"):
        last = text.count("\n") + 1
        message = "the last line has no newline; the file may be truncated"
        problems.append(Problem(last, message))
    return tuple(sections), tuple(problems)


def _read_header(
    sections: list[Section],
    problems: list[Problem],
    seen: dict[tuple[str, str], int],
    number: int,
    line: str,
) -> None:
    match = _HEADER.fullmatch(line)
    if match is None:
        problems.append(Problem(number, f"{line!r} is not a section [kind name]"))
        sections.append(Section(number, "", ""))
        return
    section = Section(number, match[1], match[2] or "")
    key = (section.kind, section.name)
    if key in seen:
        message = f"section {line} stands already at line {seen[key]}"
        problems.append(Problem(number, message))
    seen.setdefault(key, number)
    sections.append(section)


def _read_entry(
    sections: list[Section], problems: list[Problem], number: int, line: str
) -> None:
    name, equals, value = line.partition("=")
    name = name.strip()
    if not equals or not name:
        problems.append(Problem(number, f"{line!r} is not written as name = value"))
        return
    if not sections:
        problems.append(Problem(number, f"{name!r} stands before any [section]"))
        return
    entries = sections[-1].entries
    if name in entries:
        message = f"{name!r} stands already at line {entries[name].line}"
        problems.append(Problem(number, message))
        return
    entries[name] = Entry(number, value.strip())
