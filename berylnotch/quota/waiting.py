"""First-in, first-out queue of routers that wait for one organisation's tokens."""

from __future__ import annotations

from attrs import define


@define
class _WaitingRouter:
    """Demand of one waiting router in tokens, and the time of its latest ask."""

    want: int
    first_want: int
    asked_at: float


class WaitQueue:
    """Order in which waiting routers are served.

    A router keeps its position until it gets the tokens that its first waiting work
    needs. The tokens needed by the routers ahead of it are reserved for them, so that
    a large request is not starved by small requests.

    Parameters
    ----------
    retention_s : float
        Seconds without an ask after which a router is removed.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._entries: dict[str, _WaitingRouter] = {}
        self._last_expiry_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def wanted_through(self, router: str) -> int:
        """Return the tokens wanted by a router and all ahead of it, 0 if not queued."""
        if router not in self._entries:
            return 0
        wanted_tokens = 0
        for name, entry in self._entries.items():
            wanted_tokens += entry.want
            if name == router:
                break
        return wanted_tokens

    def expire(self, now: float) -> None:
        """Remove routers that have not asked again within the retention time."""
        if now - self._last_expiry_at < self._retention_s:
            return
        self._last_expiry_at = now
        oldest_kept_at = now - self._retention_s
        expired = [
            name
            for name, entry in self._entries.items()
            if entry.asked_at < oldest_kept_at
        ]
        for name in expired:
            self.remove(name)

    def enqueue(self, now: float, router: str, want: int, first_want: int) -> None:
        """Append a router, or update its demand at its present position."""
        entry = self._entries.get(router)
        if entry is None:
            entry = _WaitingRouter(0, 0, now)
            self._entries[router] = entry
        entry.want = want
        entry.first_want = first_want
        entry.asked_at = now

    def remove(self, router: str) -> None:
        """Remove a router if it is queued."""
        self._entries.pop(router, None)

    def needed_ahead_of(self, router: str, level: float) -> int:
        """Return the tokens that the routers ahead of this one need.

        The summation stops once the sum exceeds ``level``.
        """
        needed_tokens = 0
        for name, entry in self._entries.items():
            if name == router or needed_tokens > level:
                break
            needed_tokens += entry.first_want
        return needed_tokens
