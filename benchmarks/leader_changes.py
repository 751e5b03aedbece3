"""Use of an organisation's limit over changes of the owner, in virtual time.

Requests are charged at six routers by the shipped classes; the owner is gone for a
second at each change. Two organisations: one that sends the requests of a small model,
one that sends long prompts too. ``--before`` runs owners without records of earlier
ones, as before 0.2.0. Run with ``python -m benchmarks.leader_changes``.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Sequence

from berylnotch.daemon.fleet.limit_routers import LimitRouterList
from berylnotch.entry.quota_gate import Charge, QuotaGate
from berylnotch.group.commands import SettleLimits, TakeOverLimits
from berylnotch.group.state import FleetState
from berylnotch.quota.bounds import FLEET_QUOTA, HELD_SHARE, effective_limits
from berylnotch.quota.local import LocalQuota
from berylnotch.quota.owner import QuotaOwner
from berylnotch.quota.takeover import Takeover
from berylnotch.routing.model import Organisation
from berylnotch.settings.fleet import FleetBounds
from berylnotch.transport.packing import pack

BOUNDS = FleetBounds(quota_window_s=8, quota_overshoot=0.1, quota_slack=190_000)

#: Rate, burst and sizes of the requests of two organisations, in tokens.
ORGANISATIONS = {
    "small": (8_000, 20_000, (2_000,)),
    "large": (55_000, 112_000, (380, 380, 380, 17_000)),
}

#: Times of the changes of the owner, and seconds without an owner at each.
CHANGES_AT, GAP_S = (12.0, 14.5, 17.0, 19.5), 1.0

N_ROUTERS, STEP_S, DURATION_S, N_SEEDS = 6, 0.01, 34.0, 10

#: Longest wait for tokens, as in `berylnotch.entry.settings.EntrySettings`, in seconds.
MAX_WAIT_S = 0.45


class Owners:
    """Successive owners, and the records of which the next one learns."""

    def __init__(self, has_records: bool) -> None:
        self._has_records = has_records
        self._state = FleetState()
        self._number = 0

    def start(self, now: float) -> None:
        """Start the next owner."""
        self._number += 1
        takeover = None
        if self._has_records:
            self._state.apply(pack(TakeOverLimits("c")))
            owners = self._state.limit_owners
            share, routers = owners.unsettled[-1].share, dict(owners.routers)
            lifetime_s = FLEET_QUOTA.owner_lifetime_s
            takeover = Takeover(share, routers, now, lifetime_s)
        self._takeover = takeover
        span_s = FLEET_QUOTA.owner_lifetime_s + BOUNDS.quota_window_s
        self._routers = LimitRouterList(self._state, span_s)
        self._owner = QuotaOwner(FLEET_QUOTA, self._number, now, takeover=takeover)

    def answer(self, now, request, limits):
        """Return the reply to a router's request."""
        if self._takeover is not None:
            if not self._routers.is_listed(now, request):
                self._state.apply(pack(self._routers.additions([request])))
        reply = self._owner.grant(now, request, limits)
        takeover = self._takeover
        if takeover and takeover.is_headroom_free(now, BOUNDS.quota_window_s):
            self._state.apply(pack(SettleLimits(self._number)))
        return reply


def run(
    seed: int,
    name: str,
    demand: float,
    changes_at: Sequence[float],
    has_records: bool,
    sends_from: float = 0.0,
    out_of_contact: int = 0,
) -> tuple[list, list]:
    """Return time, tokens and begin of the charges, and of the refused requests.

    ``demand`` is a multiple of the rate. The last ``out_of_contact`` routers lose their
    owner at the first change.
    """
    rng = random.Random(seed)
    rate, burst, sizes = ORGANISATIONS[name]
    organisation = Organisation(name, ("k",), 0, rate, burst, True, 200)
    limits = effective_limits((organisation,), BOUNDS)
    per_step = demand * rate * STEP_S / N_ROUTERS / (sum(sizes) / len(sizes))
    owners, has_owner, pending = Owners(has_records), True, list(changes_at)
    owners.start(0.0)
    gates = [
        QuotaGate(LocalQuota(FLEET_QUOTA, BOUNDS.quota_window_s), MAX_WAIT_S)
        for _ in range(N_ROUTERS)
    ]
    for gate in gates:
        gate.quota.keep(name, int(limits[name].burst * HELD_SHARE / N_ROUTERS))
    charges, refusals, now = [], [], 0.0

    def send(gate: QuotaGate, tokens: int, begin: float) -> None:
        def on_outcome(outcome: Charge, _retry_s: float) -> None:
            kept = charges if outcome is Charge.CHARGED else refusals
            kept.append((now, tokens, begin))

        gate.charge(begin, name, tokens, on_outcome)

    while now < DURATION_S:
        now += STEP_S
        if pending and now >= pending[0]:
            has_owner = now >= pending[0] + GAP_S
            if has_owner:
                pending.pop(0)
                owners.start(now)
                for gate in gates:
                    gate.quota.restart()
        is_cut_from = changes_at[0] if changes_at else DURATION_S
        for number, gate in enumerate(gates):
            if now >= sends_from and rng.random() < per_step:
                send(gate, rng.choice(sizes), now)
            gate.serve(now)
            is_cut = number >= N_ROUTERS - out_of_contact and now >= is_cut_from
            if has_owner and not is_cut and now >= gate.quota.next_ask_at:
                request = gate.request(now, f"r{number}", "i", "a", "d")
                gate.receive(now, now, owners.answer(now, request, limits))
    return charges, refusals


def most_in_a_window(charges: Sequence[tuple[float, int, float]]) -> int:
    """Return the most tokens charged in a window."""
    most = start = total = 0
    for at, tokens, _ in charges:
        total += tokens
        while charges[start][0] <= at - BOUNDS.quota_window_s:
            total -= charges[start][1]
            start += 1
        most = max(most, total)
    return most


def main() -> None:
    """Print one line for each organisation and number of changes."""
    has_records = "--before" not in sys.argv
    for name, (rate, burst, _) in ORGANISATIONS.items():
        allowed = (rate * 8 + burst) * 1.1 + BOUNDS.quota_slack
        for count in range(len(CHANGES_AT) + 1):
            changes_at = CHANGES_AT[:count]
            line = f"{name} changes {count}"
            surge = [run(s, name, 6, changes_at, has_records, 10.0)[0] for s in (0, 1)]
            most = max(most_in_a_window(charges) for charges in surge)
            line += f" | six times the rate: {most} of {allowed:.0f}"
            for demand in (0.7, 0.9):
                refused, sent, last_s = 0, 0, 0.0
                for seed in range(N_SEEDS):
                    charges, refusals = run(seed, name, demand, changes_at, has_records)
                    late = [at for at, _, _ in refusals if at >= CHANGES_AT[0]]
                    refused += len(late)
                    sent += sum(at >= CHANGES_AT[0] for at, _, _ in charges)
                    last_s = max([last_s, *(at - CHANGES_AT[0] for at in late)])
                line += f" | {demand:g}: {refused} refused of {sent + refused},"
                line += f" last after {last_s:.1f} s"
            print(line, flush=True)


if __name__ == "__main__":
    main()
