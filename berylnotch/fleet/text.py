"""Reading, parsing and checking of the operators' text (fleet configuration)."""

from __future__ import annotations

from collections.abc import Iterable
from functools import lru_cache
from pathlib import Path
from typing import Any

from berylnotch.errors import ConfigurationError
from berylnotch.fleet import values
from berylnotch.fleet.checks import check_relations, suggest_name
from berylnotch.fleet.errors import FleetTextError, Problem
from berylnotch.fleet.model import Fleet, Organisation, Route, Service, Target, Vm
from berylnotch.fleet.sections import Section, read_sections
from berylnotch.fleet.settings import SECTIONS, Setting, settings_of

#: Maximum size of the operators' text, in bytes.
MAX_TEXT_BYTES = 2 * 1024 * 1024

_CLASSES = {
    "vm": Vm,
    "organisation": Organisation,
    "service": Service,
    "target": Target,
    "route": Route,
}


def read(path: str) -> str:
    """Read the operators' text from a file.

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


# The control state parses a text once to check it and again to build its view. The
# cache makes the second call return the result of the first.
@lru_cache(maxsize=1)
def parse(text: str, path: str = "") -> Fleet:
    """Parse the operators' text into a fleet.

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
        If the text has problems; the error lists all of them.
    """
    problems = list(_check_characters(text))
    if problems:
        raise FleetTextError(tuple(problems), path)
    sections, section_problems = read_sections(text)
    problems.extend(section_problems)
    settings_by_kind: dict[str, dict[str, Any]] = {kind: {} for kind in SECTIONS}
    sections_by_name: dict[tuple[str, str], Section] = {}
    for section in sections:
        settings = _read_section(section, problems)
        if (
            section.kind in SECTIONS
            and section.name not in settings_by_kind[section.kind]
        ):
            settings_by_kind[section.kind][section.name] = settings
            sections_by_name[section.kind, section.name] = section
    if "" not in settings_by_kind["fleet"]:
        problems.append(Problem(1, "section [fleet] is missing"))
    fleet = (
        None
        if any(_are_sections_incomplete(settings_by_kind))
        else _build_fleet(settings_by_kind)
    )
    problems.extend(check_relations(settings_by_kind, sections_by_name))
    if problems or fleet is None:
        # All replicas must build the same message, and the order of a set is not
        # deterministic; a dict keeps the order of insertion.
        unique_problems = dict.fromkeys(problems)
        sorted_problems = sorted(unique_problems, key=lambda problem: problem.line)
        raise FleetTextError(tuple(sorted_problems), path)
    return fleet


def _check_characters(text: str) -> Iterable[Problem]:
    if len(text.encode("utf-8", "surrogatepass")) > MAX_TEXT_BYTES:
        yield Problem(0, f"the text is longer than {MAX_TEXT_BYTES} bytes")
        return
    for number, line in enumerate(text.split("\n"), start=1):
        checked_text = line.replace("\t", "").replace("\r", "")
        if checked_text.isprintable():
            continue
        forbidden = next(c for c in checked_text if not c.isprintable())
        message = f"character U+{ord(forbidden):04X} is not allowed"
        yield Problem(number, message)


def _read_section(section: Section, problems: list[Problem]) -> dict[str, Any]:
    if not section.kind:
        return {}
    if section.kind not in SECTIONS:
        hint = suggest_name(section.kind, SECTIONS)
        message = f"unknown kind of section {section.kind!r}; {hint}"
        problems.append(Problem(section.line, message))
        return {}
    problem = _check_name(section)
    if problem:
        problems.append(Problem(section.line, problem))
    known_settings = settings_of(section.kind)
    for name, entry in section.entries.items():
        if name not in known_settings:
            hint = suggest_name(name, known_settings)
            message = f"unknown setting {name!r} in [{section.kind}]; {hint}"
            problems.append(Problem(entry.line, message))
    settings = {}
    for setting in known_settings.values():
        _read_setting(section, setting, settings, problems)
    return settings


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
    section: Section,
    setting: Setting,
    settings: dict[str, Any],
    problems: list[Problem],
) -> None:
    entry = section.entries.get(setting.name)
    if entry is None and setting.default is None:
        header = f"[{section.kind} {section.name}]".replace(" ]", "]")
        message = f"{header} lacks {setting.name!r}; allowed: {setting.allowed}"
        problems.append(Problem(section.line, message))
        return
    raw_value = entry.value if entry else setting.default
    line = entry.line if entry else section.line
    try:
        if not raw_value and setting.default is None:
            raise ValueError("the value is empty")
        settings[setting.field] = setting.convert(raw_value)
    except ValueError as error:
        message = f"{setting.name}: {error}; allowed: {setting.allowed}"
        problems.append(Problem(line, message))


def _are_sections_incomplete(
    settings_by_kind: dict[str, dict[str, Any]],
) -> Iterable[bool]:
    for kind, settings_by_name in settings_by_kind.items():
        for settings in settings_by_name.values():
            yield len(settings) < len(settings_of(kind))


def _build_fleet(settings_by_kind: dict[str, dict[str, Any]]) -> Fleet:
    items_by_kind: dict[str, dict[str, Any]] = {}
    for kind, cls in _CLASSES.items():
        items_by_kind[kind] = {
            name: cls(name, **settings)
            for name, settings in settings_by_kind[kind].items()
        }
    routes = sorted(
        items_by_kind["route"].values(), key=lambda route: -len(route.prefix)
    )
    return Fleet(
        vms=items_by_kind["vm"],
        services=items_by_kind["service"],
        targets=items_by_kind["target"],
        organisations=items_by_kind["organisation"],
        routes=tuple(routes),
        **settings_by_kind["fleet"].get("", {}),
    )
