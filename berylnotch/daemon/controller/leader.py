"""Services that run only while this controller leads."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.control.commands import ExpireClaims
from berylnotch.control.protocol import RouterLine
from berylnotch.daemon.controller.ordering import Ordering
from berylnotch.daemon.controller.routers import Routers
from berylnotch.daemon.controller.targets import TargetWatch
from berylnotch.quota.messages import GrantReply, GrantRequest
from berylnotch.quota.owner import QuotaOwner

if TYPE_CHECKING:
    from berylnotch.control.state import ControlState
    from berylnotch.daemon.controller.outside import Outside
    from berylnotch.settings.controller import ControllerSettings

#: Proposes a command; the answer goes to the second argument, if any.
Propose = Callable[..., None]

#: Seconds between two looks at the routers' heartbeats.
_ROUTERS_INTERVAL_S = 0.25
#: Seconds between two commands that forget old claims.
_EXPIRE_INTERVAL_S = 60.0


class _Term:
    """What one leader keeps in memory for the length of its term."""

    def __init__(
        self,
        now: float,
        term: int,
        owner: QuotaOwner,
        targets: TargetWatch,
        ordering: Ordering,
    ) -> None:
        self.term = term
        self.owner = owner
        self.targets = targets
        self.ordering = ordering
        self.routers = Routers(now)
        self.next_routers = now + _ROUTERS_INTERVAL_S
        self.next_expire = now + _EXPIRE_INTERVAL_S


class Leader:
    """Quota owner, heartbeats and housekeeping of the leader.

    Parameters
    ----------
    settings : ControllerSettings
        Settings of the process.
    state : ControlState
        Applied state.
    outside : Outside
        Way to the systems outside.
    propose : callable
        Proposes a command.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        state: ControlState,
        outside: Outside,
        propose: Propose,
    ) -> None:
        self._outside = outside
        self._settings = settings
        self._state = state
        self._propose = propose
        self._current: _Term | None = None

    @property
    def owner(self) -> QuotaOwner | None:
        """Quota owner, while this controller leads."""
        return self._current.owner if self._current else None

    def become(self, now: float, term: int) -> None:
        """Start the services of a new term."""
        if self._current is not None and self._current.term == term:
            return
        settings, state = self._settings, self._state
        targets = TargetWatch(settings, state, self._outside, self._propose)
        ordering = Ordering(
            settings, state, self._outside, targets, self._propose, since=now
        )
        owner = QuotaOwner(settings.quota, term, now)
        self._current = _Term(now, term, owner, targets, ordering)

    def resign(self) -> None:
        """Forget everything that only a leader may hold."""
        self._current = None

    def grant(self, now: float, request: GrantRequest) -> GrantReply:
        """Answer a router's heartbeat with grants."""
        current = self._current
        if current is None:
            raise RuntimeError("grant without a term")
        current.routers.hear(now, request)
        return current.owner.grant(now, request, self._state.fleet.organisations)

    def tick(self, now: float, valid_until: float) -> None:
        """Propose and order what heartbeats, reports and time ask for.

        ``valid_until`` is the end of the lease.
        """
        current = self._current
        if current is None:
            return
        current.targets.tick(now)
        current.ordering.tick(now, valid_until)
        if now >= current.next_routers:
            current.next_routers = now + _ROUTERS_INTERVAL_S
            for command in current.routers.changes(now, self._state):
                self._propose(command)
        if now >= current.next_expire:
            current.next_expire = now + _EXPIRE_INTERVAL_S
            keep_ms = int(self._settings.claim_retention_s * 1000)
            self._propose(ExpireClaims(int(time.time() * 1000) - keep_ms))

    def router_lines(self, now: float) -> tuple[RouterLine, ...]:
        """Return the routers for operators."""
        return self._current.routers.lines(now) if self._current else ()
