"""Errors of the organisations' limits."""

from __future__ import annotations

from berylnotch.errors import BerylnotchError


class QuotaError(BerylnotchError):
    """The limits cannot do what was asked."""


class InvalidChargeError(QuotaError):
    """A charge or want is negative."""
