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
#: Default settings file, relative to the home folder.
DEFAULT_SETTINGS = ".config/berylnotch.ini"
#: Length of an operator's key, in bytes.
KEY_BYTES = 32

#: Settings allowed in the tool's file, in addition to the addresses in
#: ``[controllers]`` and ``[routers]``.
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
    """Identity of the operator and addresses of the controllers and routers."""

    name: str
    key: bytes
    timeout_s: float
    controllers: tuple[ControllerAddress, ...]
    routers: tuple[ControllerAddress, ...]


def settings_path(flag_value: str, environment: Mapping[str, str] = os.environ) -> str:
    """Return the settings file from the flag, the environment or the default."""
    default_path = str(Path.home() / DEFAULT_SETTINGS)
    return flag_value or environment.get(SETTINGS_VARIABLE, "") or default_path


def read_settings(file: str) -> OperatorSettings:
    """Read the tool's settings.

    Raises
    ------
    ConfigurationError
        If the file or the key file cannot be read or is invalid.
    """
    content = read_file(file, TABLE)
    if not content.controllers:
        message = "section [controllers] is missing; write NAME = IP:port for each"
        raise ConfigurationError(message, file)
    key_file = Path(file).parent / content.values["key_file"].expanduser()
    return OperatorSettings(
        name=content.values["name"],
        key=_read_key(key_file),
        timeout_s=content.values["timeout"],
        controllers=content.controllers,
        routers=content.routers,
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
