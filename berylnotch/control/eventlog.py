"""Newest events, for subscribers that are not far behind."""

from __future__ import annotations

from collections import deque

from berylnotch.control.events import VersionedEvent

#: Most events held.
MAX_EVENTS = 20_000
#: Most bytes of events held.
MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventLog:
    """Events after a base version, oldest first.

    Parameters
    ----------
    version : int, default=0
        Version of the state that the first event changes.
    """

    def __init__(self, version: int = 0) -> None:
        self._base = version
        self._version = version
        self._events: deque[VersionedEvent] = deque()
        self._bytes = 0

    @property
    def version(self) -> int:
        """Version of the newest event."""
        return self._version

    def extend(self, events: tuple[VersionedEvent, ...]) -> None:
        """Append the events of one version."""
        for event in events:
            self._events.append(event)
            self._bytes += len(event.event)
            self._version = event.version
        while self._events and self._is_full():
            self._drop_oldest_version()

    def after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return the events after a version, or None if some were dropped."""
        if version < self._base:
            return None
        found = []
        for event in reversed(self._events):
            if event.version <= version:
                break
            found.append(event)
        return tuple(reversed(found))

    def _is_full(self) -> bool:
        return len(self._events) > MAX_EVENTS or self._bytes > MAX_EVENT_BYTES

    def _drop_oldest_version(self) -> None:
        # Events of one version are sent together or not at all.
        self._base = self._events[0].version
        while self._events and self._events[0].version == self._base:
            self._bytes -= len(self._events.popleft().event)
