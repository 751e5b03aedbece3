"""Settings of a process, read from its INI file."""

from __future__ import annotations

from berylnotch.settings.base import ControllerAddress, read_secret
from berylnotch.settings.controller import ControllerSettings, read_controller
from berylnotch.settings.router import RouterSettings, read_router

__all__ = [
    "ControllerAddress",
    "ControllerSettings",
    "RouterSettings",
    "read_controller",
    "read_router",
    "read_secret",
]
