"""List of the routers that may hold tokens of organisations, as the leader keeps it."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define

from berylnotch.group.commands import LimitRouter, ListLimitRouters
from berylnotch.group.state import FleetState
from berylnotch.quota.messages import GrantRequest


@define
class _Seen:
    """Incarnation of a router, with the times of its first and its last request."""

    incarnation: str
    first_at: float
    last_at: float


class LimitRouterList:
    """Decides on changes of the replicated list.

    Parameters
    ----------
    state : FleetState
        Replicated state with the list.
    span_s : float
        Seconds after a router's last request until its tokens have expired and its
        charges have left the window.
    """

    def __init__(self, state: FleetState, span_s: float) -> None:
        self._state = state
        self._span_s = span_s
        self._seen: dict[str, _Seen] = {}

    def is_listed(self, now: float, request: GrantRequest) -> bool:
        """Record a router's request; return whether the router may get tokens.

        Another incarnation of a listed router may, as the next owner sees from its name
        that the listed one has ended, and that it does not know the charges of that.
        """
        seen = self._seen.get(request.vm)
        if seen is None or seen.incarnation != request.incarnation:
            seen = self._seen[request.vm] = _Seen(request.incarnation, now, now)
        seen.last_at = now
        return request.vm in self._state.limit_owners.routers

    def additions(self, requests: Iterable[GrantRequest]) -> ListLimitRouters | None:
        """Return the command that adds the senders of requests, None without any."""
        added = {request.vm: request.incarnation for request in requests}
        if not added:
            return None
        return ListLimitRouters(
            tuple(LimitRouter(name, added[name]) for name in sorted(added))
        )

    def changes(self, now: float, started_at: float) -> ListLimitRouters | None:
        """Return the command with the changes that are due, None without any.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        started_at : float
            Monotonic time at which this owner started, in seconds.
        """
        replaced, gone = [], []
        for name, listed in sorted(self._state.limit_owners.routers.items()):
            seen = self._seen.get(name)
            last_at = started_at if seen is None else seen.last_at
            if now - last_at >= self._span_s:
                gone.append(name)
                self._seen.pop(name, None)
            elif seen is not None and seen.incarnation != listed:
                if now - seen.first_at >= self._span_s:
                    replaced.append(LimitRouter(name, seen.incarnation))
        if not replaced and not gone:
            return None
        return ListLimitRouters(tuple(replaced), tuple(gone))
