"""Reading and checking the operators' text."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from pathlib import Path
from typing import Any

from berylnotch.errors import ConfigurationError
from berylnotch.fleet import values
from berylnotch.fleet.checks import check, nearest
from berylnotch.fleet.errors import FleetTextError, Problem
from berylnotch.fleet.model import Fleet, Organisation, Route, Service, Target, Vm
from berylnotch.fleet.sections import Section, read_sections
from berylnotch.fleet.settings import SECTIONS, Setting, settings_of

#: Largest operators' text, in bytes.
MAX_TEXT_BYTES = 2 * 1024 * 1024

_CLASSES = {
    "vm": Vm,
    "organisation": Organisation,
    "service": Service,
    "target": Target,
    "route": Route,
}


def read(path: str) -> str:
    """Read an operators' text from a file.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or is not UTF-8.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise ConfigurationError(str(error.strerror), path) from error
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        message = f"byte {data[error.start]:#04x} is not UTF-8; save the file as UTF-8"
        raise FleetTextError((Problem(line, message),), path) from error


# A state parses a text to check it and again when its view takes it over.
@lru_cache(maxsize=1)
def parse(text: str, path: str = "") -> Fleet:
    """Turn the operators' text into a fleet.

    Parameters
    ----------
    text : str
        The whole text.
    path : str, default=""
        File name for error messages.

    Returns
    -------
    Fleet
        The fleet that the text describes.

    Raises
    ------
    FleetTextError
        With every mistake of the text.
    """
    problems = list(_check_characters(text))
    if problems:
        raise FleetTextError(tuple(problems), path)
    sections, found = read_sections(text)
    problems.extend(found)
    parts: dict[str, dict[str, Any]] = {kind: {} for kind in SECTIONS}
    lines: dict[tuple[str, str], Section] = {}
    for section in sections:
        read_values = _read_section(section, problems)
        if section.kind in SECTIONS and section.name not in parts[section.kind]:
            parts[section.kind][section.name] = read_values
            lines[section.kind, section.name] = section
    if "" not in parts["fleet"]:
        problems.append(Problem(1, "section [fleet] is missing"))
    fleet = None if any(_incomplete(parts)) else _build(parts)
    problems.extend(check(parts, lines))
    if problems or fleet is None:
        # Replicas have to build the same message, so no set here.
        distinct = dict.fromkeys(problems)
        ordered = sorted(distinct, key=lambda problem: problem.line)
        raise FleetTextError(tuple(ordered), path)
    return fleet


def _check_characters(text: str) -> Iterable[Problem]:
    if len(text.encode("utf-8", "surrogatepass")) > MAX_TEXT_BYTES:
        yield Problem(0, f"the text is longer than {MAX_TEXT_BYTES} bytes")
        return
    for number, line in enumerate(text.split("\n"), start=1):
        plain = line.replace("\t", "").replace("\r", "")
        if plain.isprintable():
            continue
        character = next(c for c in plain if not c.isprintable())
        message = f"character U+{ord(character):04X} is not allowed"
        yield Problem(number, message)


def _read_section(section: Section, problems: list[Problem]) -> dict[str, Any]:
    if not section.kind:
        return {}
    if section.kind not in SECTIONS:
        hint = nearest(section.kind, SECTIONS)
        message = f"unknown kind of section {section.kind!r}; {hint}"
        problems.append(Problem(section.line, message))
        return {}
    problem = _check_name(section)
    if problem:
        problems.append(Problem(section.line, problem))
    known = settings_of(section.kind)
    for name, entry in section.entries.items():
        if name not in known:
            hint = nearest(name, known)
            message = f"unknown setting {name!r} in [{section.kind}]; {hint}"
            problems.append(Problem(entry.line, message))
    found = {}
    for setting in known.values():
        _read_setting(section, setting, found, problems)
    return found


def _check_name(section: Section) -> str:
    if not SECTIONS[section.kind]:
        return f"[{section.kind}] takes no name" if section.name else ""
    if not section.name:
        return f"[{section.kind}] needs a name, as in [{section.kind} NAME]"
    if section.kind == "route":
        if section.name.startswith("/") and " " not in section.name:
            return ""
        return f"prefix {section.name!r} does not begin with / or holds a space"
    try:
        values.name(section.name)
    except ValueError as error:
        return f"{error}; allowed: letters a-z, digits and hyphens, at most 63"
    return ""


def _read_setting(
    section: Section, setting: Setting, found: dict[str, Any], problems: list[Problem]
) -> None:
    entry = section.entries.get(setting.name)
    if entry is None and setting.default is None:
        title = f"[{section.kind} {section.name}]".replace(" ]", "]")
        message = f"{title} lacks {setting.name!r}; allowed: {setting.allowed}"
        problems.append(Problem(section.line, message))
        return
    written = entry.value if entry else setting.default
    line = entry.line if entry else section.line
    try:
        if not written and setting.default is None:
            raise ValueError("the value is empty")
        found[setting.field] = setting.convert(written)
    except ValueError as error:
        message = f"{setting.name}: {error}; allowed: {setting.allowed}"
        problems.append(Problem(line, message))


def _incomplete(parts: dict[str, dict[str, Any]]) -> Iterable[bool]:
    for kind, named in parts.items():
        for found in named.values():
            yield len(found) < len(settings_of(kind))


def _build(parts: dict[str, dict[str, Any]]) -> Fleet:
    built: dict[str, dict[str, Any]] = {}
    for kind, cls in _CLASSES.items():
        built[kind] = {name: cls(name, **found) for name, found in parts[kind].items()}
    routes = sorted(built["route"].values(), key=lambda route: -len(route.prefix))
    return Fleet(
        vms=built["vm"],
        services=built["service"],
        targets=built["target"],
        organisations=built["organisation"],
        routes=tuple(routes),
        **parts["fleet"].get("", {}),
    )
