"""Health and load of targets as one router sees them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import Factory, define, frozen

from berylnotch.control.commands import Subject
from berylnotch.membership.ejection import Ejection
from berylnotch.membership.lifecycle import TargetLifecycle
from berylnotch.placement.model import Candidate

if TYPE_CHECKING:
    from berylnotch.control.view import View
    from berylnotch.fleet.model import Fleet, Target
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
    ejection: Ejection
    lifecycle: TargetLifecycle = Factory(TargetLifecycle)
    report: LoadReport | None = None
    dispatches: dict[int, Dispatch] = Factory(dict)
    waiting: dict[int, Dispatch] = Factory(dict)


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
        self._out: set[str] = set()
        self._fleet: Fleet | None = None
        self._names: dict[str, tuple[str, ...]] = {}

    def begin(self, now: float, target: str, work_s: float) -> Dispatch:
        """Count a request that is sent to ``target``."""
        record = self._record(target)
        self._number += 1
        dispatch = Dispatch(target, self._number, now, work_s)
        record.dispatches[dispatch.number] = dispatch
        record.waiting[dispatch.number] = dispatch
        record.ejection.sent(now, dispatch.number)
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
        if ok:
            record.ejection.succeeded(dispatch.number, dispatch.sent_at)
        else:
            record.ejection.failed(now, dispatch.number)
            if record.ejection.is_out:
                self._out.add(dispatch.target)

    def abandon(self, dispatch: Dispatch) -> None:
        """Count a request's end that tells nothing, as when its caller left."""
        record = self._record(dispatch.target)
        record.waiting.pop(dispatch.number, None)
        record.dispatches.pop(dispatch.number, None)
        record.ejection.abandoned(dispatch.number)

    def observe(self, target: str, incarnation: str, leaving: bool = False) -> bool:
        """Take a target's own signal, as from an answer's head.

        Returns
        -------
        bool
            Whether it is a new process: what was known of the old one's
            failures, load and cache is over.
        """
        record = self._record(target)
        is_new = record.lifecycle.observe(incarnation, leaving)
        if is_new:
            record.ejection.clear()
            record.report = None
        return is_new

    def report(self, target: str, report: LoadReport) -> bool:
        """Take a load report; late ones are ignored.

        Returns
        -------
        bool
            Whether it came from a new process.
        """
        record = self._record(target)
        if record.lifecycle.is_ended(report.incarnation):
            return False
        is_new = self.observe(target, report.incarnation, report.leaving)
        last = record.report
        if last is None or report.measured_at >= last.measured_at:
            record.report = report
        return is_new

    def names(self, view: View, service: str) -> tuple[str, ...]:
        """Return a service's targets, the same object until the text changes."""
        if view.fleet is not self._fleet:
            self._fleet = view.fleet
            self._names = {}
            self._forget_removed()
        found = self._names.get(service)
        if found is None:
            found = tuple(target.name for target in view.fleet.targets_of(service))
            self._names[service] = found
        return found

    def candidates(
        self,
        now: float,
        view: View,
        service: str,
        shortlist: tuple[str, ...] | None = None,
    ) -> tuple[Candidate, ...]:
        """Build a service's candidates.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        view : View
            The router's copy of the control state.
        service : str
            Name of the service.
        shortlist : tuple of str, optional
            Targets to look at. If fewer than half of them can get work, all of
            the service are looked at.
        """
        names = self.names(view, service)
        ejected = self._ejected(now, names)
        if shortlist is not None and len(shortlist) < len(names):
            found = self._build(now, view, shortlist, ejected)
            if 2 * sum(c.is_usable for c in found) >= len(found):
                return found
        return self._build(now, view, names, ejected)

    def _record(self, target: str) -> _TargetRecord:
        record = self._records.get(target)
        if record is None:
            record = _TargetRecord(Ejection(self._settings))
            self._records[target] = record
        return record

    def _forget_removed(self) -> None:
        known = self._fleet.targets
        gone = [n for n, r in self._records.items() if n not in known]
        for name in gone:
            if not self._records[name].dispatches:
                del self._records[name]
                self._out.discard(name)

    def _ejected(self, now: float, names: tuple[str, ...]) -> frozenset[str]:
        """Return the targets left out now: at most a share of the service."""
        records = self._records
        if not self._out:
            return frozenset()
        self._out = {n for n in self._out if records[n].ejection.is_out}
        blocked = {n for n in self._out if records[n].ejection.blocks(now)}
        out = [name for name in names if name in blocked]
        out.sort(key=lambda name: -records[name].ejection.until)
        limit = int(len(names) * self._settings.eject_share)
        return frozenset(out[:limit])

    def _build(
        self,
        now: float,
        view: View,
        names: tuple[str, ...],
        ejected: frozenset[str],
    ) -> tuple[Candidate, ...]:
        targets = view.fleet.targets
        return tuple(
            self._candidate(now, view, targets[name], name in ejected)
            for name in names
            if name in targets
        )

    def _candidate(
        self, now: float, view: View, target: Target, ejected: bool
    ) -> Candidate:
        name = target.name
        record = self._record(name)
        drained = view.is_draining(Subject.TARGET, name)
        listed = view.life_report(Subject.TARGET, name)
        return Candidate(
            name=name,
            incarnation=record.lifecycle.incarnation,
            failure_domain=target.failure_domain,
            weights=view.weights(name),
            queue_wait_s=self._queue_wait_s(now, record),
            in_flight=len(record.dispatches),
            capacity=target.capacity,
            draining=not record.lifecycle.may_work(drained, listed),
            ejected=ejected,
        )

    def _queue_wait_s(self, now: float, record: _TargetRecord) -> float:
        report = record.report
        waiting = record.waiting.values()
        if report is None or now - report.measured_at > self._settings.report_max_age_s:
            return sum(d.work_s for d in waiting)
        aged = max(0.0, report.queue_wait_s - (now - report.measured_at))
        since = (d.work_s for d in waiting if d.sent_at >= report.measured_at)
        return aged + sum(since)
