"""Errors of the organisations' limits."""

from __future__ import annotations

from berylnotch.errors import BerylnotchError


class QuotaError(BerylnotchError):
    """Base class of errors of the organisations' limits."""


class InvalidChargeError(QuotaError):
    """The number of tokens to charge or to request is negative."""
