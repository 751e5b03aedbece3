"""Settings of the processes, read from INI files."""

from __future__ import annotations

from importlib import import_module
from typing import Any

#: Modules that define the public names. They are imported on first use, since a process
#: needs only its own kind of settings.
_MODULES = {
    "ControllerAddress": "base",
    "ControllerSettings": "controller",
    "RouterSettings": "router",
    "read_controller": "controller",
    "read_router": "router",
    "read_secret": "base",
}

__all__ = list(_MODULES)


def __getattr__(name: str) -> Any:
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{module}"), name)
