"""Replicated record of the owners of the organisations' limits."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from berylnotch.group.commands import (
    LimitRouter,
    ListLimitRouters,
    SettleLimits,
    TakeOverLimits,
)
from berylnotch.quota.takeover import next_share


@frozen
class LimitOwner:
    """Share of the takeover headroom that an owner may have granted."""

    number: int
    share: float


@frozen
class SavedLimitOwners:
    """Serialised form of the record; ``count`` is the number of owners so far."""

    count: int = 0
    unsettled: tuple[LimitOwner, ...] = ()
    routers: tuple[LimitRouter, ...] = ()


class LimitOwners:
    """Owners of the limits, in the order of the log."""

    def __init__(self, saved: SavedLimitOwners = SavedLimitOwners()) -> None:
        self._count = saved.count
        self._unsettled = saved.unsettled
        self._routers = {r.name: r.incarnation for r in saved.routers}

    @property
    def count(self) -> int:
        """Number of the newest owner, 0 if there was none."""
        return self._count

    @property
    def unsettled(self) -> tuple[LimitOwner, ...]:
        """Owners whose shares of the headroom are in use, oldest first."""
        return self._unsettled

    @property
    def routers(self) -> Mapping[str, str]:
        """Incarnation by name of the routers that may hold tokens."""
        return self._routers

    def apply(self, command: TakeOverLimits | SettleLimits | ListLimitRouters) -> None:
        """Apply a committed command."""
        if isinstance(command, TakeOverLimits):
            self._count += 1
            share = next_share(owner.share for owner in self._unsettled)
            self._unsettled += (LimitOwner(self._count, share),)
        elif isinstance(command, SettleLimits):
            self._unsettled = tuple(
                owner for owner in self._unsettled if owner.number > command.owner
            )
        else:
            for router in command.routers:
                self._routers[router.name] = router.incarnation
            for name in command.gone:
                self._routers.pop(name, None)

    def save(self) -> SavedLimitOwners:
        """Return the serialised record."""
        routers = (LimitRouter(n, i) for n, i in sorted(self._routers.items()))
        return SavedLimitOwners(self._count, self._unsettled, tuple(routers))
