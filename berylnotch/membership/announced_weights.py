"""Announced versions of weights and the times of their announcement."""

from __future__ import annotations

from attrs import frozen

#: Largest number of versions of a model that are kept; older ones were superseded
#: long ago.
MAX_VERSIONS = 16


@frozen
class NamedWeights:
    """An announced version of a model's weights.

    ``age_ms`` is the time since its announcement in milliseconds.
    """

    model: str
    version: int
    age_ms: int


class AnnouncedWeights:
    """Announced versions of each model, with the time of each announcement.

    All times are in seconds on the same clock.
    """

    def __init__(self) -> None:
        self._announced_at: dict[str, dict[int, float]] = {}

    def newest(self, model: str) -> int:
        """Return the newest announced version of a model, 0 if there is none."""
        return max(self._announced_at.get(model, {}), default=0)

    def versions(self) -> dict[str, int]:
        """Return the newest announced version of each model."""
        return {model: max(times) for model, times in self._announced_at.items()}

    def record(self, model: str, version: int, announced_at: float) -> bool:
        """Record an announced version; return whether it is newer than all others.

        The earliest time counts if a version is recorded several times.
        """
        times = self._announced_at.setdefault(model, {})
        is_newest = version > max(times, default=0)
        times[version] = min(announced_at, times.get(version, announced_at))
        while len(times) > MAX_VERSIONS:
            del times[min(times)]
        return is_newest

    def outdated_s(self, now: float, model: str, version: int) -> float:
        """Return the seconds since a newer version was announced, 0 if none was."""
        newer_times = [
            announced_at
            for v, announced_at in self._announced_at.get(model, {}).items()
            if v > version
        ]
        return now - min(newer_times) if newer_times else 0.0

    def with_ages(self, now: float) -> tuple[NamedWeights, ...]:
        """Return all kept versions with the time since each announcement."""
        return tuple(
            NamedWeights(model, version, int((now - announced_at) * 1000))
            for model, times in sorted(self._announced_at.items())
            for version, announced_at in sorted(times.items())
        )
