"""Routers that may still use engines of the version that a rollout replaces."""

from __future__ import annotations

from collections.abc import Iterable

from berylnotch.group.messages import RouterReport
from berylnotch.group.rollouts import RolloutPhase, RolloutReport


class RolloutRouters:
    """Counts the routers that a rollout's completion has to wait for.

    Parameters
    ----------
    number : int
        Number of the rollout.
    known_from : float
        Boot time in seconds from which all routers in contact are expected to report to
        this leader.
    """

    def __init__(self, number: int, known_from: float) -> None:
        self._number = number
        self._known_from = known_from
        self._connected: dict[str, RouterReport] = {}
        #: Time at which the requests of a lost router have ended, by its address.
        self._lost_until: dict[str, float] = {}

    def follow(
        self,
        now: float,
        reports: Iterable[RouterReport],
        timeout_s: float,
        stop_s: float,
    ) -> None:
        """Follow the newest reports of the connected routers.

        A router that leaves before it has closed the engines of other versions may have
        sent requests there since its last report.

        Parameters
        ----------
        now : float
            Boot time in seconds.
        reports : iterable of RouterReport
            Newest report of each connected router.
        timeout_s : float
            Longest time-out of a route in seconds: a lost router's requests may run for
            this time, unless its process has been replaced.
        stop_s : float
            Time in seconds within which a stopping router ends.
        """
        previous, self._connected = self._connected, {r.address: r for r in reports}
        for address, report in previous.items():
            if address not in self._connected and not self._is_closed(report):
                wait_s = min(timeout_s, stop_s) if report.is_leaving else timeout_s
                self._lost_until[address] = now + wait_s
        self._lost_until = {
            address: until
            for address, until in self._lost_until.items()
            # Two processes cannot listen at one address.
            if address not in self._connected and until > now
        }

    def pending(self, now: float) -> int:
        """Return the number of routers that may still use other engines."""
        pending = sum(not self._is_done(r) for r in self._connected.values())
        pending += len(self._lost_until)
        # Without a router, nobody tells where requests run.
        is_known = now >= self._known_from and self._connected
        return pending if is_known else max(1, pending)

    def unclosed(self) -> int:
        """Return the number of connected routers that may send to other engines.

        The newest report of such a router without requests there says nothing about
        the requests that it has sent since.
        """
        return sum(not self._has_confirmed(r) for r in self._connected.values())

    def _is_closed(self, report: RouterReport) -> bool:
        return self._is_done(report) and self._has_confirmed(report)

    def _has_confirmed(self, report: RouterReport) -> bool:
        rollout = find_report(report, self._number)
        return rollout is not None and rollout.is_closing

    def _is_done(self, report: RouterReport) -> bool:
        rollout = find_report(report, self._number)
        return (
            rollout is not None
            and rollout.phase is not RolloutPhase.OBSERVING
            and not rollout.in_flight_elsewhere
        )


def find_report(report: RouterReport, number: int) -> RolloutReport | None:
    """Return what a router reports about the rollout with a number."""
    for rollout in report.rollouts:
        if rollout.number == number:
            return rollout
    return None
