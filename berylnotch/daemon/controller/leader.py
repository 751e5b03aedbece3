"""Services that run only while this controller is the leader."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import evolve

from berylnotch.control.commands import ExpireClaims
from berylnotch.control.protocol import RouterLine
from berylnotch.daemon.controller.ordering import OrderDispatcher
from berylnotch.daemon.controller.routers import RouterHeartbeats
from berylnotch.daemon.controller.targets import TargetWatch
from berylnotch.quota.messages import GrantReply, GrantRequest
from berylnotch.quota.owner import QuotaOwner

if TYPE_CHECKING:
    from berylnotch.control.state import ControlState
    from berylnotch.daemon.controller.outside import ExternalClient
    from berylnotch.settings.controller import ControllerSettings

#: Proposes a command; the optional second argument receives the reply.
Propose = Callable[..., None]

#: Interval in seconds between checks of the routers' heartbeats.
_ROUTER_CHECK_INTERVAL_S = 0.25
#: Interval in seconds between commands that expire old claims.
_EXPIRY_INTERVAL_S = 60.0


class _TermState:
    """State that a leader holds in memory during one term."""

    def __init__(
        self,
        now: float,
        term: int,
        quota_owner: QuotaOwner,
        target_watch: TargetWatch,
        order_dispatcher: OrderDispatcher,
    ) -> None:
        self.term = term
        self.quota_owner = quota_owner
        self.target_watch = target_watch
        self.order_dispatcher = order_dispatcher
        self.router_heartbeats = RouterHeartbeats(now)
        self.next_router_check = now + _ROUTER_CHECK_INTERVAL_S
        self.next_expiry = now + _EXPIRY_INTERVAL_S


class Leader:
    """Leader services: quota grants, life states, orders, and expiry of claims.

    The life states are those of routers and targets.

    Parameters
    ----------
    settings : ControllerSettings
        Settings of the process.
    state : ControlState
        Applied state.
    external_client : ExternalClient
        Client for requests to engines and to the platform.
    propose : callable
        Proposes a command.
    """

    def __init__(
        self,
        settings: ControllerSettings,
        state: ControlState,
        external_client: ExternalClient,
        propose: Propose,
    ) -> None:
        self._external_client = external_client
        self._settings = settings
        self._state = state
        self._propose = propose
        self._term_state: _TermState | None = None

    @property
    def quota_owner(self) -> QuotaOwner | None:
        """Quota owner of the current term, None if this controller does not lead."""
        return self._term_state.quota_owner if self._term_state else None

    def start_term(self, now: float, term: int) -> None:
        """Start the services of a term, unless they are running already."""
        if self._term_state is not None and self._term_state.term == term:
            return
        settings, state = self._settings, self._state
        target_watch = TargetWatch(
            settings, state, self._external_client, self._propose
        )
        order_dispatcher = OrderDispatcher(
            settings,
            state,
            self._external_client,
            target_watch,
            self._propose,
            since=now,
        )
        quota_owner = QuotaOwner(settings.quota, term, now)
        self._term_state = _TermState(
            now, term, quota_owner, target_watch, order_dispatcher
        )

    def end_term(self) -> None:
        """Discard the state of the term when leadership is lost."""
        self._term_state = None

    def grant(self, now: float, request: GrantRequest) -> GrantReply:
        """Record a router's heartbeat and answer it with grants.

        Raises
        ------
        RuntimeError
            If no term was started.
        """
        term_state = self._term_state
        if term_state is None:
            raise RuntimeError("cannot grant quota: no leader term was started")
        term_state.router_heartbeats.record(now, request)
        reply = term_state.quota_owner.grant(
            now, request, self._state.fleet.organisations
        )
        shared_version = term_state.router_heartbeats.shared_version(now)
        return evolve(reply, shared_version=shared_version)

    def tick(self, now: float, valid_until: float) -> None:
        """Run the leader's periodic work: reports, orders, life states and expiry.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        valid_until : float
            Monotonic time in seconds at which the leader's lease ends.
        """
        term_state = self._term_state
        if term_state is None:
            return
        term_state.target_watch.tick(now)
        term_state.order_dispatcher.tick(now, valid_until)
        if now >= term_state.next_router_check:
            term_state.next_router_check = now + _ROUTER_CHECK_INTERVAL_S
            for command in term_state.router_heartbeats.life_state_changes(
                now, self._state
            ):
                self._propose(command)
        if now >= term_state.next_expiry:
            term_state.next_expiry = now + _EXPIRY_INTERVAL_S
            retention_ms = int(self._settings.claim_retention_s * 1000)
            self._propose(ExpireClaims(int(time.time() * 1000) - retention_ms))

    def router_lines(self, now: float) -> tuple[RouterLine, ...]:
        """Return the routers for the operators' status report."""
        return (
            self._term_state.router_heartbeats.status_lines(now)
            if self._term_state
            else ()
        )
