"""Rolls named weights out to the engines, by fenced orders of the leader."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define

from berylnotch.daemon.fleet.order_right import OrderRight
from berylnotch.daemon.fleet.survey import CALL_S, EngineSurvey
from berylnotch.errors import GatewayError
from berylnotch.membership.board import TargetBoard
from berylnotch.membership.listing import ListedTarget, ModelVersion
from berylnotch.membership.naming import WeightsNames
from berylnotch.net.fetch import fetch
from berylnotch.net.messages import HttpRequest, HttpResponse
from berylnotch.orders.rolling import HURRY_PART, WeightsLoad, next_loads
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
#: loads; it serves short ones meanwhile.
EMPTY_S = 4.0

#: The same for an engine whose weights must not be used for much longer: runs that
#: can go on at another engine have left by then.
EMPTY_OVERDUE_S = 0.5

#: Part of the time that operators allow on older weights from which that holds.
EMPTY_PART = 0.85

#: Seconds from telling routers until their last long request has been reported, and
#: between two looks whether the long requests have ended.
EMPTY_SETTLE_S = 0.1
EMPTY_LOOK_S = 0.05

#: Seconds between marking an engine as loading and its order, so that routers
#: have sent their last request there.
SETTLE_S = 0.05

#: Seconds from an order to the first look whether it was carried out, before any load
#: was measured.
FIRST_LOOK_S = 0.5

#: Part of the shortest load that was measured after which the first look comes.
FIRST_LOOK_PART = 0.9

#: Seconds between two looks; a look costs less than an idle engine.
LOOK_S = 0.12

#: Seconds after which an engine that is not busy carries no order out.
IDLE_S = 0.8

#: Seconds after which an order that shows no effect is given again.
ORDER_S = 5.0

#: Pause in seconds before an engine that failed gets another order.
FAILED_S = 1.0


@define
class _Load:
    """A load that is under way."""

    wanted: WeightsLoad
    target: ListedTarget
    begun_at: float
    ordered_at: float = 0.0
    has_ended: bool = False
    #: Whether an earlier leader ordered it.
    is_followed: bool = False


class WeightsRollout:
    """Loads under way of one leader.

    Parameters
    ----------
    loop : Loop
        Loop in which everything runs.
    board : TargetBoard
        All targets.
    names : WeightsNames
        Named versions, and when each was.
    right : OrderRight
        Right to give orders.
    is_active : callable
        Returns whether this process leads, by a fresh clock.
    busy : callable
        Returns the requests under way at each target.
    long_requests : callable
        Returns the requests under way at a target that take long.
    unreachable : callable
        Returns the targets that routers have left out.
    holder : str
        Name of this process in orders.
    epoch : int
        Fencing number of this leader.
    weights_s : float
        Time after a version was named in which requests may begin on older ones.
    on_change : callable
        Called when an engine begins or ends to load.
    log : EventLog
        Log of the process.
    """

    def __init__(
        self,
        loop: Loop,
        board: TargetBoard,
        names: WeightsNames,
        right: OrderRight,
        is_active: Callable[[], bool],
        busy: Callable[[], dict[str, int]],
        long_requests: Callable[[str], int],
        unreachable: Callable[[], frozenset[str]],
        holder: str,
        epoch: int,
        weights_s: float,
        on_change: Callable[[], None],
        log: EventLog,
    ) -> None:
        self._loop = loop
        self._board = board
        self._names = names
        self._right = right
        self._is_active = is_active
        self._busy = busy
        self._long_requests = long_requests
        self._unreachable = unreachable
        self._holder = holder
        self._epoch = epoch
        self._hurry_s = HURRY_PART * weights_s
        self._empty_until_s = EMPTY_PART * weights_s
        #: Shortest time from an order to the load that it led to.
        self._shortest_load_s: float | None = None
        self._on_change = on_change
        self._log = log
        self._loads: dict[str, _Load] = {}
        self._held_until: dict[str, float] = {}
        self._is_closed = False
        self._survey = EngineSurvey(loop, self._surveyed, log)

    def close(self) -> None:
        """Give no further order."""
        self._is_closed = True
        self._survey.close()

    def survey(self) -> None:
        """Ask the engines that the list shows as outdated; it is some seconds behind.

        They may have loaded meanwhile, or an earlier leader's order is under way.
        """
        wanted = self._names.versions()
        self._survey.ask(
            target
            for target in self._board.targets()
            if any(m.version < wanted.get(m.name, 0) for m in target.models)
        )

    def _surveyed(self, target: ListedTarget, report: EngineReport) -> None:
        if self._is_closed:
            return
        wanted = self._names.versions()
        for model in report.models:
            self._board.loaded(boot_time(), target.target_id, model)
        model = next((m for m in report.models if m.name in wanted), None)
        if report.is_busy and model is not None:
            self._follow(target, model.name, wanted[model.name])
        self._on_change()

    def _follow(self, target: ListedTarget, model: str, version: int) -> None:
        """Watch a load that an earlier leader ordered."""
        if target.target_id in self._loads:
            return
        now = boot_time()
        wanted = WeightsLoad(target.target_id, model, version)
        load = _Load(wanted, target, now, ordered_at=now, is_followed=True)
        self._loads[target.target_id] = load
        self._board.began_loading(now, target.target_id)
        self._loop.call_later(LOOK_S, lambda: self._look(load))

    def advance(self) -> None:
        """Begin the loads that are due."""
        wanted = self._names.versions()
        if self._is_closed or not wanted or not self._is_active():
            return
        now = boot_time()
        held_back = {name for name, until in self._held_until.items() if until > now}
        # They must load now, even if routers do not reach them.
        held_back |= self._unreachable() - self._overdue(now, self._hurry_s)
        loads = next_loads(
            self._board.targets(),
            wanted,
            self._loads.keys(),
            held_back,
            self._busy(),
            lambda model, version: self._names.outdated_s(now, model, version),
            self._hurry_s,
        )
        if loads and not self._right.is_held:
            self._right.ask()
            return
        for due in loads:
            target = self._board.target(due.target_id)
            load = _Load(due, target, now)
            self._loads[due.target_id] = load
            self._right.began()
            if not self._long_requests(due.target_id):
                self._take_away(load)
            else:
                self._board.began_emptying(due.target_id)
                self._loop.call_later(
                    EMPTY_SETTLE_S, lambda load=load: self._wait_until_empty(load)
                )
            self._log.info(
                "load_begun",
                target=due.target_id,
                model=due.model,
                version=due.version,
                was=_version(target, due.model),
                list_age_s=now - (self._board.listed_at or now),
            )
        if loads:
            self._on_change()

    def _take_away(self, load: _Load) -> None:
        """Let routers send nothing more, and order soon."""
        self._board.began_loading(boot_time(), load.wanted.target_id)
        self._loop.call_later(SETTLE_S, lambda: self._ask(load))
        self._on_change()

    def _wait_until_empty(self, load: _Load) -> None:
        """Take an engine away once its long requests have ended, or late."""
        if self._is_over(load):
            return
        target_id, now = load.wanted.target_id, boot_time()
        is_overdue = target_id in self._overdue(now, self._empty_until_s)
        allowed_s = EMPTY_OVERDUE_S if is_overdue else EMPTY_S
        is_late = now - load.begun_at > allowed_s
        if is_late or not self._long_requests(target_id):
            self._take_away(load)
        else:
            self._loop.call_later(EMPTY_LOOK_S, lambda: self._wait_until_empty(load))

    def _overdue(self, now: float, after_s: float) -> frozenset[str]:
        """Return the targets whose weights were outdated for longer than this."""
        return frozenset(
            target.target_id
            for target in self._board.targets()
            for model in target.models
            if self._names.outdated_s(now, model.name, model.version) > after_s
        )

    def _call(
        self,
        load: _Load,
        request: HttpRequest,
        done: Callable[[HttpResponse | None, str], None],
    ) -> None:
        address = parse_address(load.target.address)
        fetch(self._loop, address, request, CALL_S, done)

    def _ask(self, load: _Load) -> None:
        if self._is_over(load):
            return
        request = report_request(load.target.address)
        self._call(load, request, lambda answer, why: self._asked(load, answer, why))

    def _asked(self, load: _Load, answer: HttpResponse | None, why: str) -> None:
        if self._is_over(load):
            return
        report = self._read(load, answer, why)
        if report is None:
            self._end(load, f"no report: {why}", FAILED_S)
        elif self._is_done(load, report):
            self._finish(load, report)
        elif report.is_busy:
            load.ordered_at = boot_time()
            self._loop.call_later(LOOK_S, lambda: self._look(load))
        elif not self._right.is_held or not self._is_active():
            self._end(load, "no right to give orders", FAILED_S)
        else:
            self._order(load, report)

    def _order(self, load: _Load, report: EngineReport) -> None:
        load.ordered_at = boot_time()
        order = WeightsOrder(
            load.wanted.model,
            load.wanted.version,
            self._holder,
            self._epoch,
            load.wanted.target_id,
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
        self._call(load, request, lambda answer, why: self._ordered(load, answer, why))

    def _ordered(self, load: _Load, answer: HttpResponse | None, why: str) -> None:
        if self._is_over(load):
            return
        status = answer.status if answer is not None else 0
        self._log.info(
            "order_answered",
            target=load.wanted.target_id,
            status=status or "none",
            reason=why or "answered",
        )
        if status in (400, 412, 421):
            self._end(load, f"order refused with {status}", FAILED_S)
        elif status == 200:
            self._loop.call_later(0.0, lambda: self._look(load))
        elif status == 202:
            self._loop.call_later(self._first_look_s, lambda: self._look(load))
        else:
            # It may have been accepted, or be carried out later.
            self._loop.call_later(LOOK_S, lambda: self._look(load))

    def _look(self, load: _Load) -> None:
        if self._is_over(load):
            return
        request = report_request(load.target.address)
        self._call(load, request, lambda answer, why: self._looked(load, answer, why))

    def _looked(self, load: _Load, answer: HttpResponse | None, why: str) -> None:
        if self._is_over(load):
            return
        report = self._read(load, answer, why)
        waited_s = boot_time() - load.ordered_at
        if report is None:
            if waited_s > ORDER_S:
                self._end(load, f"no report: {why}", FAILED_S)
                return
        elif self._is_done(load, report):
            self._note_load(waited_s)
            self._finish(load, report)
            return
        elif not report.is_busy and waited_s > IDLE_S:
            # Reports lag, so only a late one proves that nothing happens.
            self._finish(load, report)
            return
        self._loop.call_later(LOOK_S, lambda: self._look(load))

    @property
    def _first_look_s(self) -> float:
        if self._shortest_load_s is None:
            return FIRST_LOOK_S
        return FIRST_LOOK_PART * self._shortest_load_s

    def _note_load(self, took_s: float) -> None:
        if self._shortest_load_s is None or took_s < self._shortest_load_s:
            self._shortest_load_s = took_s

    def _read(
        self, load: _Load, answer: HttpResponse | None, why: str
    ) -> EngineReport | None:
        if answer is None:
            return None
        try:
            return decode_report(answer)
        except GatewayError as error:
            self._log.warning(
                "report_unreadable", target=load.wanted.target_id, reason=str(error)
            )
            return None

    def _is_done(self, load: _Load, report: EngineReport) -> bool:
        if report.is_busy:
            return False
        wanted = load.wanted
        return any(
            m.name == wanted.model and m.version >= wanted.version
            for m in report.models
        )

    def _finish(self, load: _Load, report: EngineReport) -> None:
        for model in report.models:
            if model.name == load.wanted.model:
                version = ModelVersion(model.name, model.version)
                self._board.loaded(boot_time(), load.wanted.target_id, version)
        self._end(load, "", 0.0)

    def _end(self, load: _Load, reason: str, hold_s: float) -> None:
        target_id, now = load.wanted.target_id, boot_time()
        load.has_ended = True
        if not load.is_followed:
            self._right.ended()
        self._loads.pop(target_id, None)
        self._board.stopped_loading(target_id)
        if hold_s:
            self._held_until[target_id] = now + hold_s
        self._log.info(
            "load_ended",
            target=target_id,
            version=load.wanted.version,
            outcome=reason or "loaded",
            took_s=now - load.begun_at,
        )
        self._on_change()
        self.advance()

    def _is_over(self, load: _Load) -> bool:
        if self._is_closed or load.has_ended:
            return True
        current = self._board.target(load.wanted.target_id)
        if current is None or current.born_ms != load.target.born_ms:
            self._end(load, "target is gone or was restarted", 0.0)
            return True
        return False


def _version(target: ListedTarget, model: str) -> int:
    return next((m.version for m in target.models if m.name == model), 0)
