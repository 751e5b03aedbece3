"""Reading of process settings: declared settings, INI files and secrets."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import frozen

from berylnotch.errors import ConfigurationError
from berylnotch.fleet import values
from berylnotch.fleet.checks import suggest_name
from berylnotch.fleet.errors import FleetTextError, Problem
from berylnotch.fleet.sections import Section, read_sections
from berylnotch.fleet.text import read
from berylnotch.transport.identity import MIN_SECRET_BYTES


@frozen
class ProcessSetting:
    """Declaration of one setting of a process.

    Parameters
    ----------
    section : str
        Section that holds the setting.
    name : str
        Name of the setting in the file.
    convert : callable
        Converts the text of the value; raises ValueError if it is not allowed.
    allowed : str
        Description of the type, unit and range.
    affects : str
        Description of what the setting affects.
    default : str or None, default=None
        Default as text in the form of the file, or None if the setting is required.
    """

    section: str
    name: str
    convert: Callable[[str], Any]
    allowed: str
    affects: str
    default: str | None = None

    @property
    def field(self) -> str:
        """Key of the setting in `ProcessFile.values`."""
        return self.name.replace("-", "_")


@frozen
class ControllerAddress:
    """Name and address of a controller or router in an address section."""

    name: str
    address: str


@frozen
class ProcessFile:
    """Checked values and addresses of a process's settings file."""

    values: dict[str, Any]
    controllers: tuple[ControllerAddress, ...]
    routers: tuple[ControllerAddress, ...]


#: Sections that hold ``NAME = IP:port`` entries instead of settings.
ADDRESS_SECTIONS = ("controllers", "routers")


def listen_address(text: str) -> str:
    """Return a normalised ``IP:port``; port 0 lets the system choose a free port."""
    host, _, port = text.rpartition(":")
    if port == "0":
        return values.address(f"{host}:1").rpartition(":")[0] + ":0"
    return values.address(text)


def optional_address(text: str) -> str:
    """Return a normalised ``IP:port``, or an empty string for an empty text."""
    return values.address(text) if text else ""


def path(text: str) -> Path:
    """Return a file system path; the text must not be empty."""
    if not text:
        raise ValueError("the path is empty")
    return Path(text)


def read_file(file: str, table: tuple[ProcessSetting, ...]) -> ProcessFile:
    """Read and check a settings file.

    Raises
    ------
    ConfigurationError
        If the file cannot be read or has errors. All errors are listed, each with its
        line and the allowed values.
    """
    sections, section_problems = read_sections(read(file))
    problems = list(section_problems)
    reader = _SettingsReader(table, problems)
    for section in sections:
        reader.read_section(section)
    reader.fill_defaults()
    if problems:
        problems.sort(key=lambda problem: problem.line)
        raise FleetTextError(tuple(problems), file)
    return reader.build_file()


class _SettingsReader:
    """Collects the values and the problems of one settings file."""

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
        """Read one section, with its settings or addresses."""
        known_sections = {setting.section for setting in self._table} | set(
            ADDRESS_SECTIONS
        )
        if section.kind not in known_sections:
            hint = suggest_name(section.kind, known_sections)
            self._add_problem(section.line, f"unknown section [{section.kind}]; {hint}")
        elif section.kind in ADDRESS_SECTIONS:
            self._read_addresses(section)
        else:
            self._read_settings(section)

    def fill_defaults(self) -> None:
        """Set the defaults of absent settings; report absent required settings."""
        for setting in self._table:
            if setting.field in self._values:
                continue
            if setting.default is None:
                name = f"{setting.name} in [{setting.section}]"
                self._add_problem(0, f"{name} is missing; it takes {setting.allowed}")
            else:
                self._values[setting.field] = setting.convert(setting.default)

    def build_file(self) -> ProcessFile:
        """Return the values and addresses that were read."""
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
                hint = suggest_name(name, settings)
                self._add_problem(entry.line, f"unknown setting {name!r}; {hint}")
                continue
            try:
                self._values[setting.field] = setting.convert(entry.value)
            except ValueError as error:
                # An invalid value counts as present, so that the setting is not also
                # reported as missing.
                self._values[setting.field] = None
                message = f"{name}: {error}; allowed: {setting.allowed}"
                self._add_problem(entry.line, message)

    def _read_addresses(self, section: Section) -> None:
        for name, entry in section.entries.items():
            try:
                address = values.address(entry.value)
                named_address = ControllerAddress(values.name(name), address)
            except ValueError as error:
                self._add_problem(entry.line, f"{name}: {error}; allowed: IP:port")
                continue
            self._addresses[section.kind].append(named_address)

    def _add_problem(self, line: int, message: str) -> None:
        self._problems.append(Problem(line, message))


def read_secret(file: Path) -> bytes:
    """Read a secret from a file and strip the surrounding white space.

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
    """Read the credential for targets; an empty file name gives an empty credential.

    Raises
    ------
    ConfigurationError
        If the file cannot be read, or the credential is too short or not ASCII.
    """
    if not file:
        return ""
    try:
        return read_secret(Path(file)).decode("ascii")
    except UnicodeDecodeError as error:
        raise ConfigurationError("the credential is not ASCII", file) from error
