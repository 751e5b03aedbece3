"""Provides one router's part of the fleet's retry budgets.

A router makes the retries that its own first attempts have earned. Beyond these, the
quota owner at the leader grants retries from the slack that all routers share, so that
the slack is used where requests fail.
"""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.admission.retry import RetryBudget, RetrySettings
from berylnotch.entry.quota_gate import Charge, QuotaGate
from berylnotch.group.messages import IdleRetries
from berylnotch.quota.local import LocalQuota
from berylnotch.quota.messages import GrantReply, GrantRequest
from berylnotch.quota.retries import RETRY_QUOTA, retry_limit, saved_retries
from berylnotch.settings.fleet import FleetBounds

#: Longest time in seconds for which a failed request waits for a retry. It is several
#: times the usual delay of the quota owner's reply.
RETRY_WAIT_S = 0.1

#: Seconds for which a retry is wanted that no failed request waits for. Overdue
#: requests, runs to be moved and streams to be resumed check again within this time.
WANTED_S = 1.0


class RetryBudgets:
    """Retries that one router may make, by service.

    Parameters
    ----------
    bounds : FleetBounds
        Limits of the fleet.
    router_count : callable
        Returns the largest number of routers that may save retries.
    ask_owner : callable
        Schedules a request for retries to the quota owner.
    has_owner : callable
        Returns whether there is a quota owner to ask.
    """

    def __init__(
        self,
        bounds: FleetBounds,
        router_count: Callable[[], int],
        ask_owner: Callable[[], None],
        has_owner: Callable[[], bool],
    ) -> None:
        self._bounds = bounds
        self._router_count = router_count
        self._ask_owner = ask_owner
        self._has_owner = has_owner
        self._gate = QuotaGate(LocalQuota(RETRY_QUOTA), RETRY_WAIT_S)
        self._earned: dict[str, RetryBudget] = {}
        #: Boot time until which a retry is wanted that no request waits for.
        self._wanted_until: dict[str, float] = {}
        self._asked_at = 0.0

    @property
    def _can_be_granted(self) -> bool:
        """Whether a request for retries can have an answer."""
        limit = retry_limit(self._bounds, self._router_count())
        return limit is not None and self._has_owner()

    @property
    def share(self) -> float:
        """Number of earned retries that this router saves at most for a service."""
        return saved_retries(self._bounds, self._router_count())

    def resize(self) -> None:
        """Apply a changed number of routers."""
        for budget in self._earned.values():
            budget.resize(self._settings())

    def earn(self, service: str) -> None:
        """Count a first attempt."""
        self._budget(service).earn()

    def balances(self, now: float) -> dict[str, float]:
        """Return the number of retries that may be made at once, by service."""
        return {service: self.balance(now, service) for service in self._earned}

    def balance(self, now: float, service: str) -> float:
        """Return the number of a service's retries that may be made at once."""
        return self._budget(service).balance + self.granted(now, service)

    def granted(self, now: float, service: str) -> int:
        """Return the unused retries that the quota owner granted."""
        return self._gate.quota.balance(now, service)

    def has_room(self, now: float, service: str) -> bool:
        """Return whether a retry may be made at once; if not, ask for one."""
        if self._budget(service).has_room or self.granted(now, service) >= 1:
            return True
        self._want(now, service)
        return False

    def spend(self, now: float, service: str) -> bool:
        """Charge a retry if one may be made at once; if not, ask for one.

        Returns
        -------
        bool
            Whether a retry was charged.
        """
        if self._budget(service).spend() or self._gate.quota.charge(now, service, 1):
            return True
        self._want(now, service)
        return False

    def take(
        self, now: float, service: str, on_decision: Callable[[bool], None]
    ) -> None:
        """Charge a retry, at once or when the quota owner grants one.

        Parameters
        ----------
        now : float
            Boot time in seconds.
        service : str
            Service of the request.
        on_decision : callable
            Called once, at once or within `RETRY_WAIT_S`, with whether the retry was
            charged.
        """
        if self._budget(service).spend():
            on_decision(True)
            return
        if not self._can_be_granted:
            on_decision(self._gate.quota.charge(now, service, 1))
            return
        must_ask = self._gate.charge(
            now,
            service,
            1,
            lambda outcome, retry_s: on_decision(outcome is Charge.CHARGED),
        )
        if must_ask:
            self._ask_owner()

    # Exchanges with the quota owner.

    def idle(self) -> tuple[IdleRetries, ...]:
        """Return the earned retries that could not be saved, since the process start.

        The owner grants them to routers whose requests fail.
        """
        return tuple(
            IdleRetries(service, int(budget.idle))
            for service, budget in self._earned.items()
            if budget.idle >= 1
        )

    def serve(self, now: float) -> None:
        """End the waits of requests that got no retry in time."""
        for service, until in tuple(self._wanted_until.items()):
            if now >= until:
                del self._wanted_until[service]
                self._gate.quota.want(service, 0)
        self._gate.serve(now)

    def request(self, now: float, name: str, incarnation: str) -> GrantRequest | None:
        """Return the request to the quota owner, None if none is due."""
        if now < self._gate.quota.next_ask_at:
            return None
        request = self._gate.request(now, name, incarnation, "", "")
        if not request.asks:
            self._gate.quota.withdraw()
            return None
        self._asked_at = now
        return request

    def receive(self, now: float, reply: GrantReply) -> None:
        """Apply a reply of the quota owner, and decide on the waiting requests."""
        self._gate.receive(now, self._asked_at, reply)

    def restart(self) -> None:
        """Ask the quota owner again, because the asked one is gone."""
        self._gate.quota.restart()

    def _want(self, now: float, service: str) -> None:
        """Ask for a retry for a request that checks again later."""
        if self._can_be_granted:
            self._wanted_until[service] = now + WANTED_S
            self._gate.quota.want(service, 1)
            self._ask_owner()

    def _budget(self, service: str) -> RetryBudget:
        budget = self._earned.get(service)
        if budget is None:
            budget = self._earned[service] = RetryBudget(self._settings())
        return budget

    def _settings(self) -> RetrySettings:
        return RetrySettings(ratio=self._bounds.retry_ratio, reserve=self.share)
