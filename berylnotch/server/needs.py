"""Record of the tokens for which each organisation's requests wait."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import frozen

if TYPE_CHECKING:
    from berylnotch.quota.local import LocalQuota


@frozen
class _Demand:
    """Tokens for which a request waits, and the fewest that let it proceed."""

    tokens: int
    min_tokens: int


class TokenDemand:
    """Reports the token demand of waiting requests to the quota.

    Parameters
    ----------
    quota : LocalQuota
        Receives the demand of each organisation.
    request_grant : callable
        Called on new demand, to request a grant from the quota's owner without
        waiting for the next heartbeat.
    """

    def __init__(self, quota: LocalQuota, request_grant: Callable[[], None]) -> None:
        self._quota = quota
        self._request_grant = request_grant
        self._demands: dict[str, dict[str, _Demand]] = {}

    def update(
        self, organisation: str, request_id: str, tokens: int, min_tokens: int
    ) -> None:
        """Set the demand of one request.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        request_id : str
            Identifier of the request.
        tokens : int
            All tokens that the request waits for.
        min_tokens : int
            Fewest tokens with which the request can proceed.
        """
        self._demands.setdefault(organisation, {})[request_id] = _Demand(
            tokens, min_tokens
        )
        self._update_quota(organisation)
        self._request_grant()

    def remove(self, organisation: str, request_id: str) -> None:
        """Remove the demand of a request that no longer waits."""
        demands = self._demands.get(organisation)
        if demands is None or demands.pop(request_id, None) is None:
            return
        self._update_quota(organisation)
        if not demands:
            del self._demands[organisation]

    def waiting_tokens(self, organisation: str) -> int:
        """Return the tokens for which an organisation's requests wait."""
        demands = self._demands.get(organisation, {}).values()
        return sum(demand.tokens for demand in demands)

    def organisations(self) -> tuple[str, ...]:
        """Return the organisations with waiting requests."""
        return tuple(self._demands)

    def _update_quota(self, organisation: str) -> None:
        demands = self._demands[organisation].values()
        min_tokens = min((demand.min_tokens for demand in demands), default=0)
        self._quota.want(
            organisation, sum(demand.tokens for demand in demands), min_tokens
        )
