"""Answers to operators' calls about rollouts of software versions."""

from __future__ import annotations

import time
from collections.abc import Callable

from berylnotch.daemon.fleet.replica_host import ReplicaHost
from berylnotch.errors import GatewayError
from berylnotch.group.commands import StartRollout
from berylnotch.group.rollout_changes import is_repetition
from berylnotch.group.state import FleetState
from berylnotch.net.messages import HttpRequest
from berylnotch.net.server import ServerConnection
from berylnotch.platform.configuration import decode_held_configuration
from berylnotch.platform.operators import (
    OperatorCall,
    RolloutOrder,
    decode_rollout_order,
    decode_rollout_service,
    rollout_body,
)
from berylnotch.settings.fleet import FleetBounds
from berylnotch.transport.packing import pack

_ROLLOUT_CALLS = (OperatorCall.START_ROLLOUT, OperatorCall.GET_ROLLOUT)


class RolloutCalls:
    """Starts rollouts and shows their states; only at the leader, as all calls.

    Parameters
    ----------
    bounds : FleetBounds
        Limits of the fleet; they state whether there are rollouts.
    host : ReplicaHost
        Replica that commits commands.
    state : FleetState
        Replicated state.
    answer : callable
        Answers a request with a status, a reason for the log and optionally a body.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        host: ReplicaHost,
        state: FleetState,
        answer: Callable[..., None],
    ) -> None:
        self._bounds = bounds
        self._host = host
        self._state = state
        self._answer = answer

    def is_known(self, call: OperatorCall) -> bool:
        """Return whether the deployment has a call; any but those of rollouts."""
        return self._bounds.has_rollouts or call not in _ROLLOUT_CALLS

    def show(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Answer with the state of a service's newest rollout."""
        service = decode_rollout_service(request)
        rollout = self._state.rollouts.get(service)
        if rollout is None:
            self._answer(connection, request, 404, "the service has no rollout")
            return
        self._answer(
            connection,
            request,
            200,
            f"rollout {rollout.number} is {rollout.phase.value}",
            rollout_body(rollout.phase, rollout.version),
        )

    def start(self, connection: ServerConnection, request: HttpRequest) -> None:
        """Start a rollout, or acknowledge an order that was accepted before."""
        try:
            order = decode_rollout_order(request)
        except GatewayError as error:
            self._answer(connection, request, 400, str(error))
            return
        started_ms = int(time.time() * 1000)
        # An order that was accepted is acknowledged again, also if the service has been
        # removed from the configuration since.
        status, reason = self._outcome(order, started_ms)
        if not status and not self._state.version:
            status, reason = 503, "no configuration yet"
        elif not status and not self._is_configured(order.service):
            status, reason = 422, f"no service {order.service} is configured"
        if status:
            self._answer(connection, request, status, reason)
            return

        def on_outcome(is_committed: bool) -> None:
            status, reason = 0, ""
            if is_committed:
                # Another order may have been committed before this one. If its rollout
                # has ended since, the operator has to send this order again.
                status, reason = self._outcome(order, started_ms)
            if not status:
                status, reason = 503, f"{order.service}: outcome unknown"
            self._answer(connection, request, status, reason)

        command = StartRollout(
            order.service, order.version, order.duration_s, started_ms
        )
        self._host.propose(pack(command), on_outcome)

    def _outcome(self, order: RolloutOrder, started_ms: int) -> tuple[int, str]:
        """Return status and reason of an order that the state decides; 0 if it is new.

        An order that was committed is a repetition of itself.
        """
        rollout = self._state.rollouts.get(order.service)
        if rollout is None:
            return 0, ""
        if is_repetition(rollout, order.version, started_ms):
            return 200, f"rollout {rollout.number} to {rollout.version}"
        if rollout.phase.is_active:
            return 409, f"rollout {rollout.number} to {rollout.version} is active"
        return 0, ""

    def _is_configured(self, service: str) -> bool:
        configuration = decode_held_configuration(self._state.content)
        return any(s.name == service for s in configuration.services)
