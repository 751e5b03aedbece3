"""Tokens for which the requests of each organisation wait."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from berylnotch.quota.local import LocalQuota


@frozen
class _Need:
    """All tokens that a request waits for, and the fewest that help it."""

    tokens: int
    first: int


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
        self._needs: dict[str, dict[str, _Need]] = {}

    def add(self, organisation: str, request_id: str, tokens: int, first: int) -> None:
        """Set what one request waits for.

        Parameters
        ----------
        organisation : str
            Whose request it is.
        request_id : str
            The request.
        tokens : int
            All that it waits for.
        first : int
            Fewest tokens with which it can go on.
        """
        self._needs.setdefault(organisation, {})[request_id] = _Need(tokens, first)
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
        needs = self._needs.get(organisation, {}).values()
        return sum(need.tokens for need in needs)

    def organisations(self) -> tuple[str, ...]:
        """Return the organisations with waiting work."""
        return tuple(self._needs)

    def _tell(self, organisation: str) -> None:
        needs = self._needs[organisation].values()
        first = min((need.first for need in needs), default=0)
        self._quota.want(organisation, sum(need.tokens for need in needs), first)
