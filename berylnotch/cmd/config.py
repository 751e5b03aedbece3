"""Settings of the operators' tool."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path

from attrs import frozen

from berylnotch.errors import ConfigurationError
from berylnotch.fleet import values
from berylnotch.settings.base import (
    ControllerAddress,
    ProcessSetting,
    path,
    read_file,
)

#: Environment variable that names the settings file.
SETTINGS_VARIABLE = "BERYLNOTCH_SETTINGS"
#: Settings file below the home folder.
DEFAULT_SETTINGS = ".config/berylnotch.ini"
#: Length of an operator's key, in bytes.
KEY_BYTES = 32

#: Settings of the tool's file, besides the addresses in ``[controllers]`` and
#: ``[routers]``.
TABLE = (
    ProcessSetting(
        "operator", "name", values.name, "a name", "who the audit trail says you are"
    ),
    ProcessSetting(
        "operator",
        "key-file",
        path,
        "a file with the output of berylnotchd operator-key",
        "how the controllers know you",
    ),
    ProcessSetting(
        "operator",
        "timeout",
        values.duration(1.0, 600.0),
        "1 s to 10 min",
        "how long a command waits for a leader",
        "10 s",
    ),
)


@frozen
class OperatorSettings:
    """Who the operator is and where the controllers and routers listen."""

    name: str
    key: bytes
    timeout_s: float
    controllers: tuple[ControllerAddress, ...]
    routers: tuple[ControllerAddress, ...]


def settings_path(given: str, environment: Mapping[str, str] = os.environ) -> str:
    """Return the settings file: as given, from the environment, or the default."""
    default = str(Path.home() / DEFAULT_SETTINGS)
    return given or environment.get(SETTINGS_VARIABLE, "") or default


def read_settings(file: str) -> OperatorSettings:
    """Read the tool's settings.

    Raises
    ------
    ConfigurationError
        If the file or the key file is wrong.
    """
    found = read_file(file, TABLE)
    if not found.controllers:
        message = "section [controllers] is missing; write NAME = IP:port for each"
        raise ConfigurationError(message, file)
    key_file = Path(file).parent / found.values["key_file"].expanduser()
    return OperatorSettings(
        name=found.values["name"],
        key=_read_key(key_file),
        timeout_s=found.values["timeout"],
        controllers=found.controllers,
        routers=found.routers,
    )


def _read_key(file: Path) -> bytes:
    try:
        key = bytes.fromhex(file.read_text().strip())
    except OSError as error:
        raise ConfigurationError(str(error.strerror), str(file)) from error
    except ValueError as error:
        raise ConfigurationError("the key is not hexadecimal", str(file)) from error
    if len(key) != KEY_BYTES:
        message = f"the key has {len(key)} bytes instead of {KEY_BYTES}"
        raise ConfigurationError(message, str(file))
    return key
