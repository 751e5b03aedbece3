"""Measures how often the judge of rollouts is wrong.

Run ``python -m benchmarks.rollout_judge``. The responses are drawn without a network at
the numbers that the bounds allow, and looked at every 0.3 s. A look at 7.8 s ends the
observing phase, one at 9 s the steps, which have five times the share. ``bad`` is the
share of rollouts judged bad at any look until then, ``good`` of those that are judged
good at the last one; the rest is undecided and rolled back.
"""

from __future__ import annotations

import argparse
import math
import random
import statistics
from collections.abc import Callable

from attrs import frozen

from benchmarks.rollout_scenarios import (
    SERVICES,
    Fault,
    Scenario,
    Service,
    list_scenarios,
)
from berylnotch.group.rollouts import (
    FIRST_EVENT_LOWEST,
    HISTOGRAM_BUCKETS,
    PACE_LOWEST_MS,
    RolloutRow,
    histogram_bucket,
)
from berylnotch.membership.rollout_judge import RolloutEvidence, Verdict, assess

LOOK_S, RECENT_LOOKS, OBSERVING_LOOKS, ALL_LOOKS = 0.3, 10, 26, 30

#: Share of the steps over the observing share.
STEP_FACTOR = 5.0

#: Spread (standard deviation of the logarithm) of the time to a first event and of the
#: pace, and the median pace in ms.
FIRST_EVENT_SPREAD, PACE_SPREAD, PACE_MS = 0.4, 0.2, 8.0


def _draw_row(
    rng: random.Random,
    service: Service,
    answers: int,
    route: str,
    target_id: str,
    faults: list[Fault],
) -> RolloutRow:
    """Return a row of drawn responses, each of which may have any of the faults."""
    first_event, pace = [0] * HISTOGRAM_BUCKETS, [0] * HISTOGRAM_BUCKETS
    failures = 0
    for _ in range(answers):
        if any(f.failures and rng.random() < f.failures for f in faults):
            failures += 1
            continue
        slow = [f for f in faults if f.slow_share and rng.random() < f.slow_share]
        by = max((f.slowdown for f in slow), default=1.0)
        event = by * math.exp(rng.gauss(0.0, FIRST_EVENT_SPREAD))
        first_event[histogram_bucket(event, FIRST_EVENT_LOWEST)] += 1
        if service.is_stream:
            by = max((f.slowdown for f in slow if not f.is_first_event_only), default=1)
            event_ms = by * PACE_MS * math.exp(rng.gauss(0.0, PACE_SPREAD))
            pace[histogram_bucket(event_ms, PACE_LOWEST_MS)] += 1
    return RolloutRow(
        route, target_id, answers, failures, tuple(first_event), tuple(pace)
    )


def _draw_number(rng: random.Random, mean: float) -> int:
    """Return a number with a Poisson distribution."""
    number, time = -1, 0.0
    while time < mean:
        time += rng.expovariate(1.0)
        number += 1
    return max(0, number)


def _draw_look(
    rng: random.Random, service: Service, scenario: Scenario, look: int
) -> list[RolloutRow]:
    """Return the responses between two looks."""
    now, routes, rows = look * LOOK_S, list(service.rates), []
    step = 1.0 if look < OBSERVING_LOOKS else STEP_FACTOR

    def present(route: str, *faults: Fault) -> list[Fault]:
        return [f for f in faults if f.applies(now, route, routes)]

    for route, rate in service.rates.items():
        for engine in range(service.engines):
            number = _draw_number(rng, rate * LOOK_S * step / service.engines)
            faults = [scenario.candidate]
            if not engine:
                faults.append(scenario.grey_engine)
            faults = present(route, *faults)
            rows.append(_draw_row(rng, service, number, route, f"new-{engine}", faults))
        mean = rate * LOOK_S * (service.reference_factor + 1 - step)
        share = 1 / service.old_engines
        for part, faults in (
            (mean * (1 - share), (scenario.reference,)),
            (mean * share, (scenario.reference, scenario.grey_reference)),
        ):
            number = _draw_number(rng, part)
            rows.append(
                _draw_row(rng, service, number, route, "", present(route, *faults))
            )
    return rows


def add_rows(rows: list[RolloutRow]) -> RolloutEvidence:
    """Return the sums of rows by route and engine."""
    sums: dict[tuple[str, str], RolloutRow] = {}
    for row in rows:
        old = sums.get((row.route, row.target_id))
        if old is None:
            sums[row.route, row.target_id] = row
            continue
        sums[row.route, row.target_id] = RolloutRow(
            row.route,
            row.target_id,
            old.answers + row.answers,
            old.failures + row.failures,
            tuple(map(sum, zip(old.first_event, row.first_event, strict=True))),
            tuple(map(sum, zip(old.pace, row.pace, strict=True))),
        )
    return RolloutEvidence(tuple(sums.values()))


@frozen
class Outcome:
    """Verdicts of a rollout, and the time in s of the first that is bad."""

    at_observing_end: Verdict
    at_end: Verdict
    bad_at: float | None = None
    reason: str = ""


def play(service: Service, scenario: Scenario, seed: str) -> Outcome:
    """Return the outcome of a drawn rollout."""
    rng, total, newest = random.Random(seed), RolloutEvidence(()), []
    at_observing_end = Verdict.UNDECIDED
    for look in range(ALL_LOOKS):
        newest = [
            *newest[-RECENT_LOOKS + 1 :],
            _draw_look(rng, service, scenario, look),
        ]
        total = add_rows([*total.rows, *newest[-1]])
        recent = add_rows([row for rows in newest for row in rows])
        found = assess(total, recent)
        if found.verdict is Verdict.BAD:
            early = found.verdict if look < OBSERVING_LOOKS else at_observing_end
            return Outcome(early, Verdict.BAD, (look + 1) * LOOK_S, found.reason)
        if look < OBSERVING_LOOKS:
            at_observing_end = found.verdict
    return Outcome(at_observing_end, found.verdict, None, found.reason)


def measure(
    service: Service, scenario: Scenario, runs: int, seed: int = 1
) -> list[Outcome]:
    """Return the outcomes of several rollouts."""
    return [play(service, scenario, f"{seed} {run}") for run in range(runs)]


def share_of(
    outcomes: list[Outcome], verdict: Verdict, when: Callable[[Outcome], Verdict]
) -> float:
    """Return the share of outcomes with a verdict."""
    return sum(when(o) is verdict for o in outcomes) / len(outcomes)


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reasons", action="store_true", help="print a reason each")
    args = parser.parse_args()
    print("| service | version | | bad, 7.8 s | good | bad, 9 s | good | median s |")
    print("|---|---|---|---|---|---|---|---|")
    for name, service in SERVICES.items():
        for scenario in list_scenarios(service):
            outcomes = measure(service, scenario, args.runs, args.seed)
            figures = [
                f"{share_of(outcomes, verdict, when):.3f}"
                for when in (lambda o: o.at_observing_end, lambda o: o.at_end)
                for verdict in (Verdict.BAD, Verdict.GOOD)
            ]
            times = [o.bad_at for o in outcomes if o.bad_at is not None]
            median = f"{statistics.median(times):.1f}" if times else "-"
            kind = "good" if scenario.is_good else "bad"
            cells = [name, scenario.name, kind, *figures, median]
            print("| " + " | ".join(cells) + " |", flush=True)
            if args.reasons:
                print(outcomes[0].reason)


if __name__ == "__main__":
    main()
