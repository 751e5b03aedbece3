"""Errors of the control state."""

from __future__ import annotations

from berylnotch.control.commands import Status
from berylnotch.errors import ControlError


class CommandError(ControlError):
    """A command has no effect.

    Parameters
    ----------
    status : Status
        Status to answer with.
    message : str
        What is wrong and what to do.
    """

    def __init__(self, status: Status, message: str) -> None:
        super().__init__(message)
        self.status = status


class SnapshotError(ControlError):
    """A snapshot is damaged or of an unknown format."""


class EventError(ControlError):
    """An event cannot be applied; the view stays as it was."""
