"""Health and load of targets as one router observes them."""

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
    """A target's report of its own load.

    Parameters
    ----------
    incarnation : str
        Identity of the target's running process.
    measured_at : float
        Point of the router's monotonic time, in seconds, at which the report was valid.
    queue_wait_s : float
        Seconds of work that were queued at ``measured_at``.
    running : int
        Number of requests that ran at ``measured_at``.
    leaving : bool
        Whether the target signals that it is leaving.
    """

    incarnation: str
    measured_at: float
    queue_wait_s: float
    running: int = 0
    leaving: bool = False


@frozen
class Dispatch:
    """A request that this router sent to a target.

    ``sent_at`` is a monotonic time in seconds, ``work_s`` the expected work of the
    request in seconds.
    """

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
    awaiting_first_token: dict[int, Dispatch] = Factory(dict)


class TargetHealth:
    """In-flight requests, failures and load reports of all targets.

    Parameters
    ----------
    settings : MembershipSettings
        Ejection limits.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._records: dict[str, _TargetRecord] = {}
        self._last_dispatch_number = 0
        #: Targets that were ejected and whose ejection may not have ended.
        self._ejected_targets: set[str] = set()
        self._fleet: Fleet | None = None
        self._names_by_service: dict[str, tuple[str, ...]] = {}

    def record_sent(self, now: float, target: str, work_s: float) -> Dispatch:
        """Record a request that is sent to ``target``."""
        record = self._get_record(target)
        self._last_dispatch_number += 1
        dispatch = Dispatch(target, self._last_dispatch_number, now, work_s)
        record.dispatches[dispatch.number] = dispatch
        record.awaiting_first_token[dispatch.number] = dispatch
        record.ejection.on_sent(now, dispatch.number)
        return dispatch

    def first_token(self, dispatch: Dispatch) -> None:
        """Record that the target has finished the prefill of a request."""
        self._get_record(dispatch.target).awaiting_first_token.pop(
            dispatch.number, None
        )

    def record_end(self, now: float, dispatch: Dispatch, ok: bool) -> None:
        """Record a request's end; ``ok`` is false if the target failed to serve it."""
        record = self._get_record(dispatch.target)
        record.awaiting_first_token.pop(dispatch.number, None)
        if record.dispatches.pop(dispatch.number, None) is None:
            return
        if ok:
            record.ejection.on_success(dispatch.number, dispatch.sent_at)
        else:
            record.ejection.on_failure(now, dispatch.number)
            if record.ejection.is_ejected:
                self._ejected_targets.add(dispatch.target)

    def record_abandoned(self, dispatch: Dispatch) -> None:
        """Record the end of a request that says nothing about its target's health.

        An example is a request whose caller disconnected.
        """
        record = self._get_record(dispatch.target)
        record.awaiting_first_token.pop(dispatch.number, None)
        record.dispatches.pop(dispatch.number, None)
        record.ejection.on_abandoned(dispatch.number)

    def observe(self, target: str, incarnation: str, leaving: bool = False) -> bool:
        """Process a signal from a target itself, such as the headers of an answer.

        Returns
        -------
        bool
            Whether the signal came from a new process. The failures and the load
            report of the old process are then discarded, and its cache is lost.
        """
        record = self._get_record(target)
        is_new = record.lifecycle.observe(incarnation, leaving)
        if is_new:
            record.ejection.clear()
            record.report = None
        return is_new

    def report(self, target: str, report: LoadReport) -> bool:
        """Store a load report; late reports are ignored.

        Returns
        -------
        bool
            Whether the report came from a new process.
        """
        record = self._get_record(target)
        if record.lifecycle.is_replaced(report.incarnation):
            return False
        is_new = self.observe(target, report.incarnation, report.leaving)
        previous = record.report
        if previous is None or report.measured_at >= previous.measured_at:
            record.report = report
        return is_new

    def names(self, view: View, service: str) -> tuple[str, ...]:
        """Return the names of a service's targets.

        The same object is returned until the configuration changes.
        """
        if view.fleet is not self._fleet:
            self._fleet = view.fleet
            self._names_by_service = {}
            self._discard_removed_targets()
        names = self._names_by_service.get(service)
        if names is None:
            names = tuple(target.name for target in view.fleet.targets_of(service))
            self._names_by_service[service] = names
        return names

    def candidates(
        self,
        now: float,
        view: View,
        service: str,
        shortlist: tuple[str, ...] | None = None,
    ) -> tuple[Candidate, ...]:
        """Build the placement candidates of a service.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        view : View
            The router's copy of the control state.
        service : str
            Name of the service.
        shortlist : tuple of str, optional
            Targets to consider. If fewer than half of them are usable, all targets
            of the service are considered.
        """
        names = self.names(view, service)
        ejected = self._list_ejected(now, names)
        if shortlist is not None and len(shortlist) < len(names):
            candidates = self._build_candidates(now, view, shortlist, ejected)
            if 2 * sum(c.is_usable for c in candidates) >= len(candidates):
                return candidates
        return self._build_candidates(now, view, names, ejected)

    def _get_record(self, target: str) -> _TargetRecord:
        record = self._records.get(target)
        if record is None:
            record = _TargetRecord(Ejection(self._settings))
            self._records[target] = record
        return record

    def _discard_removed_targets(self) -> None:
        """Remove the records of targets that are no longer configured.

        A record with in-flight requests stays until a later configuration change.
        """
        configured = self._fleet.targets
        removed = [n for n, r in self._records.items() if n not in configured]
        for name in removed:
            if not self._records[name].dispatches:
                del self._records[name]
                self._ejected_targets.discard(name)

    def _list_ejected(self, now: float, names: tuple[str, ...]) -> frozenset[str]:
        """Return the targets of a service that are ejected now.

        The result contains at most ``max_ejected_fraction`` of the service's targets.
        If more are blocked, those that may be probed first are left out and get
        requests.
        """
        records = self._records
        if not self._ejected_targets:
            return frozenset()
        self._ejected_targets = {
            n for n in self._ejected_targets if records[n].ejection.is_ejected
        }
        blocked = {
            n for n in self._ejected_targets if records[n].ejection.is_blocked(now)
        }
        ejected = [name for name in names if name in blocked]
        ejected.sort(key=lambda name: -records[name].ejection.probe_allowed_at)
        max_ejected = int(len(names) * self._settings.max_ejected_fraction)
        return frozenset(ejected[:max_ejected])

    def _build_candidates(
        self,
        now: float,
        view: View,
        names: tuple[str, ...],
        ejected: frozenset[str],
    ) -> tuple[Candidate, ...]:
        targets = view.fleet.targets
        return tuple(
            self._build_candidate(now, view, targets[name], name in ejected)
            for name in names
            if name in targets
        )

    def _build_candidate(
        self, now: float, view: View, target: Target, is_ejected: bool
    ) -> Candidate:
        name = target.name
        record = self._get_record(name)
        is_drained = view.is_draining(Subject.TARGET, name)
        platform_report = view.life_report(Subject.TARGET, name)
        return Candidate(
            name=name,
            incarnation=record.lifecycle.incarnation,
            failure_domain=target.failure_domain,
            weights=view.weights(name),
            queue_wait_s=self._queue_wait_s(now, record),
            in_flight=len(record.dispatches),
            capacity=target.capacity,
            draining=not record.lifecycle.can_take_work(is_drained, platform_report),
            ejected=is_ejected,
        )

    def _queue_wait_s(self, now: float, record: _TargetRecord) -> float:
        """Return the expected wait for a new request at a target in seconds.

        It is the reported wait less the time since the report, plus the expected work
        of this router's requests that were sent after the report and have no first
        token yet. Without a recent report, all requests without a first token count.
        """
        report = record.report
        awaiting = record.awaiting_first_token.values()
        if report is None or now - report.measured_at > self._settings.report_max_age_s:
            return sum(d.work_s for d in awaiting)
        remaining_s = max(0.0, report.queue_wait_s - (now - report.measured_at))
        sent_later = (d.work_s for d in awaiting if d.sent_at >= report.measured_at)
        return remaining_s + sum(sent_later)
