"""Errors of the control state."""

from __future__ import annotations

from berylnotch.control.commands import Status
from berylnotch.errors import ControlError


class CommandError(ControlError):
    """A command is rejected and changes nothing.

    Parameters
    ----------
    status : Status
        Status of the command's result.
    message : str
        Reason of the rejection and, where there is one, the remedy.
    """

    def __init__(self, status: Status, message: str) -> None:
        super().__init__(message)
        self.status = status


class SnapshotError(ControlError):
    """A snapshot is damaged or has an unknown format."""


class EventError(ControlError):
    """An event cannot be applied; the view is unchanged."""
