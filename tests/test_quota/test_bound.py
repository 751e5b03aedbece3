"""No window of T seconds is charged more than burst + rate x T, under any failure."""

from __future__ import annotations

from attrs import define, evolve, frozen
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from berylnotch.quota import LocalQuota, QuotaOwner, QuotaSettings
from berylnotch.quota.messages import GrantReply, GrantRequest
from tests.test_quota.fakes import FakeLimit

SETTINGS = QuotaSettings(lifetime_s=2.0, drift=1.0, grace_s=0.0)
LIMITS = {"clinic": FakeLimit(rate=50, burst=100)}
N_ROUTERS = 2
TOLERANCE = 1e-6

router_indexes = st.integers(0, N_ROUTERS - 1)
token_amounts = st.sampled_from([10, 100])
pauses = st.sampled_from([0.0, 0.0, 0.0, 0.4, 1.0, 1.8, 2.6, 3.6])
choices = st.integers(0, 10_000)


@define
class Router:
    """A router whose clock runs at ``speed`` times the speed of the true time."""

    name: str
    speed: float
    incarnation: int = 0
    quota: LocalQuota = None

    def start(self):
        self.incarnation += 1
        self.quota = LocalQuota(SETTINGS)


@frozen
class Exchange:
    """A request of one router incarnation, or its reply, that is in flight."""

    quota: LocalQuota
    sent_at: float
    message: GrantRequest | GrantReply


class QuotaMachine(RuleBasedStateMachine):
    """Successive owners, routers, and a network that delays, reorders and repeats.

    A virtual bucket starts full, is refilled at the rate and is drained by the
    charges. Its level stays at or above zero if and only if every window keeps the
    bound.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.requests = []
        self.replies = []
        speeds = (0.5, 1.0)
        self.router_states = [
            Router(f"vm-{i}", speed) for i, speed in enumerate(speeds)
        ]
        for router in self.router_states:
            router.start()
        self.owner = QuotaOwner(SETTINGS, 1, -1000.0)
        self.virtual_level = LIMITS["clinic"].burst
        self.virtual_level_at = 0.0

    def _router_clock(self, router):
        return self.now * router.speed

    def _advance_time(self, seconds):
        """Advance the time while other calls update the owner."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 0.2)
            self.owner.level(self.now, "clinic")

    def _open_exchange(self, router, tokens):
        router_state = self.router_states[router]
        router_state.quota.want("clinic", tokens, min(tokens, 10))
        asks = router_state.quota.asks(self._router_clock(router_state))
        message = GrantRequest(
            vm=router_state.name,
            incarnation=str(router_state.incarnation),
            http_address="",
            failure_domain="",
            leaving=False,
            sequence=router_state.quota.sequence,
            asks=asks,
        )
        exchange = Exchange(
            router_state.quota, self._router_clock(router_state), message
        )
        self.requests.append(exchange)

    def _deliver_request(self, choice, is_duplicated):
        exchange = self._pick_message(self.requests, choice, is_duplicated)
        reply = self.owner.grant(self.now, exchange.message, LIMITS)
        self.replies.append(evolve(exchange, message=reply))

    def _deliver_reply(self, choice, is_duplicated):
        exchange = self._pick_message(self.replies, choice, is_duplicated)
        exchange.quota.receive(exchange.sent_at, exchange.message)

    def _charge(self, router, tokens):
        router_state = self.router_states[router]
        if not router_state.quota.charge(
            self._router_clock(router_state), "clinic", tokens
        ):
            return
        limit = LIMITS["clinic"]
        refilled = limit.rate * (self.now - self.virtual_level_at)
        self.virtual_level = min(limit.burst, self.virtual_level + refilled) - tokens
        self.virtual_level_at = self.now

    def _charge_held(self, router):
        router_state = self.router_states[router]
        held = router_state.quota.balance(self._router_clock(router_state), "clinic")
        self._charge(router, held)

    @rule(router=router_indexes, tokens=token_amounts, pause=pauses)
    def ask(self, router, tokens, pause):
        """Send a request that stays in flight."""
        self._advance_time(pause)
        self._open_exchange(router, tokens)

    @rule(
        router=router_indexes,
        tokens=token_amounts,
        pause=pauses,
        is_duplicated=st.booleans(),
    )
    def ask_owner(self, router, tokens, pause, is_duplicated):
        """Send a request that reaches the owner; the reply stays in flight."""
        self._advance_time(pause)
        self._open_exchange(router, tokens)
        self._deliver_request(-1, is_duplicated)

    @rule(
        router=router_indexes,
        tokens=token_amounts,
        pause=pauses,
        is_duplicated=st.booleans(),
    )
    def obtain_grant(self, router, tokens, pause, is_duplicated):
        """Complete an exchange at once; duplicates may arrive later."""
        self._advance_time(pause)
        self._open_exchange(router, tokens)
        self._deliver_request(-1, is_duplicated)
        self._deliver_reply(-1, is_duplicated)

    @precondition(lambda self: self.requests)
    @rule(choice=choices, pause=pauses, is_duplicated=st.booleans())
    def deliver_request(self, choice, pause, is_duplicated):
        self._advance_time(pause)
        self._deliver_request(choice, is_duplicated)

    @precondition(lambda self: self.replies)
    @rule(choice=choices, pause=pauses, is_duplicated=st.booleans())
    def deliver_reply(self, choice, pause, is_duplicated):
        self._advance_time(pause)
        self._deliver_reply(choice, is_duplicated)

    @rule(router=router_indexes, tokens=token_amounts, pause=pauses)
    def charge(self, router, tokens, pause):
        self._advance_time(pause)
        self._charge(router, tokens)

    @rule(pause=pauses)
    def charge_all(self, pause):
        """Charge all held tokens, then all tokens that the owner still grants."""
        self._advance_time(pause)
        for router in range(N_ROUTERS):
            self._charge_held(router)
        for router in range(N_ROUTERS):
            for tokens in (10, 100):
                self._open_exchange(router, tokens)
                self._deliver_request(-1, False)
                self._deliver_reply(-1, False)
            self._charge_held(router)

    @rule(router=router_indexes, pause=pauses)
    def crash(self, router, pause):
        self._advance_time(pause)
        self.router_states[router].start()

    @rule(router=router_indexes)
    def release(self, router):
        self.router_states[router].quota.release(
            self._router_clock(self.router_states[router])
        )

    @rule(pause=pauses)
    def change_owner(self, pause):
        """Start a new owner; replies of the old owner may still arrive."""
        self._advance_time(pause)
        self.owner = QuotaOwner(SETTINGS, self.owner.term + 1, self.now)

    @invariant()
    def no_window_exceeds_its_bound(self):
        assert self.virtual_level >= -TOLERANCE

    @invariant()
    def level_is_never_above_the_burst(self):
        level = self.owner.level(self.now, "clinic")
        assert -TOLERANCE <= level <= LIMITS["clinic"].burst

    def _pick_message(self, messages, choice, is_duplicated):
        index = choice if choice < 0 else choice % len(messages)
        return messages[index] if is_duplicated else messages.pop(index)


QuotaMachine.TestCase.settings = settings(max_examples=1000, stateful_step_count=30)
TestQuota = QuotaMachine.TestCase
