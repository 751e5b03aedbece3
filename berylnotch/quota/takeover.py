"""What a new owner of the limits may grant, given what earlier owners granted.

The charges of a window stay within a capacity beside the refill. A bucket has a fixed
part of the capacity, its burst. The rest is the takeover headroom: the tokens that
successive owners grant before they know what earlier owners granted. Shares of the
headroom are recorded in the replicated log, so that they add up to less than one over
any number of owners.

A router joins the owner when it has given up the grants of earlier owners. It then
reports its recent charges. Once all routers that may have grants of earlier owners have
joined, the owner derives the levels of the buckets from the reports. The headroom is
whole again if the tokens granted from it fit in these levels, and otherwise a window
later.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from berylnotch.quota.charge_history import bucket_deficit, charge_times
from berylnotch.quota.messages import GrantRequest

#: Part of the headroom that an owner takes of what earlier owners have left. With a
#: smaller part, the first owner has less until the routers have joined; with a larger
#: one, the second owner has less if a router does not join.
TAKEN_PART = 0.8


def next_share(earlier_shares: Iterable[float]) -> float:
    """Return the share of the headroom that a new owner may grant.

    ``earlier_shares`` are those of the owners whose grants may have been charged in the
    present window, or may still be charged.
    """
    return TAKEN_PART * max(0.0, 1.0 - math.fsum(earlier_shares))


class Takeover:
    """Knowledge of a new owner about the grants and charges of earlier owners.

    Parameters
    ----------
    share : float
        Share of the headroom that this owner may grant.
    routers : Mapping[str, str] or None
        Incarnation by name of the routers that may have grants of earlier owners; None
        if the log does not tell them.
    now : float
        Monotonic time at which the owner starts, in seconds.
    lifetime_s : float
        Time in seconds after which the grants of earlier owners have expired.
    """

    def __init__(
        self,
        share: float,
        routers: Mapping[str, str] | None,
        now: float,
        lifetime_s: float,
    ) -> None:
        self.share = share
        #: Whether some bucket had more than the charges left when they became known, so
        #: that the share counts in the windows with these charges.
        self.is_headroom_used = False
        self._routers = dict(routers) if routers is not None else None
        self._ends_at = now + lifetime_s
        self._unjoined = set(routers or ())
        self._restarted: set[str] = set()
        self._charges: dict[str, list[tuple[float, int]]] = {}
        self._capped_until = self._ends_at
        self._settled_at: float | None = None
        if routers is not None and not routers:
            self._capped_until = self._settled_at = now

    @property
    def capped_until(self) -> float:
        """Monotonic time until which earlier grants may be charged, in seconds.

        As long as a router has not joined, it is the time of their expiry.
        """
        return self._capped_until

    @property
    def unjoined(self) -> frozenset[str]:
        """Names of the routers that may have grants of earlier owners."""
        return frozenset(self._unjoined)

    @property
    def restarted(self) -> frozenset[str]:
        """Names of the routers whose recent charges are unknown after a restart."""
        return frozenset(self._restarted)

    @property
    def settled_at(self) -> float | None:
        """Monotonic time from which all recent charges are known, None until then."""
        return self._settled_at

    def is_awaited(self, now: float, request: GrantRequest) -> bool:
        """Return whether a report of all recent charges of the sender is to come."""
        is_unjoined = now < self._ends_at and request.vm in self._unjoined
        return is_unjoined and self._routers[request.vm] == request.incarnation

    def join(self, now: float, request: GrantRequest) -> bool:
        """Record that a router has given up the grants of earlier owners.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        if request.vm not in self._unjoined or now >= self._ends_at:
            return False
        self._unjoined.discard(request.vm)
        if self._routers[request.vm] == request.incarnation:
            for ask in request.asks:
                charges = charge_times(now, ask.recent)
                self._charges.setdefault(ask.organisation, []).extend(charges)
        else:
            # The process that made the charges, and held the grants, has ended.
            self._restarted.add(request.vm)
        if not self._unjoined:
            self._capped_until = now
        return True

    def add_charge(self, now: float, organisation: str, tokens: int) -> None:
        """Record a charge that no report of a router that joins will include."""
        if tokens and self._settled_at is None and now < self._ends_at:
            self._charges.setdefault(organisation, []).append((now, tokens))

    def try_settle(self, now: float) -> bool:
        """Return whether all recent charges are known, if they were not before.

        After the expiry of earlier grants, grants of this owner may have expired too,
        of which it does not know whether they were charged.
        """
        is_known = self._routers is not None and not (self._unjoined or self._restarted)
        if self._settled_at is not None or not is_known or now >= self._ends_at:
            return False
        self._settled_at = now
        return True

    def is_headroom_free(self, now: float, window_s: float) -> bool:
        """Return whether no window contains tokens granted from the headroom any more.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        window_s : float
            Length of the window in seconds, with a margin.
        """
        if self._settled_at is None:
            return now >= self._ends_at + window_s
        return not self.is_headroom_used or now >= self._settled_at + window_s

    def deficits(self, now: float, rates: Mapping[str, float]) -> dict[str, float]:
        """Return the tokens missing from the bucket of each organisation charged."""
        return {
            name: bucket_deficit(now, rates[name], charges)
            for name, charges in self._charges.items()
            if name in rates
        }
