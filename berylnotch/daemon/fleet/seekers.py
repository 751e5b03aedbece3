"""Routers that wait at a controller until a leader is known."""

from __future__ import annotations

from attrs import frozen

from berylnotch.group.messages import RouterReport
from berylnotch.transport.link import Link

#: Seconds for which a router waits where no leader is known: most of an election. It
#: then asks elsewhere, since this controller may be cut off from the others.
WAIT_S = 0.3


@frozen
class _Seeker:
    """A router's newest report, and until when it waits."""

    report: RouterReport
    until: float


class Seekers:
    """Links of routers that asked while no leader was known.

    Hundreds of routers that were sent away at once would come back ten times a second,
    and keep the controllers too busy to elect a leader.
    """

    def __init__(self) -> None:
        self._waiting: dict[Link, _Seeker] = {}

    def add(self, link: Link, report: RouterReport, now: float) -> None:
        """Let a router wait; a later report of it does not prolong that."""
        known = self._waiting.get(link)
        until = known.until if known is not None else now + WAIT_S
        self._waiting[link] = _Seeker(report, until)

    def lost(self, link: Link) -> None:
        """Forget a link that ended."""
        self._waiting.pop(link, None)

    def take(
        self, now: float, is_leader_known: bool
    ) -> list[tuple[Link, RouterReport]]:
        """Return and forget those to answer: all with a leader, else the overdue."""
        due = [
            (link, seeker.report)
            for link, seeker in self._waiting.items()
            if is_leader_known or seeker.until <= now
        ]
        for link, _ in due:
            del self._waiting[link]
        return due
