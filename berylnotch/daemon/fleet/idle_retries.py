"""Collects the retries that routers have earned and do not use."""

from __future__ import annotations

from attrs import define, field

from berylnotch.group.messages import RouterReport


@define
class _Router:
    """Newest counts of one router process, by service."""

    incarnation: str
    counts: dict[str, int] = field(factory=dict)


class IdleRetryCounter:
    """Finds the idle retries that each report adds to those known before.

    A leader that hears of a router process for the first time does not know which of
    its idle retries an earlier leader granted, so it counts none of them.
    """

    def __init__(self) -> None:
        self._routers: dict[str, _Router] = {}

    def added(self, report: RouterReport) -> dict[str, int]:
        """Return the number of newly reported idle retries by service."""
        router = self._routers.get(report.address)
        is_known = router is not None and router.incarnation == report.incarnation
        if not is_known:
            router = self._routers[report.address] = _Router(report.incarnation)
        added = {}
        for idle in report.idle_retries:
            previous = router.counts.get(idle.service, 0)
            if is_known and idle.count > previous:
                added[idle.service] = idle.count - previous
            router.counts[idle.service] = max(idle.count, previous)
        return added
