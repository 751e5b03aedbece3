"""Which routers the leader hears, and the life states it proposes for them."""

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

#: Source named in life states that come from heartbeats.
SOURCE = "heartbeat"

#: Seconds without a heartbeat after which a router counts as lost.
LOST_AFTER_S = 5.0


@frozen
class _Heard:
    """The newest heartbeat of a router."""

    at: float
    request: GrantRequest


class Routers:
    """Heartbeats of all routers, kept by the leader only.

    Parameters
    ----------
    now : float
        When this leader took over, in monotonic seconds.
    """

    def __init__(self, now: float) -> None:
        self._since = now
        self._heard: dict[str, _Heard] = {}

    def hear(self, now: float, request: GrantRequest) -> None:
        """Take a heartbeat."""
        self._heard[request.vm] = _Heard(now, request)

    def changes(self, now: float, state: ControlState) -> tuple[SetLifeState, ...]:
        """Return the life states that the log does not hold yet."""
        found = []
        for vm, heard in self._heard.items():
            if vm not in state.fleet.vms:
                continue
            observed = _observed(now, heard)
            if not _is_known(state, observed):
                found.append(observed)
        found.extend(self._never_heard(now, state))
        found.extend(self._lost_claimants(now, state))
        return tuple(found)

    def lines(self, now: float) -> tuple[RouterLine, ...]:
        """Return the routers for operators."""
        return tuple(
            RouterLine(
                vm,
                heard.request.incarnation,
                heard.request.http_address,
                heard.request.failure_domain,
                _observed(now, heard).state.value,
                int((now - heard.at) * 1000),
            )
            for vm, heard in sorted(self._heard.items())
        )

    def _never_heard(self, now: float, state: ControlState) -> list[SetLifeState]:
        # A router that was lost together with the previous leader is not in
        # this leader's memory, but its claims must not stay open.
        if now - self._since < LOST_AFTER_S:
            return []
        found = []
        for vm in state.fleet.vms:
            report = state.view.life_report(Subject.VM, vm)
            if vm in self._heard or report is None or report.state is LifeState.LOST:
                continue
            found.append(
                SetLifeState(Subject.VM, vm, report.incarnation, LifeState.LOST, SOURCE)
            )
        return found

    def _lost_claimants(self, now: float, state: ControlState) -> list[SetLifeState]:
        # A router may be lost between its first claim and its first heartbeat.
        if now - self._since < LOST_AFTER_S:
            return []
        at_ms = int(time.time() * 1000)
        routers = {
            claim.router for claim in state.running_claims if _is_old(claim, at_ms)
        }
        found = []
        for router in sorted(routers):
            vm, _, incarnation = router.partition("/")
            heard = self._heard.get(vm)
            if heard is None or heard.request.incarnation != incarnation:
                found.append(
                    SetLifeState(Subject.VM, vm, incarnation, LifeState.LOST, SOURCE)
                )
        return found


def _is_old(claim: ClaimRecord, at_ms: int) -> bool:
    return at_ms - claim.opened_ms > LOST_AFTER_S * 1000


def _is_known(state: ControlState, observed: SetLifeState) -> bool:
    report = state.view.life_report(observed.subject, observed.name)
    if report is None:
        return False
    known = (report.incarnation, report.state)
    return known == (observed.incarnation, observed.state)


def _observed(now: float, heard: _Heard) -> SetLifeState:
    request = heard.request
    state = LifeState.LIVE
    if request.leaving:
        state = LifeState.LEAVING
    if now - heard.at > LOST_AFTER_S:
        state = LifeState.LOST
    return SetLifeState(Subject.VM, request.vm, request.incarnation, state, SOURCE)
