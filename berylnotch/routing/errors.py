"""Errors of fleet configurations."""

from __future__ import annotations

from berylnotch.errors import ConfigurationError


class InvalidConfigurationError(ConfigurationError):
    """A fleet configuration cannot be read or contradicts itself."""
