"""What the leader learns of targets: the platform's list and their own reports."""

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
    from berylnotch.daemon.controller.outside import Outside
    from berylnotch.errors import GatewayError
    from berylnotch.fleet.model import Target
    from berylnotch.gateways.vmlist import ListedVm
    from berylnotch.settings.controller import ControllerSettings

#: Seconds between two looks at the platform's list.
LIST_INTERVAL_S = 2.0
#: Seconds between two reports of one engine.
LOAD_INTERVAL_S = 1.0
_TIMEOUT_S = 1.0
#: Source named in life states that come from the platform's list.
PLATFORM = "platform"
#: Source named in life states that come from the target itself.
TARGET = "target"


@frozen
class _Seen:
    """An engine's newest report and when it was asked for."""

    asked_at: float
    load: TargetLoad


class TargetWatch:
    """Asks the platform and the engines, and proposes what changed.

    A leaving mark of the platform or of the target itself holds for the
    target's incarnation: a list that lags does not undo it, a new process does.

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
        propose: Callable[[object], None],
    ) -> None:
        self._settings = settings
        self._state = state
        self._outside = outside
        self._propose = propose
        self._loads: dict[str, _Seen] = {}
        self._next_list = 0.0
        self._next_load: dict[str, float] = {}

    def load(self, target: str) -> TargetLoad | None:
        """Return the newest report of an engine."""
        seen = self._loads.get(target)
        return seen.load if seen is not None else None

    def load_asked_at(self, target: str) -> float:
        """Return when the newest report was asked for; -inf if there is none."""
        seen = self._loads.get(target)
        return seen.asked_at if seen is not None else float("-inf")

    def tick(self, now: float) -> None:
        """Ask what is due."""
        if self._settings.platform and now >= self._next_list:
            self._next_list = now + LIST_INTERVAL_S
            request = build_vms(self._settings.platform, _TIMEOUT_S)
            self._outside.fetch(request, read_vms, self._take_list)
        for target in self._engines():
            if now >= self._next_load.get(target.name, 0.0):
                self._next_load[target.name] = now + LOAD_INTERVAL_S
                self._ask_load(now, target)

    def _engines(self) -> tuple[Target, ...]:
        fleet = self._state.fleet
        kinds = {name: service.kind for name, service in fleet.services.items()}
        return tuple(
            target
            for target in fleet.targets.values()
            if kinds[target.service] is ServiceKind.LANGUAGE
        )

    def _ask_load(self, now: float, target: Target) -> None:
        address = EngineAddress(target.address, self._settings.target_credential)
        request = build_load(address, _TIMEOUT_S)

        def done(load: TargetLoad | None, error: GatewayError | None) -> None:
            if load is not None:
                self._loads[target.name] = _Seen(now, load)
                self._take_load(target, load)
            elif error is not None:
                logger.debug("event=load_missing target={}", target.name)

        self._outside.fetch(request, read_load, done)

    def _take_load(self, target: Target, load: TargetLoad) -> None:
        view = self._state.view
        order = self._state.order(target.name)
        is_ordered = order is not None and not order.finished_ms
        if not is_ordered and not load.loading:
            if view.weights(target.name) != load.weights:
                self._propose(FinishOrder(target.name, 0, True, load.weights))
        report = view.life_report(Subject.TARGET, target.name)
        if load.leaving:
            self._set(target.name, load.incarnation, LifeState.LEAVING, TARGET)
        elif report is not None and report.incarnation != load.incarnation:
            self._set(target.name, load.incarnation, LifeState.LIVE, TARGET)

    def _take_list(self, found: VmList | None, error: GatewayError | None) -> None:
        if found is None:
            logger.warning("event=platform_list_missing reason={!r}", str(error))
            return
        for listed in found.vms:
            if listed.state is VmState.LEAVING:
                self._mark_leaving(listed)

    def _mark_leaving(self, listed: ListedVm) -> None:
        for target in self._state.fleet.targets.values():
            if _is_on(target, listed):
                load = self.load(target.name)
                incarnation = load.incarnation if load is not None else ""
                self._set(target.name, incarnation, LifeState.LEAVING, PLATFORM)

    def _set(self, name: str, incarnation: str, state: LifeState, source: str) -> None:
        report = self._state.view.life_report(Subject.TARGET, name)
        if report is not None:
            known = (report.incarnation, report.state)
            if known == (incarnation, state):
                return
        self._propose(SetLifeState(Subject.TARGET, name, incarnation, state, source))


def _is_on(target: Target, listed: ListedVm) -> bool:
    if listed.name == target.name or listed.address == target.address:
        return True
    # A list without ports names the VM that the target runs on.
    return listed.address == target.address.rpartition(":")[0]
