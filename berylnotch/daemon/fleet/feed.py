"""What changed in a table since it was last sent to all routers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from attrs import frozen


@frozen
class Change:
    """Entries that are new or differ, and the keys of those that are gone."""

    entries: tuple[Any, ...]
    gone: tuple[str, ...]


class Feed:
    """A table of which changes are sent instead of the whole.

    With hundreds of routers and targets, the whole table for each change would take
    more of the controllers' links than all other messages together. Links keep the
    order, so a router that got the whole table once can follow by changes.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Any] = {}

    @property
    def entries(self) -> tuple[Any, ...]:
        """The whole table as last taken."""
        return tuple(self._entries.values())

    def add(self, entries: Mapping[str, Any]) -> tuple[Any, ...]:
        """Take a part of the table; return the entries that are new or differ."""
        changed = _changed(self._entries, entries)
        self._entries.update(entries)
        return changed

    def take(self, entries: Mapping[str, Any]) -> Change | None:
        """Take the table anew; return what changed, or None."""
        known, self._entries = self._entries, dict(entries)
        changed = _changed(known, entries)
        gone = tuple(key for key in known if key not in entries)
        if not changed and not gone:
            return None
        return Change(changed, gone)


def _changed(known: Mapping[str, Any], entries: Mapping[str, Any]) -> tuple[Any, ...]:
    return tuple(e for key, e in entries.items() if known.get(key) != e)
