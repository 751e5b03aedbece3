"""Routers that wait for tokens of one organisation, in turn."""

from __future__ import annotations

from attrs import define


@define
class _WaitingRouter:
    """``asked`` is when the router last said that it waits."""

    want: int
    first_want: int
    asked_at: float


class WaitQueue:
    """Order in which waiting routers are served.

    A router keeps its place until it gets what its first work needs. What
    those before it need is kept back for them, so that a large request is
    reached as surely as a small one.

    Parameters
    ----------
    keep_s : float
        Time after which a router that has not asked again loses its place.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._entries: dict[str, _WaitingRouter] = {}
        self._expired_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def wanted_through(self, router: str) -> int:
        """Return what a router and those before it want, 0 if it has no place."""
        if router not in self._entries:
            return 0
        wanted = 0
        for name, entry in self._entries.items():
            wanted += entry.want
            if name == router:
                break
        return wanted

    def expire(self, now: float) -> None:
        """Drop routers that have not asked again."""
        if now - self._expired_at < self._retention_s:
            return
        self._expired_at = now
        oldest_kept = now - self._retention_s
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.asked_at < oldest_kept
        ]
        for name in expired:
            self.remove(name)

    def enqueue(self, now: float, router: str, want: int, first_want: int) -> None:
        """Give the router a place, or keep the one that it has."""
        entry = self._entries.get(router)
        if entry is None:
            entry = _WaitingRouter(0, 0, now)
            self._entries[router] = entry
        entry.want = want
        entry.first_want = first_want
        entry.asked_at = now

    def remove(self, router: str) -> None:
        """Give up the router's place, if it has one."""
        self._entries.pop(router, None)

    def needed_ahead_of(self, router: str, level: float) -> int:
        """Return what the routers before this one need.

        The sum is cut short once it exceeds ``level``.
        """
        needed = 0
        for name, entry in self._entries.items():
            if name == router or needed > level:
                break
            needed += entry.first_want
        return needed
