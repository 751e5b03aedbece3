"""When versions of weights were named, and how long an older one was outdated."""

from __future__ import annotations

from attrs import frozen

#: Versions of a model that are remembered; older ones are outdated for long.
MAX_VERSIONS = 16


@frozen
class NamedWeights:
    """A named version of a model's weights, and how long ago that was, in ms."""

    model: str
    version: int
    age_ms: int


class WeightsNames:
    """Named versions of each model, with the time at which each was heard of."""

    def __init__(self) -> None:
        self._named: dict[str, dict[int, float]] = {}

    def newest(self, model: str) -> int:
        """Return the newest named version of a model, 0 if none was."""
        return max(self._named.get(model, {}), default=0)

    def versions(self) -> dict[str, int]:
        """Return the newest named version of each model."""
        return {model: max(named) for model, named in self._named.items()}

    def note(self, model: str, version: int, at: float) -> bool:
        """Note a named version; return whether it is the newest yet."""
        named = self._named.setdefault(model, {})
        is_newest = version > max(named, default=0)
        named[version] = min(at, named.get(version, at))
        while len(named) > MAX_VERSIONS:
            del named[min(named)]
        return is_newest

    def outdated_s(self, now: float, model: str, version: int) -> float:
        """Return for how long there is a newer version than this one, 0 if none."""
        newer = [at for v, at in self._named.get(model, {}).items() if v > version]
        return now - min(newer) if newer else 0.0

    def export(self, now: float) -> tuple[NamedWeights, ...]:
        """Return all versions with their ages."""
        return tuple(
            NamedWeights(model, version, int((now - at) * 1000))
            for model, named in sorted(self._named.items())
            for version, at in sorted(named.items())
        )
