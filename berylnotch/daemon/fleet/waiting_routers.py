"""Routers that wait at a controller for the election of a leader."""

from __future__ import annotations

from attrs import evolve, frozen

from berylnotch.group.messages import RouterReport, StreamRecords, VersionQuery
from berylnotch.transport.link import Link

#: Longest time in seconds that a router waits at a controller that knows no leader:
#: most of the duration of an election. The router then asks another controller, since
#: this one may be partitioned from the group.
MAX_WAIT_S = 0.3

#: Largest number of stream records and version queries, each a message, that are kept
#: for one waiting router.
MAX_KEPT_MESSAGES = 256


@frozen
class _WaitingRouter:
    """Newest report of a waiting router, and the boot time at which its wait ends."""

    report: RouterReport
    expires_at: float


class WaitingRouters:
    """Links of the routers that reported while no leader was known.

    If hundreds of routers were redirected immediately, each would connect again ten
    times a second and keep the controllers too busy to elect a leader.
    """

    def __init__(self) -> None:
        self._waiting: dict[Link, _WaitingRouter] = {}
        self._kept: dict[Link, list[StreamRecords | VersionQuery]] = {}

    def add(self, link: Link, report: RouterReport, now: float) -> None:
        """Keep the report of a router; a later report does not extend its wait."""
        earlier = self._waiting.get(link)
        if earlier is None:
            self._waiting[link] = _WaitingRouter(report, now + MAX_WAIT_S)
            return
        # A router reports each loss and completion only once over a link.
        merged = evolve(
            report,
            crashes=earlier.report.crashes + report.crashes,
            completed=earlier.report.completed + report.completed,
        )
        self._waiting[link] = _WaitingRouter(merged, earlier.expires_at)

    def keep(self, link: Link, message: StreamRecords | VersionQuery) -> None:
        """Keep a message for the leader, which a router sends once over a link."""
        kept = self._kept.setdefault(link, [])
        if len(kept) < MAX_KEPT_MESSAGES:
            kept.append(message)

    def take_kept(self, link: Link) -> tuple[StreamRecords | VersionQuery, ...]:
        """Remove and return the kept messages of a router, in the order they came."""
        return tuple(self._kept.pop(link, ()))

    def remove(self, link: Link) -> None:
        """Remove a link that was closed."""
        self._waiting.pop(link, None)
        self._kept.pop(link, None)

    def pop_due(
        self, now: float, is_leader_known: bool
    ) -> list[tuple[Link, RouterReport]]:
        """Remove and return the routers to answer.

        These are all routers if a leader is known, else those whose wait is over.
        """
        due = [
            (link, router.report)
            for link, router in self._waiting.items()
            if is_leader_known or router.expires_at <= now
        ]
        for link, _ in due:
            del self._waiting[link]
        return due
