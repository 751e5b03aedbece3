"""Targets that other routers reported as lost while a request ran on them."""

from __future__ import annotations

from collections import OrderedDict

#: Largest number of requests for which lost targets are kept.
MAX_FINGERPRINTS = 1024


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
