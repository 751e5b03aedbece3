"""Services that run only while this controller leads."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.control.commands import ExpireClaims
from berylnotch.control.protocol import GrantReply, GrantRequest, RouterLine
from berylnotch.daemon.controller.routers import Routers
from berylnotch.quota.owner import QuotaOwner

if TYPE_CHECKING:
    from berylnotch.control.state import ControlState
    from berylnotch.settings.controller import ControllerSettings

#: Proposes a command; the answer goes to the second argument, if any.
Propose = Callable[..., None]

#: Seconds between two looks at the routers' heartbeats.
_ROUTERS_INTERVAL_S = 0.25
#: Seconds between two commands that forget old claims.
_EXPIRE_INTERVAL_S = 60.0


class _Reign:
    """What one leader keeps in memory for the length of its term."""

    def __init__(self, now: float, term: int, owner: QuotaOwner) -> None:
        self.term = term
        self.owner = owner
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
    propose : callable
        Proposes a command.
    """

    def __init__(
        self, settings: ControllerSettings, state: ControlState, propose: Propose
    ) -> None:
        self._settings = settings
        self._state = state
        self._propose = propose
        self._reign: _Reign | None = None

    @property
    def owner(self) -> QuotaOwner | None:
        """Quota owner, while this controller leads."""
        return self._reign.owner if self._reign else None

    def become(self, now: float, term: int) -> None:
        """Start the services of a new term."""
        if self._reign is not None and self._reign.term == term:
            return
        self._reign = _Reign(now, term, QuotaOwner(self._settings.quota, term, now))

    def resign(self) -> None:
        """Forget everything that only a leader may hold."""
        self._reign = None

    def grant(self, now: float, request: GrantRequest) -> GrantReply:
        """Answer a router's heartbeat with grants."""
        reign = self._reign
        if reign is None:
            raise RuntimeError("grant without a term")
        reign.routers.hear(now, request)
        return reign.owner.grant(now, request, self._state.fleet.organisations)

    def tick(self, now: float) -> None:
        """Propose what heartbeats and time ask for."""
        reign = self._reign
        if reign is None:
            return
        if now >= reign.next_routers:
            reign.next_routers = now + _ROUTERS_INTERVAL_S
            for command in reign.routers.changes(now, self._state):
                self._propose(command)
        if now >= reign.next_expire:
            reign.next_expire = now + _EXPIRE_INTERVAL_S
            keep_ms = int(self._settings.claim_retention_s * 1000)
            self._propose(ExpireClaims(int(time.time() * 1000) - keep_ms))

    def router_lines(self, now: float) -> tuple[RouterLine, ...]:
        """Return the routers for operators."""
        return self._reign.routers.lines(now) if self._reign else ()
