"""Charges requests to their organisations' limits and queues those without tokens."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum

from attrs import frozen

from berylnotch.quota.local import LocalQuota
from berylnotch.quota.messages import GrantReply, GrantRequest


class Charge(Enum):
    """Outcome of a charge."""

    CHARGED = "charged"
    OVER_LIMIT = "over-limit"
    UNKNOWN = "limit-unknown"


#: Called with the outcome and with the retry delay of the caller in seconds.
OnCharged = Callable[[Charge, float], None]


@frozen
class _PendingCharge:
    """A request that waits for tokens."""

    tokens: int
    expires_at: float
    on_charged: OnCharged
    is_resumption: bool


class QuotaGate:
    """Charges requests to the tokens that the quota owner granted to this router.

    Parameters
    ----------
    quota : LocalQuota
        Grants of this router.
    wait_s : float
        Longest time in seconds for which a request waits for a grant.
    resumption_wait_s : float, default=0.0
        Longest time in seconds for which a request that resumes a stream waits, if it
        exceeds ``wait_s``.
    """

    def __init__(
        self, quota: LocalQuota, wait_s: float, resumption_wait_s: float = 0.0
    ) -> None:
        self._quota = quota
        self._wait_s = wait_s
        self._resumption_wait_s = max(wait_s, resumption_wait_s)
        self._pending: dict[str, deque[_PendingCharge]] = {}

    @property
    def quota(self) -> LocalQuota:
        """Grants of this router."""
        return self._quota

    def charge(
        self,
        now: float,
        organisation: str,
        tokens: int,
        on_charged: OnCharged,
        is_resumption: bool = False,
        wait_s: float = 0.0,
    ) -> bool:
        """Charge a request, at once or as soon as a grant allows it.

        A request that resumes a stream gets tokens before the organisation's others,
        and waits for them while the organisation is over its limit. ``wait_s`` is the
        time in seconds for which the request may wait, if it exceeds the usual one.

        Returns
        -------
        bool
            Whether the quota owner should be asked for tokens soon.
        """
        queue = self._pending.get(organisation)
        is_next = not queue or is_resumption and not queue[0].is_resumption
        if is_next and self._quota.charge(now, organisation, tokens):
            on_charged(Charge.CHARGED, 0.0)
            return False
        retry_s = self._quota.retry_after_ms(organisation) / 1000
        if retry_s > 0 and not is_resumption:
            on_charged(Charge.OVER_LIMIT, retry_s)
            return False
        queue = self._pending.setdefault(organisation, deque())
        usual_s = self._resumption_wait_s if is_resumption else self._wait_s
        wait_s = max(usual_s, wait_s)
        pending = _PendingCharge(tokens, now + wait_s, on_charged, is_resumption)
        resumptions = sum(earlier.is_resumption for earlier in queue)
        queue.insert(resumptions if is_resumption else len(queue), pending)
        self._update_demand(organisation)
        return True

    def release(self, organisations: Iterable[str]) -> None:
        """Let the waiting requests of organisations without a limit go on."""
        for organisation in organisations:
            pending_charges = self._pending.pop(organisation, ())
            if pending_charges:
                self._update_demand(organisation)
            for pending in pending_charges:
                pending.on_charged(Charge.CHARGED, 0.0)

    def receive(self, now: float, sent_at: float, reply: GrantReply) -> None:
        """Apply a reply of the quota owner, and charge the waiting requests."""
        if self._quota.receive(sent_at, reply):
            self.serve(now)

    def request(
        self, now: float, name: str, incarnation: str, address: str, domain: str
    ) -> GrantRequest:
        """Return the next request for tokens to the quota owner."""
        token_requests = self._quota.asks(now)
        return GrantRequest(
            name,
            incarnation,
            address,
            domain,
            False,
            self._quota.sequence,
            token_requests,
            joined_term=self._quota.joined_term,
        )

    def serve(self, now: float) -> None:
        """Charge the waiting requests, and refuse those that have waited too long."""
        for organisation in tuple(self._pending):
            self._serve_queue(now, organisation)

    def _serve_queue(self, now: float, organisation: str) -> None:
        queue = self._pending[organisation]
        retry_s = self._quota.retry_after_ms(organisation) / 1000
        refusal = Charge.OVER_LIMIT if retry_s > 0 else Charge.UNKNOWN
        while queue:
            first_charge = queue[0]
            if self._quota.charge(now, organisation, first_charge.tokens):
                queue.popleft().on_charged(Charge.CHARGED, 0.0)
            elif now >= first_charge.expires_at:
                queue.popleft().on_charged(refusal, retry_s)
            else:
                break
        # Requests of routes with different waits stand in one queue.
        expired = [pending for pending in queue if now >= pending.expires_at]
        for pending in expired:
            queue.remove(pending)
            pending.on_charged(refusal, retry_s)
        # While the organisation is over its limit, only resumptions wait.
        while queue and retry_s > 0 and not queue[-1].is_resumption:
            queue.pop().on_charged(Charge.OVER_LIMIT, retry_s)
        if not queue:
            del self._pending[organisation]
        self._update_demand(organisation)

    def _update_demand(self, organisation: str) -> None:
        queue = self._pending.get(organisation, ())
        total_tokens = sum(pending.tokens for pending in queue)
        first_tokens = queue[0].tokens if queue else 0
        self._quota.want(organisation, total_tokens, first_tokens)
