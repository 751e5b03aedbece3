"""Errors of the admission queue."""

from __future__ import annotations

from berylnotch.errors import RequestError


class AdmissionError(RequestError):
    """Base class of errors of the admission queue."""


class DuplicateTicketError(AdmissionError):
    """A request with the same identity is already queued."""
