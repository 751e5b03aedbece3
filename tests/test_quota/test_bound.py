"""No window is charged more than burst + rate x T, whatever fails."""

from __future__ import annotations

from attrs import define, evolve, frozen
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylnotch.quota import LocalQuota, QuotaOwner, QuotaSettings
from berylnotch.quota.messages import GrantReply, GrantRequest
from tests.test_quota.fakes import Limits

SETTINGS = QuotaSettings(lifetime_s=2.0, drift=1.0, grace_s=0.0)
LIMITS = {"clinic": Limits(rate=50, burst=100)}
ROUTERS = 2
ROUNDING = 1e-6

routers = st.integers(0, ROUTERS - 1)
amounts = st.sampled_from([10, 100])
pauses = st.sampled_from([0.0, 0.0, 0.0, 0.4, 1.0, 1.8, 2.6, 3.6])
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
        speeds = (0.5, 1.0)
        self.fleet = [Router(f"vm-{i}", speed) for i, speed in enumerate(speeds)]
        for router in self.fleet:
            router.start()
        self.owner = QuotaOwner(SETTINGS, 1, -1000.0)
        self.room = LIMITS["clinic"].burst
        self.charged_at = 0.0

    def _clock(self, router):
        return self.now * router.speed

    def _wait(self, seconds):
        """Let time pass while others keep the owner busy."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.2)
            self.owner.level(self.now, "clinic")

    def _open(self, router, tokens):
        sender = self.fleet[router]
        sender.quota.want("clinic", tokens, min(tokens, 10))
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

    def _reach_owner(self, pick, keep):
        exchange = self._take(self.requests, pick, keep)
        reply = self.owner.grant(self.now, exchange.message, LIMITS)
        self.replies.append(evolve(exchange, message=reply))

    def _reach_router(self, pick, keep):
        exchange = self._take(self.replies, pick, keep)
        exchange.quota.receive(exchange.sent_at, exchange.message)

    def _charge(self, router, tokens):
        payer = self.fleet[router]
        if not payer.quota.charge(self._clock(payer), "clinic", tokens):
            return
        limit = LIMITS["clinic"]
        refilled = limit.rate * (self.now - self.charged_at)
        self.room = min(limit.burst, self.room + refilled) - tokens
        self.charged_at = self.now

    def _charge_held(self, router):
        payer = self.fleet[router]
        held = payer.quota.balance(self._clock(payer), "clinic")
        self._charge(router, held)

    @rule(router=routers, tokens=amounts, pause=pauses)
    def ask(self, router, tokens, pause):
        """Send a request that is under way."""
        self._wait(pause)
        self._open(router, tokens)

    @rule(router=routers, tokens=amounts, pause=pauses, keep=st.booleans())
    def ask_owner(self, router, tokens, pause, keep):
        """Ask and reach the owner, whose reply is under way."""
        self._wait(pause)
        self._open(router, tokens)
        self._reach_owner(-1, keep)

    @rule(router=routers, tokens=amounts, pause=pauses, keep=st.booleans())
    def borrow(self, router, tokens, pause, keep):
        """Ask and be answered at once; copies may turn up again later."""
        self._wait(pause)
        self._open(router, tokens)
        self._reach_owner(-1, keep)
        self._reach_router(-1, keep)

    @precondition(lambda self: self.requests)
    @rule(pick=picks, pause=pauses, keep=st.booleans())
    def reach_owner(self, pick, pause, keep):
        self._wait(pause)
        self._reach_owner(pick, keep)

    @precondition(lambda self: self.replies)
    @rule(pick=picks, pause=pauses, keep=st.booleans())
    def reach_router(self, pick, pause, keep):
        self._wait(pause)
        self._reach_router(pick, keep)

    @rule(router=routers, tokens=amounts, pause=pauses)
    def charge(self, router, tokens, pause):
        self._wait(pause)
        self._charge(router, tokens)

    @rule(pause=pauses)
    def charge_all(self, pause):
        """Charge everything, then all that the owner still lends."""
        self._wait(pause)
        for router in range(ROUTERS):
            self._charge_held(router)
        for router in range(ROUTERS):
            for tokens in (10, 100):
                self._open(router, tokens)
                self._reach_owner(-1, False)
                self._reach_router(-1, False)
            self._charge_held(router)

    @rule(router=routers, pause=pauses)
    def crash(self, router, pause):
        self._wait(pause)
        self.fleet[router].start()

    @rule(router=routers)
    def release(self, router):
        self.fleet[router].quota.release(self._clock(self.fleet[router]))

    @rule(pause=pauses)
    def change_owner(self, pause):
        """Begin a new lease after the old one; its replies may still arrive."""
        self._wait(pause)
        self.owner = QuotaOwner(SETTINGS, self.owner.term + 1, self.now)

    @invariant()
    def no_window_is_over_its_bound(self):
        assert self.room >= -ROUNDING

    @invariant()
    def level_is_never_above_the_burst(self):
        level = self.owner.level(self.now, "clinic")
        assert -ROUNDING <= level <= LIMITS["clinic"].burst

    def _take(self, bag, pick, keep):
        index = pick if pick < 0 else pick % len(bag)
        return bag[index] if keep else bag.pop(index)


Fleet.TestCase.settings = settings(max_examples=1000, stateful_step_count=30)
TestFleet = Fleet.TestCase
