"""Routers that wait for tokens of one organisation, in turn."""

from __future__ import annotations

from attrs import define


@define
class _Entry:
    """``asked`` is when the router last said that it waits."""

    want: int
    first: int
    asked: float


class WaitingLine:
    """Order in which waiting routers are served.

    A router keeps its place until it gets what its first work needs. What
    those before it need is kept back for them, so that a large request is
    reached as surely as a small one.

    Parameters
    ----------
    keep_s : float
        Time after which a router that has not asked again loses its place.
    """

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._entries: dict[str, _Entry] = {}
        self._cleaned = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def wanted_until(self, router: str) -> int:
        """Return what a router and those before it want, 0 if it has no place."""
        if router not in self._entries:
            return 0
        wanted = 0
        for name, entry in self._entries.items():
            wanted += entry.want
            if name == router:
                break
        return wanted

    def clean(self, now: float) -> None:
        """Drop routers that have not asked again."""
        if now - self._cleaned < self._keep_s:
            return
        self._cleaned = now
        oldest = now - self._keep_s
        gone = [name for name, entry in self._entries.items() if entry.asked < oldest]
        for name in gone:
            self.leave(name)

    def enter(self, now: float, router: str, want: int, first: int) -> None:
        """Give the router a place, or keep the one that it has."""
        entry = self._entries.get(router)
        if entry is None:
            entry = _Entry(0, 0, now)
            self._entries[router] = entry
        entry.want = want
        entry.first = first
        entry.asked = now

    def leave(self, router: str) -> None:
        """Give up the router's place, if it has one."""
        self._entries.pop(router, None)

    def needed_before(self, router: str, level: float) -> int:
        """Return what the routers before this one need.

        The sum is cut short once it exceeds ``level``.
        """
        needed = 0
        for name, entry in self._entries.items():
            if name == router or needed > level:
                break
            needed += entry.first
        return needed
