"""Tracks the software version of the targets that write the stream of one request."""

from __future__ import annotations

from berylnotch.entry.targets import Target


class VersionTracker:
    """Software version that wrote the stream of one request."""

    def __init__(self) -> None:
        self._version: str | None = None
        self._target_version = ""

    @property
    def version(self) -> str | None:
        """Software version that wrote the stream, None before its first event."""
        return self._version

    def on_sent(self, target: Target) -> None:
        """Record the target that the request is sent to."""
        self._target_version = target.listed.software_version

    def on_event(self) -> None:
        """Record that the caller gets an event of the target's stream."""
        if self._version is None:
            self._version = self._target_version
