"""Polling of the platform's VM list and of the engines' load reports."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen
from loguru import logger

from berylnotch.control.commands import FinishOrder, LifeState, SetLifeState, Subject
from berylnotch.fleet.model import ServiceKind
from berylnotch.gateways.engine import EngineAddress
from berylnotch.gateways.load import TargetLoad, build_load, read_load
from berylnotch.gateways.vmlist import VmList, VmState, build_vms, read_vms

if TYPE_CHECKING:
    from berylnotch.control.state import ControlState
    from berylnotch.daemon.controller.outside import ExternalClient
    from berylnotch.errors import GatewayError
    from berylnotch.fleet.model import Target
    from berylnotch.gateways.vmlist import ListedVm
    from berylnotch.settings.controller import ControllerSettings

#: Interval in seconds between requests for the platform's VM list.
LIST_INTERVAL_S = 2.0
#: Interval in seconds between load requests to one engine.
LOAD_INTERVAL_S = 1.0
_REQUEST_TIMEOUT_S = 1.0
#: Source in life states that come from the platform's VM list.
PLATFORM = "platform"
#: Source in life states that come from the target's own load report.
TARGET = "target"


@frozen
class _ReceivedLoad:
    """Newest load report of an engine, and its request time in monotonic seconds."""

    requested_at: float
    load: TargetLoad


class TargetWatch:
    """Polls the platform and the engines, and proposes changes of the control state.

    A target that the platform or the target itself reports as leaving stays in this
    state for its incarnation: an outdated VM list does not end the state, but a new
    process of the target does.

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
        propose: Callable[[object], None],
    ) -> None:
        self._settings = settings
        self._state = state
        self._external_client = external_client
        self._propose = propose
        self._loads: dict[str, _ReceivedLoad] = {}
        self._next_list_at = 0.0
        self._skipped_vms = 0
        self._next_load_at: dict[str, float] = {}

    def load(self, target: str) -> TargetLoad | None:
        """Return the newest load report of an engine, None if there is none."""
        received = self._loads.get(target)
        return received.load if received is not None else None

    def load_requested_at(self, target: str) -> float:
        """Return when the newest load report was requested, in monotonic seconds.

        The result is -inf if there is no load report.
        """
        received = self._loads.get(target)
        return received.requested_at if received is not None else float("-inf")

    def tick(self, now: float) -> None:
        """Send the requests that are due."""
        if self._settings.platform and now >= self._next_list_at:
            self._next_list_at = now + LIST_INTERVAL_S
            request = build_vms(self._settings.platform, _REQUEST_TIMEOUT_S)
            self._external_client.fetch(request, read_vms, self._on_vm_list)
        for target in self._language_engines():
            if now >= self._next_load_at.get(target.name, 0.0):
                self._next_load_at[target.name] = now + LOAD_INTERVAL_S
                self._request_load(now, target)

    def _language_engines(self) -> tuple[Target, ...]:
        fleet = self._state.fleet
        kinds = {name: service.kind for name, service in fleet.services.items()}
        return tuple(
            target
            for target in fleet.targets.values()
            if kinds[target.service] is ServiceKind.LANGUAGE
        )

    def _request_load(self, now: float, target: Target) -> None:
        address = EngineAddress(target.address, self._settings.target_credential)
        request = build_load(address, _REQUEST_TIMEOUT_S)

        def on_done(load: TargetLoad | None, error: GatewayError | None) -> None:
            if load is not None:
                self._loads[target.name] = _ReceivedLoad(now, load)
                self._on_load(target, load)
            elif error is not None:
                logger.debug("event=load_missing target={}", target.name)

        self._external_client.fetch(request, read_load, on_done)

    def _on_load(self, target: Target, load: TargetLoad) -> None:
        view = self._state.view
        order = self._state.order(target.name)
        is_ordered = order is not None and not order.finished_ms
        if not is_ordered and not load.loading:
            if view.weights(target.name) != load.weights:
                self._propose(FinishOrder(target.name, 0, True, load.weights))
        report = view.life_report(Subject.TARGET, target.name)
        if load.leaving:
            self._propose_life_state(
                target.name, load.incarnation, LifeState.LEAVING, TARGET
            )
        elif report is not None and report.incarnation != load.incarnation:
            self._propose_life_state(
                target.name, load.incarnation, LifeState.LIVE, TARGET
            )

    def _on_vm_list(self, vm_list: VmList | None, error: GatewayError | None) -> None:
        if vm_list is None:
            logger.warning("event=platform_list_missing reason={!r}", str(error))
            return
        if vm_list.skipped != self._skipped_vms:
            self._skipped_vms = vm_list.skipped
            logger.warning("event=platform_entries_skipped count={}", vm_list.skipped)
        for listed in vm_list.vms:
            if listed.state is VmState.LEAVING:
                self._mark_leaving(listed)

    def _mark_leaving(self, listed: ListedVm) -> None:
        for target in self._state.fleet.targets.values():
            if _is_on_vm(target, listed):
                load = self.load(target.name)
                incarnation = load.incarnation if load is not None else ""
                self._propose_life_state(
                    target.name, incarnation, LifeState.LEAVING, PLATFORM
                )

    def _propose_life_state(
        self, name: str, incarnation: str, state: LifeState, source: str
    ) -> None:
        report = self._state.view.life_report(Subject.TARGET, name)
        if report is not None:
            recorded = (report.incarnation, report.state)
            if recorded == (incarnation, state):
                return
        self._propose(SetLifeState(Subject.TARGET, name, incarnation, state, source))


def _is_on_vm(target: Target, listed: ListedVm) -> bool:
    if listed.name == target.name or listed.address == target.address:
        return True
    # The platform's list may hold addresses without ports. The host in the
    # target's address then identifies the VM.
    return listed.address == target.address.rpartition(":")[0]
