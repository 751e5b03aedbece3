"""Rollout of announced weights to the engines, by fenced orders of the leader."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from berylnotch.daemon.fleet.order_lease import OrderLease
from berylnotch.daemon.fleet.survey import CALL_TIMEOUT_S, EngineSurvey
from berylnotch.errors import GatewayError
from berylnotch.membership.announced_weights import AnnouncedWeights
from berylnotch.membership.inventory import TargetInventory
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import HttpRequest, HttpResponse
from berylnotch.orders.rolling import URGENT_SHARE, WeightsLoad, next_loads
from berylnotch.platform.targets import (
    EngineReport,
    WeightsOrder,
    decode_report,
    order_request,
    report_request,
)
from berylnotch.util.address import parse_address
from berylnotch.util.clock import boot_time
from berylnotch.util.lines import EventLog
from berylnotch.util.loop import Loop

#: Longest time in seconds for which an engine is emptied of long requests before it
#: loads. The engine serves short requests while it is emptied.
MAX_EMPTYING_S = 4.0

#: Longest time in seconds for which an engine with overdue weights is emptied. Runs
#: that can move to another engine move within this time.
MAX_EMPTYING_OVERDUE_S = 0.5

#: Share of the configured `weights_s` limit after which older weights are overdue.
OVERDUE_SHARE = 0.85

#: Seconds from notifying routers that an engine is being emptied until their last long
#: requests have been reported, and the interval in seconds between two checks for the
#: end of the long requests.
EMPTYING_REPORT_DELAY_S = 0.1
EMPTYING_CHECK_INTERVAL_S = 0.05

#: Seconds between marking an engine as loading and sending its order. Routers send
#: their last request to the engine within this delay.
ORDER_DELAY_S = 0.05

#: Seconds from an order to the first poll of its result, while no load time is known.
DEFAULT_FIRST_POLL_DELAY_S = 0.5

#: Share of the shortest measured load time after which the first poll is made.
FIRST_POLL_SHARE = 0.9

#: Seconds between two polls. A poll costs less than an engine that stays idle.
POLL_INTERVAL_S = 0.12

#: Seconds that must have passed since an order before a report of an idle engine means
#: that the engine does not carry the order out.
IDLE_TIMEOUT_S = 0.8

#: Seconds after an order until an engine without a readable report counts as failed.
#: The engine gets a new order after the back-off.
ORDER_TIMEOUT_S = 5.0

#: Back-off in seconds before an engine that failed gets another order.
FAILURE_BACKOFF_S = 1.0


@define
class _Load:
    """A load of weights in progress."""

    planned: WeightsLoad
    target: ListedTarget
    started_at: float
    ordered_at: float = 0.0
    has_ended: bool = False
    #: Whether an earlier leader sent the order.
    is_adopted: bool = False


class WeightsRollout:
    """Weight loads in progress during one term of a leader.

    Parameters
    ----------
    loop : Loop
        Event loop of the process.
    inventory : TargetInventory
        All targets.
    announced_weights : AnnouncedWeights
        Announced versions and the times at which they were announced.
    order_lease : OrderLease
        Lease for sending orders, held by one controller at a time.
    is_active : callable
        Returns whether this process holds the leader lease at the current time.
    in_flight_counts : callable
        Returns the number of requests in flight by target id.
    long_requests : callable
        Returns the number of long requests in flight at a target.
    unreachable : callable
        Returns the ids of the targets that routers have ejected.
    holder : str
        Name of this process in orders.
    epoch : int
        Fencing token of this leader.
    weights_s : float
        Seconds after a version was named during which requests may start on older
        versions.
    on_change : callable
        Called when an engine starts or ends being emptied or loading.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        loop: Loop,
        inventory: TargetInventory,
        announced_weights: AnnouncedWeights,
        order_lease: OrderLease,
        is_active: Callable[[], bool],
        in_flight_counts: Callable[[], dict[str, int]],
        long_requests: Callable[[str], int],
        unreachable: Callable[[], frozenset[str]],
        holder: str,
        epoch: int,
        weights_s: float,
        on_change: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._loop = loop
        self._inventory = inventory
        self._announced_weights = announced_weights
        self._order_lease = order_lease
        self._is_active = is_active
        self._in_flight_counts = in_flight_counts
        self._long_requests = long_requests
        self._unreachable = unreachable
        self._holder = holder
        self._epoch = epoch
        self._urgent_after_s = URGENT_SHARE * weights_s
        self._overdue_after_s = OVERDUE_SHARE * weights_s
        #: Shortest time in seconds from an order to the end of its load.
        self._min_load_s: float | None = None
        self._on_change = on_change
        self._log = log
        self._loads: dict[str, _Load] = {}
        self._backoff_until: dict[str, float] = {}
        self._is_closed = False
        self._survey = EngineSurvey(loop, self._on_survey_report, log)

    def close(self) -> None:
        """Send no further orders."""
        self._is_closed = True
        self._survey.close()

    def survey(self) -> None:
        """Query the engines that have outdated weights according to the target list.

        The list lags by some seconds: an engine may have loaded newer weights in the
        meantime, or may be carrying out an order of an earlier leader.
        """
        newest_versions = self._announced_weights.versions()
        self._survey.query(
            target
            for target in self._inventory.targets()
            if any(m.version < newest_versions.get(m.name, 0) for m in target.models)
        )

    def _on_survey_report(self, target: ListedTarget, report: EngineReport) -> None:
        if self._is_closed:
            return
        newest_versions = self._announced_weights.versions()
        for model in report.models:
            self._inventory.record_engine_weights(boot_time(), target.target_id, model)
        model = next((m for m in report.models if m.name in newest_versions), None)
        if report.is_busy and model is not None:
            self._adopt_load(target, model.name, newest_versions[model.name])
        self._on_change()

    def _adopt_load(self, target: ListedTarget, model: str, version: int) -> None:
        """Track a load that an earlier leader ordered."""
        if target.target_id in self._loads:
            return
        now = boot_time()
        planned = WeightsLoad(target.target_id, model, version)
        load = _Load(planned, target, now, ordered_at=now, is_adopted=True)
        self._loads[target.target_id] = load
        self._inventory.mark_loading(now, target.target_id)
        self._loop.call_later(POLL_INTERVAL_S, lambda: self._poll(load))

    def advance(self) -> None:
        """Start the loads that are due."""
        newest_versions = self._announced_weights.versions()
        if self._is_closed or not newest_versions or not self._is_active():
            return
        now = boot_time()
        excluded = {
            target_id
            for target_id, ends_at in self._backoff_until.items()
            if ends_at > now
        }
        # Engines with urgent loads must load now, even if routers cannot reach them.
        excluded |= self._unreachable() - self._outdated_targets(
            now, self._urgent_after_s
        )
        loads = next_loads(
            self._inventory.targets(),
            newest_versions,
            self._loads.keys(),
            excluded,
            self._in_flight_counts(),
            lambda model, version: self._announced_weights.outdated_s(
                now, model, version
            ),
            self._urgent_after_s,
        )
        if loads and not self._order_lease.is_held:
            self._order_lease.request()
            return
        for planned in loads:
            target = self._inventory.target(planned.target_id)
            load = _Load(planned, target, now)
            self._loads[planned.target_id] = load
            self._order_lease.on_load_started()
            if not self._long_requests(planned.target_id):
                self._start_loading(load)
            else:
                self._inventory.mark_emptying(planned.target_id)
                self._loop.call_later(
                    EMPTYING_REPORT_DELAY_S,
                    lambda load=load: self._wait_until_empty(load),
                )
            self._log.info(
                "load_begun",
                target=planned.target_id,
                model=planned.model,
                version=planned.version,
                was=_version(target, planned.model),
                list_age_s=now - (self._inventory.listed_at or now),
            )
        if loads:
            self._on_change()

    def _start_loading(self, load: _Load) -> None:
        """Take an engine out of routing and schedule its order."""
        self._inventory.mark_loading(boot_time(), load.planned.target_id)
        self._loop.call_later(ORDER_DELAY_S, lambda: self._request_report(load))
        self._on_change()

    def _wait_until_empty(self, load: _Load) -> None:
        """Start a load once long requests have ended or the emptying time is over."""
        if self._check_ended(load):
            return
        target_id, now = load.planned.target_id, boot_time()
        is_overdue = target_id in self._outdated_targets(now, self._overdue_after_s)
        max_emptying_s = MAX_EMPTYING_OVERDUE_S if is_overdue else MAX_EMPTYING_S
        is_emptying_time_over = now - load.started_at > max_emptying_s
        if is_emptying_time_over or not self._long_requests(target_id):
            self._start_loading(load)
        else:
            self._loop.call_later(
                EMPTYING_CHECK_INTERVAL_S, lambda: self._wait_until_empty(load)
            )

    def _outdated_targets(self, now: float, after_s: float) -> frozenset[str]:
        """Return the targets whose weights are outdated for more than ``after_s``."""
        return frozenset(
            target.target_id
            for target in self._inventory.targets()
            for model in target.models
            if self._announced_weights.outdated_s(now, model.name, model.version)
            > after_s
        )

    def _call(
        self,
        load: _Load,
        request: HttpRequest,
        on_done: Callable[[HttpResponse | None, str], None],
    ) -> None:
        address = parse_address(load.target.address)
        fetch(self._loop, address, request, CALL_TIMEOUT_S, on_done)

    def _request_report(self, load: _Load) -> None:
        if self._check_ended(load):
            return
        request = report_request(load.target.address)
        self._call(
            load,
            request,
            lambda response, failure: self._on_report_response(load, response, failure),
        )

    def _on_report_response(
        self, load: _Load, response: HttpResponse | None, failure: str
    ) -> None:
        if self._check_ended(load):
            return
        report = self._decode_report(load, response, failure)
        if report is None:
            self._end_load(load, f"no report: {failure}", FAILURE_BACKOFF_S)
        elif self._is_loaded(load, report):
            self._finish_load(load, report)
        elif report.is_busy:
            load.ordered_at = boot_time()
            self._loop.call_later(POLL_INTERVAL_S, lambda: self._poll(load))
        elif not self._order_lease.is_held or not self._is_active():
            self._end_load(
                load,
                "this leader does not hold the right to send orders",
                FAILURE_BACKOFF_S,
            )
        else:
            self._send_order(load, report)

    def _send_order(self, load: _Load, report: EngineReport) -> None:
        load.ordered_at = boot_time()
        order = WeightsOrder(
            load.planned.model,
            load.planned.version,
            self._holder,
            self._epoch,
            load.planned.target_id,
            report.orders_taken,
        )
        self._log.info(
            "order_sent",
            target=order.target_id,
            model=order.model,
            version=order.version,
            epoch=order.epoch,
            orders_taken=order.orders_taken,
        )
        request = order_request(load.target.address, order)
        self._call(
            load,
            request,
            lambda response, failure: self._on_order_response(load, response, failure),
        )

    def _on_order_response(
        self, load: _Load, response: HttpResponse | None, failure: str
    ) -> None:
        if self._check_ended(load):
            return
        status = response.status if response is not None else 0
        self._log.info(
            "order_answered",
            target=load.planned.target_id,
            status=status or "none",
            reason=failure or "answered",
        )
        if status in (400, 412, 421):
            self._end_load(
                load,
                f"engine refused the order with status {status}",
                FAILURE_BACKOFF_S,
            )
        elif status == 200:
            self._loop.call_later(0.0, lambda: self._poll(load))
        elif status == 202:
            self._loop.call_later(self._first_poll_delay_s, lambda: self._poll(load))
        else:
            # The engine may have accepted the order, or may carry it out later.
            self._loop.call_later(POLL_INTERVAL_S, lambda: self._poll(load))

    def _poll(self, load: _Load) -> None:
        if self._check_ended(load):
            return
        request = report_request(load.target.address)
        self._call(
            load,
            request,
            lambda response, failure: self._on_poll_response(load, response, failure),
        )

    def _on_poll_response(
        self, load: _Load, response: HttpResponse | None, failure: str
    ) -> None:
        if self._check_ended(load):
            return
        report = self._decode_report(load, response, failure)
        waited_s = boot_time() - load.ordered_at
        if report is None:
            if waited_s > ORDER_TIMEOUT_S:
                self._end_load(load, f"no report: {failure}", FAILURE_BACKOFF_S)
                return
        elif self._is_loaded(load, report):
            self._record_load_time(waited_s)
            self._finish_load(load, report)
            return
        elif not report.is_busy and waited_s > IDLE_TIMEOUT_S:
            # Reports lag, so an idle engine is conclusive only after IDLE_TIMEOUT_S.
            self._finish_load(load, report)
            return
        self._loop.call_later(POLL_INTERVAL_S, lambda: self._poll(load))

    @property
    def _first_poll_delay_s(self) -> float:
        if self._min_load_s is None:
            return DEFAULT_FIRST_POLL_DELAY_S
        return FIRST_POLL_SHARE * self._min_load_s

    def _record_load_time(self, load_time_s: float) -> None:
        if self._min_load_s is None or load_time_s < self._min_load_s:
            self._min_load_s = load_time_s

    def _decode_report(
        self, load: _Load, response: HttpResponse | None, failure: str
    ) -> EngineReport | None:
        if response is None:
            return None
        try:
            return decode_report(response)
        except GatewayError as error:
            self._log.warning(
                "report_unreadable", target=load.planned.target_id, reason=str(error)
            )
            return None

    def _is_loaded(self, load: _Load, report: EngineReport) -> bool:
        if report.is_busy:
            return False
        planned = load.planned
        return any(
            m.name == planned.model and m.version >= planned.version
            for m in report.models
        )

    def _finish_load(self, load: _Load, report: EngineReport) -> None:
        for model in report.models:
            if model.name == load.planned.model:
                version = ModelVersion(model.name, model.version)
                self._inventory.record_engine_weights(
                    boot_time(), load.planned.target_id, version
                )
        self._end_load(load, "", 0.0)

    def _end_load(self, load: _Load, reason: str, backoff_s: float) -> None:
        target_id, now = load.planned.target_id, boot_time()
        load.has_ended = True
        if not load.is_adopted:
            self._order_lease.on_load_ended()
        self._loads.pop(target_id, None)
        self._inventory.mark_serving(target_id)
        if backoff_s:
            self._backoff_until[target_id] = now + backoff_s
        self._log.info(
            "load_ended",
            target=target_id,
            version=load.planned.version,
            outcome=reason or "loaded",
            took_s=now - load.started_at,
        )
        self._on_change()
        self.advance()

    def _check_ended(self, load: _Load) -> bool:
        """Return whether a load is over; end a load whose target left or restarted."""
        if self._is_closed or load.has_ended:
            return True
        current = self._inventory.target(load.planned.target_id)
        if current is None or current.born_ms != load.target.born_ms:
            self._end_load(load, "target was removed or restarted", 0.0)
            return True
        return False


def _version(target: ListedTarget, model: str) -> int:
    return next((m.version for m in target.models if m.name == model), 0)
