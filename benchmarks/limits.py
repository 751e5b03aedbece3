"""The organisations' limits in a run: one owner, and grants at each router."""

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

#: Seconds before the run at which the owner started, so that buckets are full.
OWNER_AGE_S = 100.0

#: Seconds between a router and the owner, one way.
ONE_WAY_S = 0.001

#: Seconds between two looks at whether a router should ask the owner.
ASK_POLL_S = 0.05

#: Time constant in seconds of the use behind the priorities. Ten seconds hold
#: too few requests of a small organisation: one session made it lose priority
#: against one that sends five times its rate.
USAGE_WINDOW_S = 60.0

#: Seconds for which a request waits for tokens at most.
WAIT_S = 10.0


@define
class _IdealBucket:
    """One bucket that is charged with all that runs, and refilled at once."""

    limit: Organisation
    level: float
    at: float = 0.0
    waiting: dict[int, int] = field(factory=dict)

    def has(self, now: float, tokens: int) -> bool:
        """Refill, and return whether so many tokens are there."""
        refilled = self.level + (now - self.at) * self.limit.rate
        self.level = min(float(self.limit.burst), refilled)
        self.at = now
        return tokens <= self.level

    def take(self, now: float, tokens: int) -> None:
        """Charge a request that runs."""
        self.has(now, tokens)
        self.level -= tokens


@frozen
class _Waiting:
    number: int
    tokens: int
    is_inside: bool
    deadline: float
    run: Callable[[], None]
    refuse: Callable[[bool], None]


@define
class _Desk:
    """One router's grants and the requests that wait for tokens there."""

    quota: LocalQuota
    waiting: dict[str, deque[_Waiting]]


class Limits:
    """Admits requests within their organisation's rate and burst."""

    def __init__(self, loop: Loop, fleet: Fleet, routers: dict[str, Router]) -> None:
        self._loop = loop
        self._fleet = fleet
        self._routers = routers
        self._settings = QuotaSettings(usage_window_s=USAGE_WINDOW_S)
        self._owner = QuotaOwner(self._settings, 1, -OWNER_AGE_S)
        self._desks = {name: self._new_desk() for name in routers}
        self._ideal = {
            name: _IdealBucket(organisation, float(organisation.burst))
            for name, organisation in fleet.organisations.items()
        }

    def start(self, until: float) -> None:
        """Begin the routers' exchanges with the owner."""
        for name in self._desks:
            self._loop.every(
                ASK_POLL_S, until + WAIT_S, lambda name=name: self._poll(name)
            )

    def forget(self, router: Router) -> None:
        """Take a router's grants away, as its process is new.

        Requests that wait for tokens come back to the new process.
        """
        name = router.vm.address
        waiting = self._desks[name].waiting
        self._desks[name] = _Desk(LocalQuota(self._settings), waiting)

    def priority(self, router: Router, organisation: str) -> int:
        """Return the priority for engines, 0 (best) to 9."""
        return self._desks[router.vm.address].quota.priority(organisation)

    def admit(
        self,
        router: Router,
        request: Request,
        run: Callable[[], None],
        refuse: Callable[[bool], None],
    ) -> None:
        """Charge a request and run it, let it wait for tokens, or refuse it.

        ``refuse`` is told whether the request came inside the limit: whether one
        bucket, charged with all that ran, held enough tokens for it and for
        all that waited already.
        """
        now, organisation = self._loop.now, request.organisation
        tokens = request.pieces * 1024 + request.tail_tokens + request.output_tokens
        ideal = self._ideal[organisation]
        is_inside = ideal.has(now, tokens + sum(ideal.waiting.values()))
        ideal.waiting[request.number] = tokens
        desk = self._desks[router.vm.address]
        line = desk.waiting.setdefault(organisation, deque())
        line.append(
            _Waiting(request.number, tokens, is_inside, now + WAIT_S, run, refuse)
        )
        self._serve(desk, organisation)
        if line and desk.quota.retry_after_ms(organisation):
            # The newest is refused; those before it are closer to their tokens.
            self._refuse(organisation, line.pop())
            self._serve(desk, organisation)

    def _refuse(self, organisation: str, waiting: _Waiting) -> None:
        del self._ideal[organisation].waiting[waiting.number]
        waiting.refuse(waiting.is_inside)

    def _new_desk(self) -> _Desk:
        return _Desk(LocalQuota(self._settings), {})

    def _serve(self, desk: _Desk, organisation: str) -> None:
        now, line = self._loop.now, desk.waiting[organisation]
        ideal = self._ideal[organisation]
        while line:
            head = line[0]
            if desk.quota.charge(now, organisation, head.tokens):
                line.popleft()
                del ideal.waiting[head.number]
                ideal.take(now, head.tokens)
                head.run()
                continue
            if now <= head.deadline:
                break
            self._refuse(organisation, line.popleft())
        wanted = sum(waiting.tokens for waiting in line)
        desk.quota.want(organisation, wanted, line[0].tokens if line else 0)

    def _poll(self, name: str) -> None:
        desk, now = self._desks[name], self._loop.now
        if now < desk.quota.next_ask_at:
            return
        vm = self._routers[name].vm
        request = GrantRequest(
            vm=vm.name,
            incarnation=str(self._routers[name].restarts),
            http_address=vm.address,
            failure_domain=vm.failure_domain,
            leaving=False,
            asks=desk.quota.asks(now),
            sequence=desk.quota.sequence,
        )
        self._loop.after(ONE_WAY_S, lambda: self._grant(name, desk, now, request))

    def _grant(
        self, name: str, desk: _Desk, sent_at: float, request: GrantRequest
    ) -> None:
        organisations = self._fleet.organisations
        reply = self._owner.grant(self._loop.now, request, organisations)

        def receive() -> None:
            desk.quota.receive(sent_at, reply)
            for organisation in desk.waiting:
                self._serve(desk, organisation)

        self._loop.after(ONE_WAY_S, receive)
