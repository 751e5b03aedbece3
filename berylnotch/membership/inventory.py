"""The leader's record of all targets: the target list and newer engine reports."""

from __future__ import annotations

from collections.abc import Collection

from attrs import define, evolve

from berylnotch.group.messages import LeavingWord, LimitNotice, TargetEntry
from berylnotch.membership.announced_limits import AnnouncedLimits
from berylnotch.membership.listing import ListedTarget, ModelVersion

#: Seconds for which an engine's own report of its weights takes precedence over the
#: target list, since the list lags by some seconds.
ENGINE_REPORT_PRECEDENCE_S = 4.0


#: Largest fraction of a service's targets that are marked as leaving on the report of
#: a single router, so that a faulty router cannot remove a whole service.
MAX_UNCONFIRMED_LEAVING_FRACTION = 0.5

#: Number of routers whose agreeing reports mark a target as leaving without a limit.
CONFIRMING_ROUTERS = 2


@define
class _ReportedWeights:
    """Version that an engine reported.

    ``reported_at`` is the time of the report in seconds, ``born_ms`` the start time of
    the engine in the target list at the time of the report.
    """

    version: ModelVersion
    reported_at: float
    born_ms: int


class TargetInventory:
    """Targets by identity, and the targets that are loading weights."""

    def __init__(self) -> None:
        self._targets: dict[str, ListedTarget] = {}
        self._reported_weights: dict[str, _ReportedWeights] = {}
        self._loading: dict[str, float] = {}
        self._emptying: set[str] = set()
        #: Routers that reported a target as leaving, by its identity and start time.
        self._leaving_reports: dict[LeavingWord, set[str]] = {}
        self._limits = AnnouncedLimits()
        self._listed_at: float | None = None

    @property
    def listed_at(self) -> float | None:
        """Time in seconds at which the list was last read in full, None if never."""
        return self._listed_at

    @property
    def loading(self) -> frozenset[str]:
        """Targets that load weights."""
        return frozenset(self._loading)

    def targets(self) -> tuple[ListedTarget, ...]:
        """Return all targets, with the weights that they run if these are known."""
        return tuple(self._targets[name] for name in sorted(self._targets))

    def entries(self) -> tuple[TargetEntry, ...]:
        """Return all targets in the form that routers get."""
        leaving = self.announced_leaving()
        return tuple(
            TargetEntry(
                evolve(target, is_leaving=True)
                if target.target_id in leaving
                else target,
                target.target_id in self._loading,
                target.target_id in self._emptying,
                self._limits.limit_per_s(target.target_id),
            )
            for target in self.targets()
        )

    def add_leaving_notices(
        self, router: str, notices: Collection[LeavingWord]
    ) -> bool:
        """Store the leaving notices that a router got from targets.

        Returns
        -------
        bool
            Whether the set of leaving targets changed.
        """
        before = self.announced_leaving()
        for notice in notices:
            if self._is_current(notice):
                self._leaving_reports.setdefault(notice, set()).add(router)
        return self.announced_leaving() != before

    def announced_leaving(self) -> frozenset[str]:
        """Return the targets that announced that they leave.

        Targets that are leaving only according to the target list are not included.
        """
        if not self._leaving_reports:
            return frozenset()
        leaving, unconfirmed = set(), {}
        for notice, routers in self._leaving_reports.items():
            if len(routers) >= CONFIRMING_ROUTERS:
                leaving.add(notice.target_id)
            else:
                service = self._targets[notice.target_id].service
                unconfirmed.setdefault(service, []).append(notice.target_id)
        for service, targets in unconfirmed.items():
            count = sum(t.service == service for t in self._targets.values())
            leaving.update(
                sorted(targets)[: int(count * MAX_UNCONFIRMED_LEAVING_FRACTION)]
            )
        return frozenset(leaving)

    def add_limit_notices(
        self, now: float, notices: Collection[LimitNotice]
    ) -> tuple[LimitNotice, ...]:
        """Store the limits that targets announced to a router; return the changes."""
        return self._limits.add(now, notices, self._targets)

    def limits(self) -> dict[str, float]:
        """Return the limits in force, in requests per second by target."""
        return self._limits.in_force()

    def target(self, target_id: str) -> ListedTarget | None:
        """Return a target, or None if it is not listed."""
        return self._targets.get(target_id)

    def replace_targets(self, now: float, targets: tuple[ListedTarget, ...]) -> None:
        """Replace all targets by those of a complete target list."""
        self._listed_at = now
        self._targets = {
            t.target_id: self._apply_engine_report(now, t) for t in targets
        }
        for name in self._loading.keys() - self._targets.keys():
            del self._loading[name]
        self._emptying &= self._targets.keys()
        for name in self._reported_weights.keys() - self._targets.keys():
            del self._reported_weights[name]
        for notice in tuple(self._leaving_reports):
            if not self._is_current(notice):
                del self._leaving_reports[notice]
        self._limits.retain(self._targets)

    def mark_emptying(self, target_id: str) -> None:
        """Stop long requests to a target, because it loads weights next."""
        self._emptying.add(target_id)

    def mark_loading(self, now: float, target_id: str) -> None:
        """Mark a target as loading weights."""
        self._emptying.discard(target_id)
        self._loading[target_id] = now

    def mark_serving(self, target_id: str) -> None:
        """Mark a target as serving again, with old or new weights."""
        self._emptying.discard(target_id)
        self._loading.pop(target_id, None)

    def record_engine_weights(
        self, now: float, target_id: str, version: ModelVersion
    ) -> None:
        """Store the weights that an engine reports; unlisted targets are ignored."""
        target = self._targets.get(target_id)
        if target is None:
            return
        self._reported_weights[target_id] = _ReportedWeights(
            version, now, target.born_ms
        )
        self._targets[target_id] = self._apply_engine_report(now, target)

    def _is_current(self, notice: LeavingWord) -> bool:
        """Tell whether a notice has its target's start time in the target list."""
        target = self._targets.get(notice.target_id)
        return target is not None and target.born_ms == notice.born_ms

    def _apply_engine_report(self, now: float, target: ListedTarget) -> ListedTarget:
        """Return a listed target with the weights of its engine's recent report."""
        report = self._reported_weights.get(target.target_id)
        if report is None or report.born_ms != target.born_ms:
            return target
        if now - report.reported_at > ENGINE_REPORT_PRECEDENCE_S:
            return target
        others = (m for m in target.models if m.name != report.version.name)
        return evolve(target, models=(*others, report.version))
