"""Time since the orders of rollouts, which clock steps must not change."""

from __future__ import annotations

from collections.abc import Iterable

from berylnotch.group.rollouts import ServiceRollout


class RolloutTimes:
    """A controller's record of the age of each rollout.

    The order's time in the state is wall-clock time. It is compared with this
    controller's wall clock only once for each rollout; from then on, steady time is
    added. The rollout is at least as old as the time since this controller first knew
    it, whatever its wall clock shows.
    """

    def __init__(self) -> None:
        self._known_at: dict[int, float] = {}
        #: Boot time of the order by number, as far as it was estimated.
        self._ordered_at: dict[int, float] = {}

    def follow(self, now: float, rollouts: Iterable[ServiceRollout]) -> None:
        """Follow the rollouts of the state; ``now`` is the boot time in seconds."""
        numbers = {rollout.number for rollout in rollouts}
        self._known_at = {n: self._known_at.get(n, now) for n in numbers}
        self._ordered_at = {n: t for n, t in self._ordered_at.items() if n in numbers}

    def elapsed_s(self, now: float, wall_s: float, rollout: ServiceRollout) -> float:
        """Return the seconds since a rollout's order.

        Parameters
        ----------
        now, wall_s : float
            Boot time and Unix time in seconds.
        rollout : ServiceRollout
            The rollout.
        """
        number = rollout.number
        known_at = self._known_at.setdefault(number, now)
        if number not in self._ordered_at:
            by_wall_s = wall_s - rollout.started_ms / 1000
            self._ordered_at[number] = now - max(by_wall_s, now - known_at)
        return now - self._ordered_at[number]
