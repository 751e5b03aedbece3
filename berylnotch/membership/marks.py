"""Targets that were lost while a request ran on them, reported between routers."""

from __future__ import annotations

from collections import OrderedDict

from berylnotch.group.messages import CrashMark

#: Largest number of requests for which lost targets are kept.
MAX_FINGERPRINTS = 1024

#: Largest number of a router's own losses that are kept for the next leader. A leader
#: keeps as many marks.
MAX_OWN_MARKS = 512


class ReportedLosses:
    """Targets that were lost while they ran a request, by its fingerprint."""

    def __init__(self) -> None:
        self._targets: OrderedDict[bytes, set[str]] = OrderedDict()

    def __call__(self, fingerprint: bytes) -> frozenset[str]:
        """Return the targets that other routers reported as lost with a request."""
        return frozenset(self._targets.get(fingerprint, ()))

    def add(self, fingerprint: bytes, target_id: str) -> None:
        """Record a loss that another router reported."""
        self._targets.setdefault(fingerprint, set()).add(target_id)
        self._targets.move_to_end(fingerprint)
        while len(self._targets) > MAX_FINGERPRINTS:
            self._targets.popitem(last=False)


class OwnLosses:
    """Target losses that this router reports to each leader.

    A leader keeps the losses in memory only, and a report is lost if there is no leader
    or if its link closes. So the losses are reported again over each new link.
    """

    def __init__(self) -> None:
        self._marks: OrderedDict[CrashMark, None] = OrderedDict()
        self._unreported: OrderedDict[CrashMark, None] = OrderedDict()

    def add(self, mark: CrashMark) -> None:
        """Record a loss for the next report."""
        for marks in (self._marks, self._unreported):
            marks[mark] = None
            marks.move_to_end(mark)
            while len(marks) > MAX_OWN_MARKS:
                marks.popitem(last=False)

    def report_all(self) -> None:
        """Include all losses in the next report, since a new link was opened."""
        self._unreported = self._marks.copy()

    def take_unreported(self) -> tuple[CrashMark, ...]:
        """Return the losses for the next report."""
        marks, self._unreported = tuple(self._unreported), OrderedDict()
        return marks
