"""No window is charged more than burst + rate x T, whatever fails."""

from __future__ import annotations

from attrs import define, frozen
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylnotch.control.protocol import GrantReply, GrantRequest
from berylnotch.quota import LocalQuota, QuotaOwner, QuotaSettings
from tests.test_quota.fakes import Limits

SETTINGS = QuotaSettings(lifetime_s=2.0, drift=0.01, grace_s=0.0)
LIMITS = {"clinic": Limits(rate=10, burst=100)}
ROUTERS = 3
ROUNDING = 1e-6

routers = st.integers(0, ROUTERS - 1)
amounts = st.sampled_from([1, 7, 30, 60, 100])
picks = st.integers(0, 10_000)


@define
class Router:
    """A router whose clock runs at ``speed`` times the true time."""

    name: str
    speed: float
    incarnation: int = 0
    quota: LocalQuota = None

    def start(self):
        self.incarnation += 1
        self.quota = LocalQuota(SETTINGS)


@frozen
class Exchange:
    """A request on its way, or its reply, between one router's incarnations."""

    quota: LocalQuota
    sent_at: float
    message: GrantRequest | GrantReply


class Fleet(RuleBasedStateMachine):
    """Owners that follow each other, routers, and a network that may do all.

    A virtual bucket that starts full and is emptied by the charges stays at or
    above zero exactly if every window keeps the bound.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.requests = []
        self.replies = []
        speeds = (0.99, 1.0, 1.0)
        self.fleet = [Router(f"vm-{i}", speed) for i, speed in enumerate(speeds)]
        for router in self.fleet:
            router.start()
        self.owner = QuotaOwner(SETTINGS, 1, -SETTINGS.owner_lifetime_s)
        self.room = LIMITS["clinic"].burst
        self.charged_at = 0.0

    def _clock(self, router):
        return self.now * router.speed

    @rule(seconds=st.sampled_from([0.01, 0.3, 0.99, 1.9, 2.0, 2.03, 5.0]))
    def wait(self, seconds):
        self.now += seconds

    @rule(router=routers, tokens=amounts, first=amounts)
    def want(self, router, tokens, first):
        self.fleet[router].quota.want("clinic", tokens, min(tokens, first))

    @rule(router=routers)
    def stop_wanting(self, router):
        self.fleet[router].quota.want("clinic", 0)

    @rule(router=routers)
    def ask(self, router):
        sender = self.fleet[router]
        asks = sender.quota.asks(self._clock(sender))
        message = GrantRequest(
            vm=sender.name,
            incarnation=str(sender.incarnation),
            http_address="",
            failure_domain="",
            leaving=False,
            sequence=sender.quota.sequence,
            asks=asks,
        )
        exchange = Exchange(sender.quota, self._clock(sender), message)
        self.requests.append(exchange)

    @precondition(lambda self: self.requests)
    @rule(pick=picks, keep=st.booleans())
    def reach_owner(self, pick, keep):
        exchange = self._take(self.requests, pick, keep)
        reply = self.owner.grant(self.now, exchange.message, LIMITS)
        self.replies.append(Exchange(exchange.quota, exchange.sent_at, reply))

    @precondition(lambda self: self.replies)
    @rule(pick=picks, keep=st.booleans())
    def reach_router(self, pick, keep):
        exchange = self._take(self.replies, pick, keep)
        exchange.quota.receive(exchange.sent_at, exchange.message)

    @rule(router=routers)
    def exchange_at_once(self, router):
        self.ask(router)
        self.reach_owner(len(self.requests) - 1, False)
        self.reach_router(len(self.replies) - 1, False)

    @rule(router=routers, tokens=amounts)
    def charge(self, router, tokens):
        payer = self.fleet[router]
        if not payer.quota.charge(self._clock(payer), "clinic", tokens):
            return
        limit = LIMITS["clinic"]
        refilled = limit.rate * (self.now - self.charged_at)
        self.room = min(limit.burst, self.room + refilled) - tokens
        self.charged_at = self.now

    @rule(router=routers)
    def charge_all(self, router):
        payer = self.fleet[router]
        held = payer.quota.balance(self._clock(payer), "clinic")
        self.charge(router, held)

    @rule(router=routers)
    def crash(self, router):
        self.fleet[router].start()

    @rule(router=routers)
    def release(self, router):
        self.fleet[router].quota.release(self._clock(self.fleet[router]))

    @rule(gap=st.sampled_from([0.0, 0.5, 3.0]))
    def change_owner(self, gap):
        """Begin a new lease after the old one; its replies may still arrive."""
        self.now += gap
        self.owner = QuotaOwner(SETTINGS, self.owner.term + 1, self.now)

    @invariant()
    def no_window_is_over_its_bound(self):
        assert self.room >= -ROUNDING

    @invariant()
    def level_is_never_above_the_burst(self):
        level = self.owner.level(self.now, "clinic")
        assert -ROUNDING <= level <= LIMITS["clinic"].burst

    def _take(self, bag, pick, keep):
        index = pick % len(bag)
        return bag[index] if keep else bag.pop(index)


Fleet.TestCase.settings = settings(max_examples=400, stateful_step_count=60)
TestFleet = Fleet.TestCase
