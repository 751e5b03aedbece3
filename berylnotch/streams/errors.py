"""Errors of streams."""

from __future__ import annotations

from berylnotch.errors import RequestError


class StreamError(RequestError):
    """A streamed answer can't go on."""


class EventTooLongError(StreamError):
    """An event is longer than the scanner may buffer."""


class SequenceError(StreamError):
    """Events of an answer are missing or carry no number."""


class StreamReferenceError(StreamError):
    """A caller's reference to a stream is malformed or not ours."""
