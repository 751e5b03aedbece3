"""Errors of admission."""

from __future__ import annotations

from berylnotch.errors import RequestError


class AdmissionError(RequestError):
    """The queue cannot do what was asked."""


class DuplicateTicketError(AdmissionError):
    """A ticket with this identity waits already."""
