"""Losses of targets that other routers saw with a request."""

from __future__ import annotations

from collections import OrderedDict

#: Requests that are remembered at once.
MAX_REQUESTS = 1024


class SharedLosses:
    """Targets lost with a request, by its fingerprint."""

    def __init__(self) -> None:
        self._targets: OrderedDict[bytes, set[str]] = OrderedDict()

    def __call__(self, fingerprint: bytes) -> frozenset[str]:
        """Return the targets that other routers saw lost with a request."""
        return frozenset(self._targets.get(fingerprint, ()))

    def add(self, fingerprint: bytes, target_id: str) -> None:
        """Note a loss that another router reported."""
        self._targets.setdefault(fingerprint, set()).add(target_id)
        self._targets.move_to_end(fingerprint)
        while len(self._targets) > MAX_REQUESTS:
            self._targets.popitem(last=False)
