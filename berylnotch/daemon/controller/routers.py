"""Heartbeats of routers at the leader, and the life states that follow from them."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.control.commands import LifeState, SetLifeState, Subject
from berylnotch.control.protocol import RouterLine
from berylnotch.quota.messages import GrantRequest

if TYPE_CHECKING:
    from berylnotch.control.commands import ClaimRecord
    from berylnotch.control.state import ControlState

#: Source in life states that are derived from heartbeats.
SOURCE = "heartbeat"

#: Seconds without a heartbeat after which a router counts as lost.
LOST_AFTER_S = 5.0

#: Seconds without a heartbeat after which the version of a router's view is not waited
#: for: the time for which a router serves requests on an unconfirmed view.
SHARED_MAX_AGE_S = 2.0


@frozen
class _ReceivedHeartbeat:
    """Newest heartbeat of a router, received at a monotonic time in seconds."""

    received_at: float
    request: GrantRequest


class RouterHeartbeats:
    """Newest heartbeats of all routers, held in the leader's memory.

    Parameters
    ----------
    now : float
        Monotonic time in seconds at which this controller became the leader.
    """

    def __init__(self, now: float) -> None:
        self._leading_since = now
        self._heartbeats: dict[str, _ReceivedHeartbeat] = {}

    def record(self, now: float, request: GrantRequest) -> None:
        """Record a heartbeat."""
        self._heartbeats[request.vm] = _ReceivedHeartbeat(now, request)

    def shared_version(self, now: float) -> int:
        """Return the version that the views of all live routers have reached.

        A router without a recent heartbeat is frozen, lost or cut off. It refuses
        requests with a key once its view can no longer be confirmed. The version is 0
        while this leader may not have heard from all live routers yet.
        """
        if now - self._leading_since <= SHARED_MAX_AGE_S:
            return 0
        return min(
            (
                heartbeat.request.view_version
                for heartbeat in self._heartbeats.values()
                if now - heartbeat.received_at <= SHARED_MAX_AGE_S
            ),
            default=0,
        )

    def life_state_changes(
        self, now: float, state: ControlState
    ) -> tuple[SetLifeState, ...]:
        """Return commands for the life states that differ from the control state."""
        commands = []
        for vm, heartbeat in self._heartbeats.items():
            if vm not in state.fleet.vms:
                continue
            observed = _observed_life_state(now, heartbeat)
            if not _is_recorded(state, observed):
                commands.append(observed)
        commands.extend(self._lost_before_term(now, state))
        commands.extend(self._lost_claimants(now, state))
        return tuple(commands)

    def status_lines(self, now: float) -> tuple[RouterLine, ...]:
        """Return the routers for the operators' status report."""
        return tuple(
            RouterLine(
                vm,
                heartbeat.request.incarnation,
                heartbeat.request.http_address,
                heartbeat.request.failure_domain,
                _observed_life_state(now, heartbeat).state.value,
                int((now - heartbeat.received_at) * 1000),
            )
            for vm, heartbeat in sorted(self._heartbeats.items())
        )

    def _lost_before_term(self, now: float, state: ControlState) -> list[SetLifeState]:
        # A router that was lost together with the previous leader never sent a
        # heartbeat to this leader, but its claims must not stay open.
        if now - self._leading_since < LOST_AFTER_S:
            return []
        commands = []
        for vm in state.fleet.vms:
            report = state.view.life_report(Subject.VM, vm)
            if (
                vm in self._heartbeats
                or report is None
                or report.state is LifeState.LOST
            ):
                continue
            commands.append(
                SetLifeState(Subject.VM, vm, report.incarnation, LifeState.LOST, SOURCE)
            )
        return commands

    def _lost_claimants(self, now: float, state: ControlState) -> list[SetLifeState]:
        # A router that is lost between its first claim and its first heartbeat has no
        # life state, but its claims must not stay open.
        if now - self._leading_since < LOST_AFTER_S:
            return []
        now_ms = int(time.time() * 1000)
        routers = {
            claim.router
            for claim in state.running_claims
            if _is_claim_past_lost_timeout(claim, now_ms)
        }
        commands = []
        for router in sorted(routers):
            vm, _, incarnation = router.partition("/")
            heartbeat = self._heartbeats.get(vm)
            if heartbeat is None or heartbeat.request.incarnation != incarnation:
                commands.append(
                    SetLifeState(Subject.VM, vm, incarnation, LifeState.LOST, SOURCE)
                )
        return commands


def _is_claim_past_lost_timeout(claim: ClaimRecord, now_ms: int) -> bool:
    return now_ms - claim.opened_ms > LOST_AFTER_S * 1000


def _is_recorded(state: ControlState, observed: SetLifeState) -> bool:
    report = state.view.life_report(observed.subject, observed.name)
    if report is None:
        return False
    recorded = (report.incarnation, report.state)
    return recorded == (observed.incarnation, observed.state)


def _observed_life_state(now: float, heartbeat: _ReceivedHeartbeat) -> SetLifeState:
    request = heartbeat.request
    state = LifeState.LIVE
    if request.leaving:
        state = LifeState.LEAVING
    if now - heartbeat.received_at > LOST_AFTER_S:
        state = LifeState.LOST
    return SetLifeState(Subject.VM, request.vm, request.incarnation, state, SOURCE)
