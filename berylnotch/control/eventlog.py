"""Bounded log of the newest events, from which subscribers catch up."""

from __future__ import annotations

from collections import deque

from berylnotch.control.events import VersionedEvent

#: Maximum number of retained events.
MAX_EVENTS = 20_000
#: Maximum total size of the retained events, in bytes.
MAX_EVENT_BYTES = 4 * 1024 * 1024


class EventLog:
    """Events after a base version, oldest first.

    Parameters
    ----------
    version : int, default=0
        Version of the state to which the first event applies.
    """

    def __init__(self, version: int = 0) -> None:
        self._base_version = version
        self._version = version
        self._events: deque[VersionedEvent] = deque()
        self._total_bytes = 0

    @property
    def version(self) -> int:
        """Version of the newest event."""
        return self._version

    def extend(self, events: tuple[VersionedEvent, ...]) -> None:
        """Append the events of one version."""
        for event in events:
            self._events.append(event)
            self._total_bytes += len(event.event)
            self._version = event.version
        while self._events and self._is_over_limit():
            self._evict_oldest_version()

    def events_after(self, version: int) -> tuple[VersionedEvent, ...] | None:
        """Return the events after a version, or None if some were evicted."""
        if version < self._base_version:
            return None
        newer_events = []
        for event in reversed(self._events):
            if event.version <= version:
                break
            newer_events.append(event)
        return tuple(reversed(newer_events))

    def _is_over_limit(self) -> bool:
        return len(self._events) > MAX_EVENTS or self._total_bytes > MAX_EVENT_BYTES

    def _evict_oldest_version(self) -> None:
        # Subscribers apply all events of a version together, so these events are also
        # evicted together.
        self._base_version = self._events[0].version
        while self._events and self._events[0].version == self._base_version:
            self._total_bytes -= len(self._events.popleft().event)
