"""Token limits of the organisations in a simulation, with one quota owner.

The owner hands out grants to the routers; each router admits requests against its
grants and queues those that lack tokens.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from berylnotch.quota.local import LocalQuota
from berylnotch.quota.messages import GrantRequest
from berylnotch.quota.owner import QuotaOwner
from berylnotch.quota.settings import QuotaSettings

if TYPE_CHECKING:
    from benchmarks.loop import Loop
    from benchmarks.router import Router
    from benchmarks.workload import Request
    from berylnotch.fleet.model import Fleet, Organisation

#: Time in seconds between the owner's start and the start of the run. Buckets start
#: empty, and all of them fill up in this time.
OWNER_AGE_S = 100.0

#: One-way network delay in seconds between a router and the owner.
ONE_WAY_S = 0.001

#: Interval in seconds at which a router checks whether a grant request is due.
ASK_POLL_S = 0.05

#: Time constant in seconds of the usage average that priorities are computed from.
#: An average over ten seconds covers too few requests of a small organisation: a single
#: session gave the small organisation a lower priority than an organisation that sends
#: five times its rate.
USAGE_WINDOW_S = 60.0

#: Longest time in seconds that a request waits for tokens.
MAX_WAIT_S = 10.0


@define
class _ReferenceBucket:
    """Central token bucket that shows which refusals were wrongful.

    A refusal is wrongful if this bucket held enough tokens for the request and all that
    were queued before it. The bucket is charged with every request that runs and
    refilled without delay.
    """

    limit: Organisation
    level: float
    updated_at: float = 0.0
    waiting_tokens: dict[int, int] = field(factory=dict)

    def refill_and_check(self, now: float, tokens: int) -> bool:
        """Refill the bucket and return whether it holds ``tokens``."""
        refilled = self.level + (now - self.updated_at) * self.limit.rate
        self.level = min(float(self.limit.burst), refilled)
        self.updated_at = now
        return tokens <= self.level

    def take_tokens(self, now: float, tokens: int) -> None:
        """Charge the tokens of a request that runs."""
        self.refill_and_check(now, tokens)
        self.level -= tokens


@frozen
class _QueuedRequest:
    number: int
    tokens: int
    is_within_limit: bool
    deadline: float
    on_admitted: Callable[[], None]
    on_refused: Callable[[bool], None]


@define
class _RouterState:
    """Grants of one router and its queues of requests that wait for tokens."""

    quota: LocalQuota
    queues: dict[str, deque[_QueuedRequest]]


class Limits:
    """Admits requests within their organisation's rate and burst."""

    def __init__(self, loop: Loop, fleet: Fleet, routers: dict[str, Router]) -> None:
        self._loop = loop
        self._fleet = fleet
        self._routers = routers
        self._settings = QuotaSettings(usage_window_s=USAGE_WINDOW_S)
        self._owner = QuotaOwner(self._settings, 1, -OWNER_AGE_S)
        self._router_states = {name: self._new_state() for name in routers}
        self._reference_buckets = {
            name: _ReferenceBucket(organisation, float(organisation.burst))
            for name, organisation in fleet.organisations.items()
        }

    def start(self, until: float) -> None:
        """Start the periodic exchanges of grants between the routers and the owner."""
        for name in self._router_states:
            self._loop.every(
                ASK_POLL_S, until + MAX_WAIT_S, lambda name=name: self._poll(name)
            )

    def reset_router(self, router: Router) -> None:
        """Discard the grants of a router whose process has restarted.

        Requests that wait for tokens are handed to the new process.
        """
        name = router.vm.address
        queues = self._router_states[name].queues
        self._router_states[name] = _RouterState(LocalQuota(self._settings), queues)

    def priority(self, router: Router, organisation: str) -> int:
        """Return the priority that is sent to engines, from 0 (highest) to 9."""
        return self._router_states[router.vm.address].quota.priority(organisation)

    def admit(
        self,
        router: Router,
        request: Request,
        on_admitted: Callable[[], None],
        on_refused: Callable[[bool], None],
    ) -> None:
        """Run a request, queue it until tokens arrive, or refuse it.

        The argument of ``on_refused`` says whether the request was within the limit:
        whether the reference bucket held enough tokens for this request and for all
        that were queued before it.
        """
        now, organisation = self._loop.now, request.organisation
        tokens = request.pieces * 1024 + request.tail_tokens + request.output_tokens
        bucket = self._reference_buckets[organisation]
        is_within_limit = bucket.refill_and_check(
            now, tokens + sum(bucket.waiting_tokens.values())
        )
        bucket.waiting_tokens[request.number] = tokens
        state = self._router_states[router.vm.address]
        queue = state.queues.setdefault(organisation, deque())
        queue.append(
            _QueuedRequest(
                request.number,
                tokens,
                is_within_limit,
                now + MAX_WAIT_S,
                on_admitted,
                on_refused,
            )
        )
        self._serve(state, organisation)
        if queue and state.quota.retry_after_ms(organisation):
            # The newest request is refused, because the requests queued before it
            # get their tokens first.
            self._refuse(organisation, queue.pop())
            self._serve(state, organisation)

    def _refuse(self, organisation: str, queued: _QueuedRequest) -> None:
        del self._reference_buckets[organisation].waiting_tokens[queued.number]
        queued.on_refused(queued.is_within_limit)

    def _new_state(self) -> _RouterState:
        return _RouterState(LocalQuota(self._settings), {})

    def _serve(self, state: _RouterState, organisation: str) -> None:
        now, queue = self._loop.now, state.queues[organisation]
        bucket = self._reference_buckets[organisation]
        while queue:
            head = queue[0]
            if state.quota.charge(now, organisation, head.tokens):
                queue.popleft()
                del bucket.waiting_tokens[head.number]
                bucket.take_tokens(now, head.tokens)
                head.on_admitted()
                continue
            if now <= head.deadline:
                break
            self._refuse(organisation, queue.popleft())
        wanted_tokens = sum(queued.tokens for queued in queue)
        state.quota.want(organisation, wanted_tokens, queue[0].tokens if queue else 0)

    def _poll(self, name: str) -> None:
        state, now = self._router_states[name], self._loop.now
        if now < state.quota.next_ask_at:
            return
        vm = self._routers[name].vm
        request = GrantRequest(
            vm=vm.name,
            incarnation=str(self._routers[name].restarts),
            http_address=vm.address,
            failure_domain=vm.failure_domain,
            leaving=False,
            asks=state.quota.asks(now),
            sequence=state.quota.sequence,
        )
        self._loop.after(ONE_WAY_S, lambda: self._grant(name, state, now, request))

    def _grant(
        self, name: str, state: _RouterState, sent_at: float, request: GrantRequest
    ) -> None:
        organisations = self._fleet.organisations
        reply = self._owner.grant(self._loop.now, request, organisations)

        def receive() -> None:
            state.quota.receive(sent_at, reply)
            for organisation in state.queues:
                self._serve(state, organisation)

        self._loop.after(ONE_WAY_S, receive)
