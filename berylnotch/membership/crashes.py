"""Requests that crash the targets that run them."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from attrs import define

from berylnotch.membership.settings import MembershipSettings


def fingerprint(organisation: str, body: bytes) -> bytes:
    """Identify a request by its organisation and body."""
    digest = hashlib.sha256(organisation.encode() + b"\0")
    digest.update(body)
    return digest.digest()[:16]


@define
class _Suspicion:
    targets: set[str]
    seen_at: float


class CrashGuard:
    """Suspicion of requests that were running when a target was lost.

    Parameters
    ----------
    settings : MembershipSettings
        Limit, retention and size.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._suspicions: dict[bytes, _Suspicion] = {}

    def lost(self, now: float, target: str, running: Iterable[bytes]) -> None:
        """Note that ``target`` was lost while it ran these requests."""
        for request in running:
            held = self._suspicions.pop(request, None) or _Suspicion(set(), now)
            held.targets.add(target)
            held.seen_at = now
            self._suspicions[request] = held
        self._trim(now)

    def completed(self, request: bytes) -> None:
        """Clear a request that a target ran to its end."""
        self._suspicions.pop(request, None)

    def targets(self, now: float, request: bytes) -> frozenset[str]:
        """Return the targets that were lost while they ran the request."""
        held = self._suspicions.get(request)
        if held is None or now - held.seen_at > self._settings.crash_keep_s:
            return frozenset()
        return frozenset(held.targets)

    def is_refused(
        self, now: float, request: bytes, shared: frozenset[str] = frozenset()
    ) -> bool:
        """Whether the request must be refused; ``shared`` comes from the view."""
        lost = self.targets(now, request) | shared
        return len(lost) >= self._settings.crash_limit

    def _trim(self, now: float) -> None:
        keep_s = self._settings.crash_keep_s
        while self._suspicions:
            oldest = next(iter(self._suspicions))
            expired = now - self._suspicions[oldest].seen_at > keep_s
            if len(self._suspicions) <= self._settings.crash_max and not expired:
                return
            del self._suspicions[oldest]
