"""Metrics of the rollouts at the leader."""

from __future__ import annotations

from collections.abc import Iterable

from berylnotch.daemon.fleet.rollout_run import RolloutStatus
from berylnotch.group.rollouts import RolloutPhase
from berylnotch.util.metrics import Label, Metrics


class RolloutGauges:
    """Gauges of each service's newest rollout; none while this controller follows.

    Parameters
    ----------
    metrics : Metrics
        Registry of metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._services: set[str] = set()

    def update(self, statuses: Iterable[RolloutStatus]) -> None:
        """Set the gauges of the given rollouts, and remove those of all others."""
        by_service = {status.rollout.service: status for status in statuses}
        for service in self._services | by_service.keys():
            self._set(service, by_service.get(service))
        self._services = set(by_service)

    def _set(self, service: str, status: RolloutStatus | None) -> None:
        gauge, label = self._metrics.gauge, Label("service", service)
        for phase in RolloutPhase:
            is_current = status is not None and status.rollout.phase is phase
            gauge(
                "berylnotch_rollout_phase",
                float(is_current) if status is not None else None,
                label,
                Label("phase", phase.value),
            )
        for name, value in (
            ("share", status.share if status else None),
            ("exposed_requests", float(status.exposed) if status else None),
            ("bad_responses", float(status.failures) if status else None),
        ):
            gauge(f"berylnotch_rollout_{name}", value, label)
