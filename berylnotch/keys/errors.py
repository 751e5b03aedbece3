"""Errors of callers' keys."""

from __future__ import annotations

from berylnotch.errors import ControlError


class KeyExistsError(ControlError):
    """The key or its ID exists already."""
