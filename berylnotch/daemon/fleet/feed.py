"""Delta encoding of the tables that the leader sends to all routers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from attrs import frozen


@frozen
class Change:
    """Entries that were added or modified, and the keys of removed entries."""

    entries: tuple[Any, ...]
    gone: tuple[str, ...]


class DeltaTable:
    """Table that returns its changes, which are sent instead of the whole table.

    With hundreds of routers and targets, sending the whole table for each change would
    use more bandwidth of the controllers than all other messages together. Links
    deliver messages in order, so a router that received the whole table once can apply
    the changes that follow.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Any] = {}

    @property
    def entries(self) -> tuple[Any, ...]:
        """All entries of the current table."""
        return tuple(self._entries.values())

    def update(self, entries: Mapping[str, Any]) -> tuple[Any, ...]:
        """Merge entries into the table; return those that were added or modified."""
        changed = _changed(self._entries, entries)
        self._entries.update(entries)
        return changed

    def replace(self, entries: Mapping[str, Any]) -> Change | None:
        """Replace the whole table; return the changes, or None if there are none."""
        previous, self._entries = self._entries, dict(entries)
        changed = _changed(previous, entries)
        gone = tuple(key for key in previous if key not in entries)
        if not changed and not gone:
            return None
        return Change(changed, gone)


def _changed(
    previous: Mapping[str, Any], entries: Mapping[str, Any]
) -> tuple[Any, ...]:
    return tuple(e for key, e in entries.items() if previous.get(key) != e)
