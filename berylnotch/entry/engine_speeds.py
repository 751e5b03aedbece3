"""Learns how fast targets are from the times of their answers.

Measured times are compared with the times expected at the load, and each route has its
own mean of this ratio: an inaccurate expectation for a kind of requests must not count
against the targets that get more of these requests.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from attrs import define

from berylnotch.entry.targets import Target
from berylnotch.group.speed_columns import SpeedRecord, start_check
from berylnotch.placement.engine_speed import clip_outlier
from berylnotch.util.lines import EventLog
from berylnotch.util.metrics import Label, Metrics

#: Share of the expected time that a request needs for itself, below which its time is
#: no measurement: it mostly shows how far the known queue was out of date.
MIN_OWN_SHARE = 0.2

#: Power of the ratio of the expected to a longer measured time, by which the weight of
#: the measurement is reduced. In simulations of 12 engines alike at 0.5 to 0.75 of the
#: capacity, 1 to 2% of the factors left the dead zone with 0.5, and 3 to 5% with 0. An
#: engine that is 8 times slower is recognised later with 1.
SURPRISE_POWER = 0.5

#: Number of measurements that the mean ratio of a route reflects.
ROUTE_SAMPLES = 50.0

#: Shortest interval in seconds between two refreshes of all estimates. Reports may
#: follow each other within some ms, and a refresh of 850 targets takes 2.5 ms.
REFRESH_INTERVAL_S = 0.5

#: Weight of the newest answer in the mean latency of a plain service.
LATENCY_WEIGHT = 0.05

#: Shortest intervals in seconds between two log lines on the same target, and between
#: two lines on any targets. A neighbour may slow a target down again and again.
TARGET_LOG_INTERVAL_S, LOG_INTERVAL_S = 10.0, 0.5


@define
class _RouteMean:
    """Mean logarithm of the ratio of measured to expected times on one route."""

    weight: float = 0.0
    mean: float = 0.0


class EngineSpeeds:
    """Estimates of the speeds of all targets at one router.

    Parameters
    ----------
    log : EventLog
        Log of the process.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._routes: dict[tuple[str, str], _RouteMean] = {}
        self._latencies_s: dict[str, float] = {}
        #: Targets with measurements or an estimate, by identity.
        self._known: dict[str, Target] = {}
        #: Targets with measurements that were not reported yet, by identity.
        self._unreported: dict[str, Target] = {}
        self._refreshed_at = -math.inf
        self._gauged: set[str] = set()
        self._logged_at = -math.inf

    def usual_latency_s(self, service: str) -> float:
        """Return the mean answer time of a plain service, 0 before the first answer."""
        return self._latencies_s.get(service, 0.0)

    def record_first_event(
        self,
        now: float,
        target: Target,
        route: str,
        expected_ms: float,
        own_share: float,
        measured_ms: float,
    ) -> None:
        """Record the time to the first event of a stream.

        Parameters
        ----------
        now : float
            Boot time, in seconds.
        target : Target
            Target that sent the event.
        route : str
            Name of the request's route.
        expected_ms : float
            Time expected at the load for a usual target.
        own_share : float
            Share of the expected time that the request needs for itself. The rest is
            for the requests before it, of which the router knows less.
        measured_ms : float
            Measured time.
        """
        if expected_ms <= 0 or measured_ms <= 0 or own_share < MIN_OWN_SHARE:
            return
        log_ratio = math.log(measured_ms / expected_ms)
        key = (target.listed.service, route)
        route_mean = self._routes.setdefault(key, _RouteMean())
        expected_log = route_mean.mean + target.speed.log_factor
        log_ratio = clip_outlier(log_ratio, expected_log)
        # The error of the expected wait grows with the wait, and the variance of the
        # ratio about with its square. A longer time than expected is often a wait that
        # the newest load update did not show, so it counts less than a shorter one.
        surprise = min(0.0, expected_log - log_ratio)
        weight = min(1.0, own_share) ** 2 * math.exp(SURPRISE_POWER * surprise)
        route_mean.weight = min(ROUTE_SAMPLES, route_mean.weight + weight)
        route_mean.mean += weight / route_mean.weight * (log_ratio - expected_log)
        target.speed.record(now, weight, log_ratio - route_mean.mean)
        self._unreported[target.target_id] = target
        self._on_changed(now, target)

    def record_answer(
        self, now: float, target: Target, route: str, load: int, measured_s: float
    ) -> None:
        """Record the time of a successful answer of a plain target.

        ``load`` is the number of requests at the target when it got the request. Those
        beyond its slots are waited for.
        """
        service = target.listed.service
        usual_s = self._latencies_s.get(service, measured_s)
        self._latencies_s[service] = usual_s + LATENCY_WEIGHT * (measured_s - usual_s)
        rounds = (
            max(1.0, (load + 1) / target.listed.slots) if target.listed.slots else 1
        )
        self.record_first_event(
            now, target, route, 1000 * usual_s * rounds, 1 / rounds, 1000 * measured_s
        )

    def apply(
        self,
        now: float,
        log_factors: Mapping[str, float],
        find: Callable[[str], Target | None],
    ) -> None:
        """Apply the leader's estimates, the logarithms of the factors by target.

        ``find`` returns the target of an identity, or None.
        """
        for target_id, log_factor in log_factors.items():
            target = find(target_id)
            # Nothing is to be done for the usual targets, which are most of them.
            if target is not None and (log_factor or target_id in self._known):
                target.speed.apply_shared(now, log_factor)
                self._on_changed(now, target)

    def refresh(self, now: float, find: Callable[[str], Target | None]) -> None:
        """Let the estimates age, and forget targets that left or restarted."""
        if now < self._refreshed_at + REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        for target_id, target in tuple(self._known.items()):
            if find(target_id) is not target:
                del self._known[target_id]
                self._unreported.pop(target_id, None)
                continue
            target.speed.refresh(now)
            self._on_changed(now, target)
            if target.speed.is_unknown:
                del self._known[target_id]

    def take_records(
        self, now: float, number: Callable[[str], int | None]
    ) -> Iterable[SpeedRecord]:
        """Return the measurements since the last call of targets that have a number."""
        for target_id, target in tuple(self._unreported.items()):
            target_number = number(target_id)
            if target_number is None:
                continue
            del self._unreported[target_id]
            weight, total = target.speed.take_unreported(now)
            if weight:
                check = start_check(target.listed.born_ms)
                yield SpeedRecord(target_number, check, weight, total)

    def update_gauges(self, metrics: Metrics) -> None:
        """Set a gauge for each target that is not as fast as the others."""
        factors = {
            target_id: target.speed.factor
            for target_id, target in self._known.items()
            if not target.speed.is_usual
        }
        for target_id in self._gauged | factors.keys():
            metrics.gauge(
                "berylnotch_target_speed_factor",
                factors.get(target_id),
                Label("target", target_id),
            )
        self._gauged = set(factors)

    def _on_changed(self, now: float, target: Target) -> None:
        self._known[target.target_id] = target
        speed = target.speed
        if speed.is_usual != speed.was_usual:
            speed.was_usual = speed.is_usual
            if speed.is_usual and not target.listed.models:
                # The target's own average is as old as its last request, which may be
                # from the time at which it was slow.
                target.latency_s = self.usual_latency_s(target.listed.service)
        is_usual, was_usual = speed.is_usual, speed.logged_factor == 1.0
        if is_usual == was_usual:
            return
        if now < max(
            self._logged_at + LOG_INTERVAL_S, speed.logged_at + TARGET_LOG_INTERVAL_S
        ):
            return
        self._log.info(
            "target_speed",
            target=target.target_id,
            service=target.listed.service,
            factor=speed.factor,
            was=speed.logged_factor,
        )
        self._logged_at = speed.logged_at = now
        speed.logged_factor = speed.factor
