"""Errors in fleet configurations."""

from __future__ import annotations

from berylnotch.errors import ConfigurationError


class InvalidConfigurationError(ConfigurationError):
    """Raised if a fleet configuration is unreadable or inconsistent."""
