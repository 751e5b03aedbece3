"""Reading of process settings: table of settings, files, secrets."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import frozen

from berylnotch.errors import ConfigurationError
from berylnotch.fleet import values
from berylnotch.fleet.checks import nearest
from berylnotch.fleet.errors import FleetTextError, Problem
from berylnotch.fleet.sections import Section, read_sections
from berylnotch.fleet.text import read
from berylnotch.transport.identity import MIN_SECRET_BYTES


@frozen
class ProcessSetting:
    """One setting of a process.

    Parameters
    ----------
    section : str
        Section that holds it.
    name : str
        Name in the file.
    convert : callable
        Turns the written value into the setting's; raises ValueError.
    allowed : str
        Type, unit and range, for people.
    affects : str
        What a change of it does.
    default : str or None, default=None
        Value as it would be written, or None if the setting is required.
    """

    section: str
    name: str
    convert: Callable[[str], Any]
    allowed: str
    affects: str
    default: str | None = None

    @property
    def field(self) -> str:
        """Name of the setting in Python."""
        return self.name.replace("-", "_")


@frozen
class ControllerAddress:
    """A controller as the settings name it."""

    name: str
    address: str


@frozen
class ProcessFile:
    """Checked values of a settings file."""

    values: dict[str, Any]
    controllers: tuple[ControllerAddress, ...]
    routers: tuple[ControllerAddress, ...]


#: Sections that list addresses by name instead of settings.
ADDRESS_SECTIONS = ("controllers", "routers")


def listen_address(text: str) -> str:
    """Return ``IP:port``; port 0 picks a free one."""
    host, _, port = text.rpartition(":")
    if port == "0":
        return values.address(f"{host}:1").rpartition(":")[0] + ":0"
    return values.address(text)


def optional_address(text: str) -> str:
    """Return ``IP:port``, or an empty string."""
    return values.address(text) if text else ""


def path(text: str) -> Path:
    """Return a file system path."""
    if not text:
        raise ValueError("the path is empty")
    return Path(text)


def read_file(file: str, table: tuple[ProcessSetting, ...]) -> ProcessFile:
    """Read and check a settings file.

    Raises
    ------
    ConfigurationError
        With every mistake, its line and what is allowed.
    """
    sections, found = read_sections(read(file))
    problems = list(found)
    reader = _Reader(table, problems)
    for section in sections:
        reader.read_section(section)
    reader.fill_defaults()
    if problems:
        problems.sort(key=lambda problem: problem.line)
        raise FleetTextError(tuple(problems), file)
    return reader.result()


class _Reader:
    """Collects values and problems of one file."""

    def __init__(
        self, table: tuple[ProcessSetting, ...], problems: list[Problem]
    ) -> None:
        self._table = table
        self._problems = problems
        self._values: dict[str, Any] = {}
        self._addresses: dict[str, list[ControllerAddress]] = {
            name: [] for name in ADDRESS_SECTIONS
        }

    def read_section(self, section: Section) -> None:
        """Read one section."""
        known = {setting.section for setting in self._table} | set(ADDRESS_SECTIONS)
        if section.kind not in known:
            hint = nearest(section.kind, known)
            self._add(section.line, f"unknown section [{section.kind}]; {hint}")
        elif section.kind in ADDRESS_SECTIONS:
            self._read_addresses(section)
        else:
            self._read_settings(section)

    def fill_defaults(self) -> None:
        """Set what the file leaves out; a required setting is a problem."""
        for setting in self._table:
            if setting.field in self._values:
                continue
            if setting.default is None:
                name = f"{setting.name} in [{setting.section}]"
                self._add(0, f"{name} is missing; it takes {setting.allowed}")
            else:
                self._values[setting.field] = setting.convert(setting.default)

    def result(self) -> ProcessFile:
        """Return what was read."""
        return ProcessFile(
            self._values,
            tuple(self._addresses["controllers"]),
            tuple(self._addresses["routers"]),
        )

    def _read_settings(self, section: Section) -> None:
        settings = {s.name: s for s in self._table if s.section == section.kind}
        for name, entry in section.entries.items():
            setting = settings.get(name)
            if setting is None:
                hint = nearest(name, settings)
                self._add(entry.line, f"unknown setting {name!r}; {hint}")
                continue
            try:
                self._values[setting.field] = setting.convert(entry.value)
            except ValueError as error:
                # The value counts as given, so that it is reported only once.
                self._values[setting.field] = None
                message = f"{name}: {error}; allowed: {setting.allowed}"
                self._add(entry.line, message)

    def _read_addresses(self, section: Section) -> None:
        for name, entry in section.entries.items():
            try:
                address = values.address(entry.value)
                found = ControllerAddress(values.name(name), address)
            except ValueError as error:
                self._add(entry.line, f"{name}: {error}; allowed: IP:port")
                continue
            self._addresses[section.kind].append(found)

    def _add(self, line: int, message: str) -> None:
        self._problems.append(Problem(line, message))


def read_secret(file: Path) -> bytes:
    """Read a secret from a file, without the white space around it.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or the secret is too short.
    """
    try:
        secret = file.read_bytes().strip()
    except OSError as error:
        raise ConfigurationError(str(error.strerror), str(file)) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise ConfigurationError(
            f"the secret has {len(secret)} bytes, at least {MIN_SECRET_BYTES} are "
            "required",
            str(file),
        )
    return secret


def read_credential(file: str) -> str:
    """Read the credential for targets; an empty name gives none.

    Raises
    ------
    ConfigurationError
        As `read_secret`, or if it is not ASCII.
    """
    if not file:
        return ""
    try:
        return read_secret(Path(file)).decode("ascii")
    except UnicodeDecodeError as error:
        raise ConfigurationError("the credential is not ASCII", file) from error
