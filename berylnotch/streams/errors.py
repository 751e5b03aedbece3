"""Exceptions raised for streamed responses and stream references."""

from __future__ import annotations

from berylnotch.errors import RequestError


class StreamError(RequestError):
    """A streamed response cannot be continued."""


class EventTooLongError(StreamError):
    """An event exceeds the buffer limit of the scanner."""


class SequenceError(StreamError):
    """Events of a response are missing or have no number."""


class StreamReferenceError(StreamError):
    """A stream reference is malformed or was not signed with the routers' secret."""
