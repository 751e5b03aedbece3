"""Parser of INI text that records the line number of each entry.

`configparser` does not provide line numbers of entries, without which a problem in a
value could not be located.
"""

from __future__ import annotations

import re

from attrs import field, mutable

from berylnotch.fleet.errors import Problem

_HEADER = re.compile(r"\[\s*([^\s\]]+)(?:\s+([^\]]*?))?\s*\]")
_COMMENT = re.compile(r"(?:^|\s)[;#].*$")


@mutable
class Entry:
    """Unconverted value of a setting, with its line number."""

    line: int
    value: str


@mutable
class Section:
    """A section; ``name`` is empty if the header holds only a kind."""

    line: int
    kind: str
    name: str
    entries: dict[str, Entry] = field(factory=dict)


def read_sections(text: str) -> tuple[tuple[Section, ...], tuple[Problem, ...]]:
    """Split INI text into sections.

    Returns
    -------
    sections : tuple of Section
        Sections in the order of the text.
    problems : tuple of Problem
        Lines that are neither header, entry nor comment; duplicates; entries before the
        first section; and a missing newline at the end.
    """
    sections: list[Section] = []
    problems: list[Problem] = []
    first_lines: dict[tuple[str, str], int] = {}
    for line_number, raw_line in enumerate(text.split("\n"), start=1):
        line = _COMMENT.sub("", raw_line).strip()
        if not line:
            continue
        if line.startswith("["):
            _read_header(sections, problems, first_lines, line_number, line)
        else:
            _read_entry(sections, problems, line_number, line)
    if text and not text.endswith("\n"):
        last_line_number = text.count("\n") + 1
        message = "the last line has no newline; the file may be truncated"
        problems.append(Problem(last_line_number, message))
    return tuple(sections), tuple(problems)


def _read_header(
    sections: list[Section],
    problems: list[Problem],
    first_lines: dict[tuple[str, str], int],
    line_number: int,
    line: str,
) -> None:
    match = _HEADER.fullmatch(line)
    if match is None:
        problems.append(Problem(line_number, f"{line!r} is not a section [kind name]"))
        sections.append(Section(line_number, "", ""))
        return
    section = Section(line_number, match[1], match[2] or "")
    section_key = (section.kind, section.name)
    if section_key in first_lines:
        message = f"section {line} stands already at line {first_lines[section_key]}"
        problems.append(Problem(line_number, message))
    first_lines.setdefault(section_key, line_number)
    sections.append(section)


def _read_entry(
    sections: list[Section], problems: list[Problem], line_number: int, line: str
) -> None:
    name, separator, value = line.partition("=")
    name = name.strip()
    if not separator or not name:
        problems.append(
            Problem(line_number, f"{line!r} is not written as name = value")
        )
        return
    if not sections:
        problems.append(Problem(line_number, f"{name!r} stands before any [section]"))
        return
    entries = sections[-1].entries
    if name in entries:
        message = f"{name!r} stands already at line {entries[name].line}"
        problems.append(Problem(line_number, message))
        return
    entries[name] = Entry(line_number, value.strip())
