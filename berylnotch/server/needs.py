"""Tokens for which the requests of each organisation wait."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylnotch.quota.local import LocalQuota


class TokenNeeds:
    """Keeps the quota informed of the waiting work.

    Parameters
    ----------
    quota : LocalQuota
        Told the sum for each organisation.
    hurry : callable
        Called when a new need arises, to ask the owner soon.
    """

    def __init__(self, quota: LocalQuota, hurry: Callable[[], None]) -> None:
        self._quota = quota
        self._hurry = hurry
        self._needs: dict[str, dict[str, int]] = {}

    def add(self, organisation: str, request_id: str, tokens: int) -> None:
        """Set what one request waits for."""
        self._needs.setdefault(organisation, {})[request_id] = tokens
        self._tell(organisation)
        self._hurry()

    def remove(self, organisation: str, request_id: str) -> None:
        """Forget a request that waits no longer."""
        needs = self._needs.get(organisation)
        if needs is None or needs.pop(request_id, None) is None:
            return
        self._tell(organisation)
        if not needs:
            del self._needs[organisation]

    def waiting(self, organisation: str) -> int:
        """Return the tokens for which an organisation's requests wait."""
        return sum(self._needs.get(organisation, {}).values())

    def organisations(self) -> tuple[str, ...]:
        """Return the organisations with waiting work."""
        return tuple(self._needs)

    def _tell(self, organisation: str) -> None:
        needs = self._needs[organisation].values()
        self._quota.want(organisation, sum(needs), min(needs, default=0))
