"""Targets that were lost while they ran a request, by its fingerprint."""

from __future__ import annotations

from collections.abc import Iterator

from berylnotch.control.events import CrashReported

#: How long a report counts, in milliseconds (1 h).
CRASH_KEEP_MS = 3600 * 1000
#: Most reports held; beyond it the oldest go.
MAX_CRASHES = 10_000


class CrashTable:
    """Reports, oldest first; a repeated report keeps its first time."""

    def __init__(self) -> None:
        self._reports: dict[tuple[bytes, str], CrashReported] = {}
        self._targets: dict[bytes, frozenset[str]] = {}

    def __iter__(self) -> Iterator[CrashReported]:
        return iter(self._reports.values())

    def add(self, report: CrashReported) -> None:
        """Add a report and drop those that no longer count."""
        while self._reports and self._is_oldest_over(report.at_ms):
            self._drop(next(iter(self._reports)))
        key = (report.fingerprint, report.target)
        if key not in self._reports:
            self._reports[key] = report
            found = self._targets.get(report.fingerprint, frozenset())
            self._targets[report.fingerprint] = found | {report.target}

    def targets(self, fingerprint: bytes, at_ms: int = 0) -> frozenset[str]:
        """Return the targets lost with a fingerprint.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.
        at_ms : int, default=0
            Unix time that reports shall still count at; 0 leaves out the check.
        """
        found = self._targets.get(fingerprint, frozenset())
        if not at_ms:
            return found
        oldest_ms = at_ms - CRASH_KEEP_MS
        return frozenset(
            name for name in found if self._reports[fingerprint, name].at_ms > oldest_ms
        )

    def _is_oldest_over(self, at_ms: int) -> bool:
        oldest = next(iter(self._reports.values()))
        return (
            oldest.at_ms <= at_ms - CRASH_KEEP_MS or len(self._reports) >= MAX_CRASHES
        )

    def _drop(self, key: tuple[bytes, str]) -> None:
        del self._reports[key]
        fingerprint, target = key
        left = self._targets[fingerprint] - {target}
        if left:
            self._targets[fingerprint] = left
        else:
            del self._targets[fingerprint]
