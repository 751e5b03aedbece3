"""The leader's record of the limits that targets announced to any router."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

from attrs import frozen

from berylnotch.group.messages import LimitNotice
from berylnotch.membership.listing import ListedTarget


@frozen
class _Announcement:
    """Limit of a target's incarnation, and the time of the announcement in seconds."""

    born_ms: int
    per_s: float
    announced_at: float


class AnnouncedLimits:
    """Newest announcement of each target that has announced a limit.

    The end of a limit is an announcement as well, of an infinite limit. It is kept, so
    that an older announcement of another router does not restore the limit.
    """

    def __init__(self) -> None:
        self._newest: dict[str, _Announcement] = {}

    def add(
        self,
        now: float,
        notices: Collection[LimitNotice],
        targets: Mapping[str, ListedTarget],
    ) -> tuple[LimitNotice, ...]:
        """Record the notices that are newer than the known ones.

        Returns
        -------
        tuple of LimitNotice
            Notices that changed the limit of a target.
        """
        changes = []
        for notice in notices:
            target = targets.get(notice.target_id)
            if target is None or target.born_ms != notice.born_ms:
                continue
            announced_at = now - notice.age_ms / 1000
            known = self._newest.get(notice.target_id)
            if known is not None and known.announced_at >= announced_at:
                continue
            self._newest[notice.target_id] = _Announcement(
                notice.born_ms, notice.per_s, announced_at
            )
            if known is None or known.per_s != notice.per_s:
                changes.append(notice)
        return tuple(changes)

    def retain(self, targets: Mapping[str, ListedTarget]) -> None:
        """Drop the announcements of targets that are gone or have restarted."""
        for target_id, known in tuple(self._newest.items()):
            target = targets.get(target_id)
            if target is None or target.born_ms != known.born_ms:
                del self._newest[target_id]

    def limit_per_s(self, target_id: str) -> float | None:
        """Return a target's limit: infinite once it has ended, None if never heard."""
        known = self._newest.get(target_id)
        return known.per_s if known is not None else None

    def in_force(self) -> dict[str, float]:
        """Return the limits in force by target."""
        return {
            target_id: known.per_s
            for target_id, known in self._newest.items()
            if known.per_s < math.inf
        }
