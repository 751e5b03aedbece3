"""No window uses more tokens than its limit, over ends of routers and of owners."""

from hypothesis import given
from hypothesis import strategies as st

from berylnotch.quota import LocalQuota, QuotaOwner, QuotaSettings
from berylnotch.quota.window_bucket import WindowBucket
from tests.test_quota.fakes import FakeLimit, exchange, request

SETTINGS = QuotaSettings(lifetime_s=2.0, wait_s=0.0, grace_s=0.0, refused_leave=True)
WINDOW_S, BURST = 10.0, 6
LIMITS = {"desk": FakeLimit(rate=BURST / WINDOW_S, burst=BURST)}
N_ROUTERS = 3

router_indexes = st.integers(0, N_ROUTERS - 1)
steps = st.one_of(
    st.tuples(st.just("pass"), st.sampled_from([0.3, 1.0, 2.5, 7.0])),
    st.tuples(st.just("charge"), router_indexes),
    st.tuples(st.just("exchange"), router_indexes),
    st.tuples(st.just("lose reply"), router_indexes),
    st.tuples(st.just("restart"), router_indexes),
    st.tuples(st.just("new owner"), st.just(0)),
)


def new_owner(term, now, known_from=None):
    def new_bucket(limit, steady_from):
        since = steady_from if known_from is None else known_from
        return WindowBucket(limit.burst, WINDOW_S, since)

    return QuotaOwner(SETTINGS, term, now, new_bucket)


def first_owner():
    return new_owner(1, -100.0, known_from=-100.0)


def ask_for(quota, tokens):
    quota.want("desk", tokens, 1)


@given(st.lists(steps, max_size=60))
def test_ended_routers_and_owners_do_not_raise_the_charges_of_a_window(actions):
    """A charge is forgotten with the process that made it or granted it."""
    owner, now, term = first_owner(), 0.0, 1
    quotas = [LocalQuota(SETTINGS) for _ in range(N_ROUTERS)]
    names = [f"vm-{n}/0" for n in range(N_ROUTERS)]
    charges = []
    for number, (action, value) in enumerate(actions):
        if action == "pass":
            now += value
        elif action == "charge":
            while quotas[value].charge(now, "desk", 1):
                charges.append(now)
        elif action == "exchange":
            ask_for(quotas[value], BURST)
            exchange(owner, quotas[value], now, LIMITS, names[value])
        elif action == "lose reply":
            ask_for(quotas[value], BURST)
            owner.grant(now, request(quotas[value], now, names[value]), LIMITS)
        elif action == "restart":
            quotas[value], names[value] = LocalQuota(SETTINGS), f"vm-{value}/{number}"
        else:
            term += 1
            owner = new_owner(term, now)
        in_window = [at for at in charges if at > now - WINDOW_S]
        assert len(in_window) <= BURST


def test_charges_return_when_they_have_left_the_window():
    owner, quota = first_owner(), LocalQuota(SETTINGS)
    ask_for(quota, BURST)
    exchange(owner, quota, 0.0, LIMITS)
    assert quota.charge(1.0, "desk", BURST)
    exchange(owner, quota, 1.0, LIMITS)
    exchange(owner, quota, 9.0, LIMITS)
    assert quota.balance(9.0, "desk") == 0
    exchange(owner, quota, 11.0, LIMITS)
    assert quota.balance(11.0, "desk") == BURST


def test_next_owner_grants_once_the_window_holds_only_charges_that_it_knows():
    owner, quota = new_owner(2, 0.0), LocalQuota(SETTINGS)
    full_from = SETTINGS.owner_lifetime_s + WINDOW_S
    for now in (0.0, 5.0, full_from - 0.1):
        ask_for(quota, BURST)
        exchange(owner, quota, now, LIMITS)
        assert quota.balance(now, "desk") == 0
    exchange(owner, quota, full_from + 0.1, LIMITS)
    assert quota.balance(full_from + 0.1, "desk") == BURST


def test_lower_limit_counts_earlier_charges():
    owner, quota = first_owner(), LocalQuota(SETTINGS)
    ask_for(quota, 4)
    exchange(owner, quota, 0.0, LIMITS)
    assert quota.charge(0.0, "desk", 4)
    lower = {"desk": FakeLimit(rate=0.4, burst=4)}
    ask_for(quota, 1)
    exchange(owner, quota, 1.0, lower)
    assert quota.balance(1.0, "desk") == 0
