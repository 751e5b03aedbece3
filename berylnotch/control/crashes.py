"""Table of targets that were lost while running a request, by request fingerprint."""

from __future__ import annotations

from collections.abc import Iterator

from berylnotch.control.events import CrashReported

#: Retention period of a crash report, in milliseconds (1 h).
CRASH_RETENTION_MS = 3600 * 1000
#: Maximum number of retained crash reports; the oldest are evicted first.
MAX_CRASHES = 10_000


class CrashTable:
    """Crash reports, oldest first.

    A repeated report of the same fingerprint and target keeps the time of the first
    report.
    """

    def __init__(self) -> None:
        self._reports: dict[tuple[bytes, str], CrashReported] = {}
        self._targets_by_fingerprint: dict[bytes, frozenset[str]] = {}

    def __iter__(self) -> Iterator[CrashReported]:
        return iter(self._reports.values())

    def add(self, report: CrashReported) -> None:
        """Evict expired and excess reports, then add a report."""
        while self._reports and self._is_oldest_evictable(report.at_ms):
            self._remove(next(iter(self._reports)))
        key = (report.fingerprint, report.target)
        if key not in self._reports:
            self._reports[key] = report
            targets = self._targets_by_fingerprint.get(report.fingerprint, frozenset())
            self._targets_by_fingerprint[report.fingerprint] = targets | {report.target}

    def lost_targets(self, fingerprint: bytes, at_ms: int = 0) -> frozenset[str]:
        """Return the targets that were lost while running a request.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.
        at_ms : int, default=0
            Unix time in milliseconds at which reports must be within the retention
            period; 0 returns the targets of all retained reports.
        """
        targets = self._targets_by_fingerprint.get(fingerprint, frozenset())
        if not at_ms:
            return targets
        oldest_ms = at_ms - CRASH_RETENTION_MS
        return frozenset(
            name
            for name in targets
            if self._reports[fingerprint, name].at_ms > oldest_ms
        )

    def _is_oldest_evictable(self, at_ms: int) -> bool:
        oldest = next(iter(self._reports.values()))
        return (
            oldest.at_ms <= at_ms - CRASH_RETENTION_MS
            or len(self._reports) >= MAX_CRASHES
        )

    def _remove(self, key: tuple[bytes, str]) -> None:
        del self._reports[key]
        fingerprint, target = key
        remaining = self._targets_by_fingerprint[fingerprint] - {target}
        if remaining:
            self._targets_by_fingerprint[fingerprint] = remaining
        else:
            del self._targets_by_fingerprint[fingerprint]
