"""Grants of one organisation's tokens that routers may still charge."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator

from attrs import define


@define
class _Grant:
    """Tokens that one router may still charge, as known to the quota owner.

    ``spent`` is the total that the router's present incarnation last reported. The
    grant cannot be charged from ``expires_at`` on.
    """

    tokens: int
    spent: int
    expires_at: float


class OutstandingGrants:
    """Newest grant of each router, the first to expire first."""

    def __init__(self) -> None:
        self._grants: OrderedDict[str, _Grant] = OrderedDict()
        self._total = 0

    def __bool__(self) -> bool:
        return bool(self._grants)

    @property
    def total(self) -> int:
        """Granted tokens that routers may still charge."""
        return self._total

    def expire(self, now: float) -> Iterator[tuple[float, int]]:
        """Drop the grants that have expired; yield the time and tokens of each.

        A yielded grant counts as outstanding until the next one is asked for.
        """
        while self._grants:
            router, grant = next(iter(self._grants.items()))
            if grant.expires_at > now:
                return
            yield grant.expires_at, grant.tokens
            del self._grants[router]
            self._total -= grant.tokens

    def record(self, router: str, held: int, spent: int) -> tuple[int, int]:
        """Record a router's report on its grant.

        Parameters
        ----------
        router : str
            Name of the router's incarnation.
        held : int
            Tokens that the router may charge.
        spent : int
            Tokens that the router has charged since it started.

        Returns
        -------
        tuple of int
            The newly spent tokens, and the granted tokens that the router neither
            holds nor spent: it gave them up, let them expire, or never received them.
        """
        grant = self._grants.get(router)
        if grant is None:
            # The grant that answers the report sets the time of expiry.
            grant = _Grant(tokens=0, spent=spent, expires_at=math.inf)
            self._grants[router] = grant
        used_tokens = max(0, spent - grant.spent)
        still_held = min(held, grant.tokens)
        unused_tokens = max(0, grant.tokens - still_held - used_tokens)
        self._total += still_held - grant.tokens
        grant.tokens = still_held
        grant.spent = spent
        return used_tokens, unused_tokens

    def add(self, router: str, tokens: int, expires_at: float) -> int:
        """Add tokens to the grant of a router that has reported before.

        Returns
        -------
        int
            All tokens that the router may charge until ``expires_at``, including those
            that it reported as held.
        """
        grant = self._grants[router]
        grant.tokens += tokens
        grant.expires_at = expires_at
        self._grants.move_to_end(router)
        self._total += tokens
        return grant.tokens
