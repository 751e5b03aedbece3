"""Settings of a process, read from its INI file."""

from __future__ import annotations

from importlib import import_module
from typing import Any

#: Modules of the public names, imported on first use: a process of a fleet needs
#: only its own settings.
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
