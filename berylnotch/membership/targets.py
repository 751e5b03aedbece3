"""Health and load of targets as one router sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from berylnotch.control.commands import LifeState, Subject
from berylnotch.placement.model import Candidate

if TYPE_CHECKING:
    from berylnotch.control.view import View
    from berylnotch.fleet.model import Target
    from berylnotch.membership.settings import MembershipSettings


@frozen
class LoadReport:
    """A target's own report.

    Parameters
    ----------
    incarnation : str
        Identity of the target's running process.
    measured_at : float
        Router's monotonic time at which it was true, in seconds.
    queue_wait_s : float
        Work that was queued then.
    running : int
        Requests that ran then.
    leaving : bool
        Whether the target says that it is leaving.
    """

    incarnation: str
    measured_at: float
    queue_wait_s: float
    running: int = 0
    leaving: bool = False


@frozen
class Dispatch:
    """A request of this router at a target; ``work_s`` is its expected work."""

    target: str
    number: int
    sent_at: float
    work_s: float


@define
class _TargetRecord:
    report: LoadReport | None = None
    dispatches: dict[int, Dispatch] = Factory(dict)
    waiting: dict[int, Dispatch] = Factory(dict)
    failures: int = 0
    ejected_until: float = 0.0
    eject_s: float = 0.0
    probe: int = 0
    leaving_incarnation: str | None = None


class TargetHealth:
    """In-flight requests, failures and load reports of every target.

    Parameters
    ----------
    settings : MembershipSettings
        Ejection limits.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._records: dict[str, _TargetRecord] = {}
        self._number = 0

    def begin(self, now: float, target: str, work_s: float) -> Dispatch:
        """Count a request that is sent to ``target``."""
        record = self._record(target)
        self._number += 1
        dispatch = Dispatch(target, self._number, now, work_s)
        record.dispatches[dispatch.number] = dispatch
        record.waiting[dispatch.number] = dispatch
        if record.ejected_until and now >= record.ejected_until:
            record.probe = dispatch.number
        return dispatch

    def first_token(self, dispatch: Dispatch) -> None:
        """Note that the target has computed the prompt."""
        self._record(dispatch.target).waiting.pop(dispatch.number, None)

    def finish(self, now: float, dispatch: Dispatch, ok: bool) -> None:
        """Count a request's end; ``ok`` is false if the target failed it."""
        record = self._record(dispatch.target)
        record.waiting.pop(dispatch.number, None)
        if record.dispatches.pop(dispatch.number, None) is None:
            return
        probed = record.probe == dispatch.number
        if probed:
            record.probe = 0
        if ok:
            record.failures = 0
            record.ejected_until = 0.0
            record.eject_s = 0.0
            return
        record.failures += 1
        if probed or record.failures == self._settings.eject_after:
            self._eject(now, record)

    def report(self, target: str, report: LoadReport) -> None:
        """Take a load report; an older one than the last is ignored."""
        record = self._record(target)
        last = record.report
        if last is not None and report.measured_at < last.measured_at:
            return
        if report.leaving:
            record.leaving_incarnation = report.incarnation
        record.report = report

    def candidates(self, now: float, view: View, service: str) -> tuple[Candidate, ...]:
        """Build the candidates of a service, in the order of the text."""
        targets = view.fleet.targets_of(service)
        ejected = self._ejected(now, [t.name for t in targets])
        return tuple(self._candidate(now, view, t, ejected) for t in targets)

    def _record(self, target: str) -> _TargetRecord:
        return self._records.setdefault(target, _TargetRecord())

    def _eject(self, now: float, record: _TargetRecord) -> None:
        doubled = record.eject_s * 2 or self._settings.eject_s
        record.eject_s = min(doubled, self._settings.eject_max_s)
        record.ejected_until = now + record.eject_s

    def _ejected(self, now: float, names: list[str]) -> frozenset[str]:
        """Return the targets left out now, the latest failures first."""
        out = [name for name in names if self._is_ejected(now, name)]
        out.sort(key=lambda name: -self._record(name).ejected_until)
        limit = int(len(names) * self._settings.eject_share)
        return frozenset(out[:limit])

    def _is_ejected(self, now: float, name: str) -> bool:
        record = self._record(name)
        if not record.ejected_until:
            return False
        return now < record.ejected_until or record.probe != 0

    def _candidate(
        self, now: float, view: View, target: Target, ejected: frozenset[str]
    ) -> Candidate:
        record = self._record(target.name)
        return Candidate(
            name=target.name,
            incarnation=record.report.incarnation if record.report else "",
            failure_domain=target.failure_domain,
            weights=view.weights(target.name),
            queue_wait_s=self._queue_wait_s(now, record),
            in_flight=len(record.dispatches),
            capacity=target.capacity,
            draining=self._is_draining(view, record, target.name),
            ejected=target.name in ejected,
        )

    def _is_draining(self, view: View, record: _TargetRecord, name: str) -> bool:
        if view.is_draining(Subject.TARGET, name):
            return True
        if view.life_state(Subject.TARGET, name) in (LifeState.LEAVING, LifeState.LOST):
            return True
        report = record.report
        return report is not None and record.leaving_incarnation == report.incarnation

    def _queue_wait_s(self, now: float, record: _TargetRecord) -> float:
        report = record.report
        if report is None or now - report.measured_at > self._settings.report_max_age_s:
            return sum(d.work_s for d in record.waiting.values())
        aged = max(0.0, report.queue_wait_s - (now - report.measured_at))
        since = (d for d in record.waiting.values() if d.sent_at >= report.measured_at)
        return aged + sum(d.work_s for d in since)
