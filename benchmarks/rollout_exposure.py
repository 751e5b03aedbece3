"""Plays the plan of a rollout, and counts the requests of a version that turns bad.

Run it with ``python -m benchmarks.rollout_exposure``. It prints the exposure for each
moment at which the version may turn bad and each time that its detection takes, and
when a good version is shifted and completed.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, frozen

from berylnotch.membership.rollout_judge import Verdict
from berylnotch.membership.rollout_plan import (
    Move,
    Plan,
    Progress,
    plan_observation,
    plan_shift,
)
from berylnotch.settings.fleet import FleetBounds

BOUNDS = FleetBounds(exposure_share=0.1, exposure_slack=50.0)

#: Interval in seconds between two evaluations.
TICK_S = 0.05

#: Seconds after the order at which the candidate's engines can be used: they start, and
#: the target list is read.
LISTED_S = 1.0

#: Seconds after which the leader knows what routers sent, and answers that are needed
#: for a good judgement at first.
REPORT_S, GOOD_ANSWERS = 0.4, 30

#: Detection times and moments in seconds that are printed.
DETECTIONS_S = (0.4, 0.8, 1.2, 1.6)
SHOWN_S = (0.0, 3.0, 6.0, 7.5, 8.0, 8.5, 9.0, 9.5, 10.0, 10.5, 11.0, 11.5)

#: Seconds after the duration for which a rollout is played.
AFTER_S = 10.0


@frozen
class Load:
    """Load of a service, and the time in which requests at old engines end.

    Parameters
    ----------
    rate : float
        Requests per second.
    engines : int
        Engines of each version.
    drain_s : float
        Seconds from the shift until no request is in flight at old engines.
    duration_s : float
        Duration of the rollout in seconds.
    """

    rate: float
    engines: int
    drain_s: float
    duration_s: float = 12.0


#: The typical loads: a language-model service at 78 routers, and a plain service.
LANGUAGE, PLAIN = Load(390.0, 45, 1.5), Load(100.0, 4, 0.2)
LOADS = {"language": LANGUAGE, "plain": PLAIN}


@frozen
class Play:
    """What became of a played rollout.

    ``exposed`` counts the requests until the duration has elapsed, ``after`` those that
    come later and before the rollback. The times are those of the shift and the end in
    seconds, infinite without one.
    """

    move: Move
    exposed: float
    after: float
    allowed: float
    shifted_s: float
    ended_s: float


@define
class _State:
    """State of a played rollout, with what was exposed by the end of each tick."""

    load: Load
    history: list[float]
    share: float = 0.0
    raised_share: float = 0.0
    raised_at: float = 0.0
    shifted_at: float = math.inf
    is_closing: bool = False

    def known(self, now: float) -> float:
        """Return the exposed requests that the leader knows of."""
        tick = round((now - REPORT_S) / TICK_S)
        return self.history[tick] if tick >= 0 else 0.0


def play(
    load: Load,
    bad_from_s: float = math.inf,
    detection_s: float = 0.8,
    bounds: FleetBounds = BOUNDS,
) -> Play:
    """Play a rollout of a version that turns bad at one time.

    Parameters
    ----------
    load : Load
        Load of the service.
    bad_from_s : float
        Seconds after the order from which the version is bad; infinite for a good one.
    detection_s : float
        Seconds from the first request at the bad version until no router sends there.
    bounds : FleetBounds
        Limits of the fleet.
    """
    duration_s = load.duration_s
    state, detected_at = _State(load, [0.0]), math.inf
    move, now, exposed_in_time = Move.STAY, 0.0, 0.0
    ended_s = math.inf
    while move is not Move.ROLL_BACK and now < duration_s + AFTER_S:
        if move is not Move.COMPLETE:
            plan = _plan(state, bounds, now, now >= detected_at)
            move = plan.move
            _apply(state, plan, now)
            ended_s = now
        elif now >= duration_s:
            break
        sent = state.share * load.rate * TICK_S
        if sent and now >= bad_from_s:
            detected_at = min(detected_at, now + detection_s)
        state.history.append(state.history[-1] + sent)
        exposed_in_time += sent if now < duration_s else 0.0
        now = round(now + TICK_S, 6)
    allowed = bounds.exposure_share * load.rate * duration_s + bounds.exposure_slack
    after = state.history[-1] - exposed_in_time
    return Play(move, exposed_in_time, after, allowed, state.shifted_at, ended_s)


def worst(load: Load, detection_s: float, bad_from_s: Iterable[float]) -> Play:
    """Return the play with the largest exposure of a version that turns bad."""
    plays = (play(load, at, detection_s) for at in bad_from_s)
    return max(plays, key=lambda p: p.exposed)


def moments(load: Load) -> list[float]:
    """Return the moments of a rollout at which a version may turn bad."""
    return [n / 10 for n in range(round(load.duration_s * 10) + 1)]


def _plan(state: _State, bounds: FleetBounds, now: float, is_detected: bool) -> Plan:
    load, known = state.load, state.known(now)
    verdict = Verdict.GOOD if known >= GOOD_ANSWERS else Verdict.UNDECIDED
    progress = Progress(
        now,
        load.duration_s,
        int(load.rate * max(0.0, now - REPORT_S)),
        int(known),
        load.rate if now >= 1.0 else None,
        load.engines if now >= LISTED_S else 0,
        load.engines,
        Verdict.BAD if is_detected else verdict,
        "",
        state.raised_share,
        now - state.raised_at,
        int(known - state.known(state.raised_at + REPORT_S)),
        was_good=known >= GOOD_ANSWERS,
        since_shift_s=now - state.shifted_at,
    )
    if math.isinf(state.shifted_at):
        return plan_observation(bounds, progress)
    pending = now < state.shifted_at + max(REPORT_S, load.drain_s)
    return plan_shift(progress, int(pending), int(not state.is_closing))


def _apply(state: _State, plan: Plan, now: float) -> None:
    if plan.is_raise:
        state.raised_share, state.raised_at = plan.share, now
    if plan.move is Move.SHIFT:
        state.shifted_at = now
    state.is_closing = plan.is_closing
    state.share = plan.share if math.isinf(state.shifted_at) else 1.0
    if plan.move is Move.ROLL_BACK:
        state.share = 0.0


def main() -> None:
    """Print the exposures, and the times of a good version."""
    for name, load in LOADS.items():
        good = play(load)
        print(
            f"{name}: {good.allowed:.0f} allowed; a good version is shifted at "
            f"{good.shifted_s:.2f} s, completed at {good.ended_s:.2f} s"
        )
        print("| turns bad at | " + " | ".join(f"{d} s" for d in DETECTIONS_S) + " |")
        print("|---|" + "---|" * len(DETECTIONS_S))
        for at in SHOWN_S:
            plays = [play(load, at, detection_s) for detection_s in DETECTIONS_S]
            cells = [_cell(found) for found in plays]
            print(f"| {at} s | " + " | ".join(cells) + " |")


def _cell(found: Play) -> str:
    mark = "" if found.exposed <= found.allowed else " !"
    return f"{found.exposed:.0f}{mark}" + (
        " completed" if found.move is Move.COMPLETE else ""
    )


if __name__ == "__main__":
    main()
