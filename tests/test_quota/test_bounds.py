"""The limits that a fleet enforces stay within the operators' bounds."""

import random

from berylnotch.entry.quota_gate import Charge, QuotaGate
from berylnotch.entry.settings import EntrySettings
from berylnotch.quota.bounds import (
    FLEET_QUOTA,
    HELD_SHARE,
    EffectiveLimit,
    effective_limits,
    is_limited,
)
from berylnotch.quota.local import LocalQuota
from berylnotch.quota.owner import QuotaOwner
from berylnotch.routing.model import Organisation
from berylnotch.settings.fleet import FleetBounds

BOUNDS = FleetBounds(quota_window_s=8, quota_overshoot=0.1, quota_slack=190_000)
ORGANISATION = Organisation("alpha", ("k",), 0, 55_000, 112_000, True, 200)

#: Longest wait for tokens, as in `berylnotch.entry.settings.EntrySettings`, in seconds.
MAX_WAIT_S = 0.45


def test_organisations_without_a_rate_are_not_limited():
    assert not is_limited(None)
    assert not is_limited(Organisation("free", ()))
    assert effective_limits((Organisation("free", ()),), BOUNDS) == {}


def simulate(seed, n_routers, demand_per_s, duration_s, failover_at):
    """Return the charges and the refusals, each as pairs of time and tokens.

    The owner is replaced at ``failover_at`` unless it is None.
    """
    rng = random.Random(seed)
    limits = effective_limits((ORGANISATION,), BOUNDS)
    owner = QuotaOwner(FLEET_QUOTA, 1, 0.0)
    gates = [QuotaGate(LocalQuota(FLEET_QUOTA), MAX_WAIT_S) for _ in range(n_routers)]
    floor = int(limits["alpha"].burst * HELD_SHARE / n_routers)
    for gate in gates:
        gate.quota.keep("alpha", floor)
    charges, refusals, now, step_s = [], [], 0.0, 0.02

    def charge(gate, tokens):
        def on_outcome(outcome, _retry_s):
            if outcome is Charge.CHARGED:
                charges.append((now, tokens))
            else:
                refusals.append((now, tokens))

        gate.charge(now, "alpha", tokens, on_outcome)

    while now < duration_s:
        now += step_s
        if failover_at is not None and now >= failover_at:
            owner, failover_at = QuotaOwner(FLEET_QUOTA, 2, now), None
        for number, gate in enumerate(gates):
            if rng.random() < demand_per_s * step_s / n_routers / 4_535:
                charge(gate, rng.choice((380, 380, 380, 17_000)))
            gate.serve(now)
            if now >= gate.quota.next_ask_at:
                request = gate.request(now, f"r{number}", "i", "a", "d")
                gate.receive(now, now, owner.grant(now, request, limits))
    return charges, refusals


def max_charged_in_window(charges, window_s):
    max_charged, start, total = 0, 0, 0
    for end, (at, tokens) in enumerate(charges):
        total += tokens
        while charges[start][0] <= at - window_s:
            total -= charges[start][1]
            start += 1
        max_charged = max(max_charged, total)
        assert end >= start
    return max_charged


def test_no_window_exceeds_the_bound_over_a_change_of_owner():
    bound = (55_000 * 8 + 112_000) * 1.1 + 190_000
    for seed in range(4):
        charges, _ = simulate(seed, 6, 400_000, 30, failover_at=12.0)
        assert max_charged_in_window(charges, 8.0) <= bound


def test_use_below_the_rate_is_never_refused():
    for seed in range(4):
        charges, refusals = simulate(seed, 6, 30_000, 30, failover_at=None)
        assert len(charges) > 100
        assert refusals == []


def test_routers_wait_longer_than_the_owner_expects():
    # The owner gives a retry-after time only if the expected wait exceeds its `wait_s`.
    # A router with a shorter wait would refuse requests that are about to get tokens.
    assert EntrySettings().quota_wait_s > FLEET_QUOTA.wait_s
    limits = {"alpha": EffectiveLimit(10_000, 20_000)}
    owner = QuotaOwner(FLEET_QUOTA, 1, 0.0)
    gate = QuotaGate(LocalQuota(FLEET_QUOTA), EntrySettings().quota_wait_s)
    outcomes, now = [], 0.0
    gate.charge(now, "alpha", 8_500, lambda *outcome: outcomes.append((now, *outcome)))
    gate.charge(now, "alpha", 2_300, lambda *outcome: outcomes.append((now, *outcome)))
    while now < 1.0:
        now += 0.05
        gate.serve(now)
        if now >= gate.quota.next_ask_at:
            request = gate.request(now, "r", "i", "a", "d")
            gate.receive(now, now, owner.grant(now, request, limits))
    assert [outcome for _, outcome, _ in outcomes] == [Charge.CHARGED] * 2


def test_first_reply_of_a_new_owner_covers_demand_until_the_next_owner():
    # The owner crashes right after each router sent one request, with no work waiting.
    limits = {"alpha": EffectiveLimit(50_000, 175_000)}
    n_routers, period_s = 6, 2.0
    owner = QuotaOwner(FLEET_QUOTA, 1, 0.0)
    gates = [QuotaGate(LocalQuota(FLEET_QUOTA), MAX_WAIT_S) for _ in range(n_routers)]
    for number, gate in enumerate(gates):
        gate.quota.keep("alpha", int(175_000 * HELD_SHARE / n_routers))
        request = gate.request(0.01, f"r{number}", "i", "a", "d")
        gate.receive(0.01, 0.01, owner.grant(0.01, request, limits))
    charged = []
    for gate in gates:
        for n in range(16):
            at = 0.02 + period_s * n / 16
            gate.charge(at, "alpha", 200, lambda *outcome: charged.append(outcome[0]))
    assert charged == [Charge.CHARGED] * (n_routers * 16)
