"""Decisions on the share of requests and the phase of a service rollout.

The exposure of a version that turns out to be bad is bounded until the duration of the
rollout is over. A part of it is spent while a small share is observed and on a step
with a larger share, at which the candidate's engines have the load of the other
engines. The rest covers the requests from the shift until a rollback of a version that
turns bad then. A version that turns bad later exceeds the bounds: the rest does not
last at the full rate until the requests at old engines have ended.
"""

from __future__ import annotations

import math

from berylnotch.membership.rollout_judge import Verdict
from berylnotch.membership.rollout_progress import Move, Plan, Progress
from berylnotch.settings.fleet import FleetBounds

#: Part of the allowed exposure that the observing share spends over the duration. With
#: less, a route with 0.08 of the requests has too few responses before the step.
OBSERVING_PART = 0.45

#: Largest observing share. Services with few requests are allowed to expose all of them
#: by the slack, but half of them remain as the reference.
MAX_OBSERVING_SHARE = 0.5

#: Smallest, usual and largest share of the step before the shift: as much as leaves an
#: allowance for the detection of a version that turns bad at the shift. The step is
#: larger where few engines serve the service, so that two of the candidate have their
#: full load.
MIN_STEP_SHARE, STEP_SHARE, MAX_STEP_SHARE = 0.1, 0.3, 0.5

#: Load of a candidate engine during the step, relative to that of other engines. Loads
#: vary, so a version that is bad under the load of the shift would not always show it
#: at the same load.
STEP_LOAD = 1.1

#: Parts of the duration until which only the observing share is sent, at which the
#: shift begins, until which the version has to be judged good, and before which it is
#: not completed. A request that began before the shift has the rest of the duration to
#: end.
OBSERVE_UNTIL, SHIFT_FROM, SHIFT_UNTIL, COMPLETE_FROM = 0.65, 0.75, 0.9, 0.85

#: Shortest time in seconds for which a step is judged, and the time that its first
#: responses take to be reported. Of short rollouts, the step begins earlier.
STEP_S, STEP_DELAY_S = 1.0, 0.5

#: Time in seconds from bad responses until all routers stop sending requests: reports
#: of 78 routers come every 0.3 s, and the responses have to arrive first.
DETECTION_S = 0.8

#: Seconds of all requests that the bounds have to cover at least when the shift begins.
#: The judge needs up to 0.5 s of all requests if 0.3 of 100 requests/s fail. With
#: `DETECTION_S`, many services with few engines could be shifted only so late that the
#: rollout does not end in time.
MIN_COVERED_S = 0.5

#: Smallest number of responses during a step that count as evidence, and their part of
#: the requests that the step sends in `STEP_S`.
MIN_STEP_ANSWERS, MIN_STEP_ANSWERS_PART = 5, 0.2

#: The same part for the step of an earlier leader, whose duration is not known: nearly
#: all responses to the requests of `STEP_S`.
EARLIER_STEP_ANSWERS_PART = 0.8

#: Seconds for which a leader that did not begin a rollout waits for the routers of the
#: previous leader: about the time in which it collects its first roster.
TAKE_OVER_S = 2.0

#: Factor by which a step has to exceed the observing share.
MIN_STEP_FACTOR = 1.2

#: Number of candidate engines that are observed at least before the step. With one
#: faulty engine, two healthy ones remain, which show that the version is not the cause.
#: With 2 engines, a plain service was rolled back in all of 200 simulated rollouts with
#: a faulty engine.
MIN_ENGINES = 3

#: Smallest number of engines in the step, which loads them as much as other engines.
STEP_ENGINES = 2

#: Smallest number of candidate engines at the shift as a part of the other engines.
#: Some engines may restart at that time.
MIN_CANDIDATES_PART = 0.6

#: Part of the current rate of requests that is expected for the rest of the duration.
FUTURE_RATE_PART = 0.9


def allowance_left(bounds: FleetBounds, progress: Progress) -> float:
    """Return the number of requests that the candidate may still receive."""
    remaining_s = max(0.0, progress.duration_s - progress.elapsed_s)
    future = FUTURE_RATE_PART * (progress.rate or 0.0) * remaining_s
    share, slack = bounds.exposure_share or 0.0, bounds.exposure_slack or 0.0
    return share * (progress.requests + future) + slack - progress.exposed


def observing_share(bounds: FleetBounds, progress: Progress) -> float:
    """Return the share while observing: a part of what the bounds allow.

    Until the rate of requests is known, nothing of the slack is used.
    """
    share, slack = bounds.exposure_share or 0.0, bounds.exposure_slack or 0.0
    if progress.rate is not None:
        share += slack / max(1.0, progress.rate * progress.duration_s)
    return min(MAX_OBSERVING_SHARE, OBSERVING_PART * share)


def plan_observation(bounds: FleetBounds, progress: Progress) -> Plan:
    """Return what is due while a share of the requests is observed."""
    duration_s, elapsed_s = progress.duration_s, progress.elapsed_s
    if progress.verdict is Verdict.BAD:
        return Plan(Move.ROLL_BACK, 0.0, 0, progress.reason)
    if progress.is_only_version:
        return Plan(Move.SHIFT, 0.0, 0, "the service has no other version")
    share = _affordable_share(bounds, progress)
    is_passed = progress.verdict is Verdict.GOOD and _is_step_passed(progress, share)
    # A leader with a wrong clock may take the duration to be over before it is.
    is_time = SHIFT_FROM * duration_s <= elapsed_s < duration_s
    if is_passed and is_time and _is_shift_covered(bounds, progress):
        return Plan(Move.SHIFT, share, 0, progress.reason)
    # A leader that took over late has to know the rate and the routers' evidence first.
    is_waiting = is_passed or progress.leading_s < TAKE_OVER_S
    if elapsed_s >= (1.0 if is_waiting else SHIFT_UNTIL) * duration_s:
        reason = f"too little evidence in time: {progress.reason}"
        return Plan(Move.ROLL_BACK, 0.0, 0, reason)
    if is_passed and progress.raised_share:
        # The rest of the allowance is needed for the shift.
        share = min(share, observing_share(bounds, progress))
    elif progress.verdict is Verdict.GOOD:
        step = _step_share(bounds, progress)
        if step:
            engines = _engines(progress, step, is_step=True)
            return Plan(Move.STAY, step, engines, progress.reason, is_raise=True)
    engines = _engines(progress, share, is_step=progress.raised_share > 0)
    return Plan(Move.STAY, share, engines, progress.reason)


def plan_shift(progress: Progress, pending_routers: int, unclosed_routers: int) -> Plan:
    """Return what is due while all new requests go to the candidate.

    ``pending_routers`` may have requests at other engines, ``unclosed_routers`` may
    still send some: while shifting, streams go on there. After a power loss, the
    version may have been judged bad before and there are no new responses to compare
    it with, so it is not completed without a judgement of this leader. A shift that
    began late is observed for as long as a detection takes.
    """
    if progress.verdict is Verdict.BAD:
        return Plan(Move.ROLL_BACK, 0.0, 0, progress.reason)
    if not progress.candidates and progress.others:
        return Plan(Move.ROLL_BACK, 0.0, 0, "no engine of the version is left")
    is_judged = progress.was_good or progress.is_only_version
    is_time = progress.elapsed_s >= COMPLETE_FROM * progress.duration_s
    is_time = is_time and progress.since_shift_s >= DETECTION_S
    is_due = is_judged and (is_time or progress.is_only_version)
    if is_due and not pending_routers:
        move = Move.STAY if unclosed_routers else Move.COMPLETE
        return Plan(move, 0.0, 0, progress.reason, is_closing=True)
    is_late = progress.elapsed_s >= progress.duration_s
    if not is_judged and is_late and progress.leading_s >= TAKE_OVER_S:
        reason = f"not judged good in time: {progress.reason}"
        return Plan(Move.ROLL_BACK, 0.0, 0, reason)
    return Plan(Move.STAY, 0.0, 0, progress.reason)


def _affordable_share(bounds: FleetBounds, progress: Progress) -> float:
    """Return the share to go on with, 0 if the rest of the exposure is needed."""
    if not progress.candidates:
        return 0.0
    load_share = _load_share(progress)
    # Engines of a version that is only partly listed get no more than their load.
    if progress.raised_share:
        share = min(progress.raised_share, STEP_LOAD * load_share)
    else:
        share = min(observing_share(bounds, progress), load_share)
    left = allowance_left(bounds, progress)
    rate = progress.rate
    if rate is not None and left < share * rate * DETECTION_S:
        return 0.0
    return share


def _load_share(progress: Progress) -> float:
    """Return the share at which the candidate's engines are loaded as the others."""
    return progress.candidates / progress.others if progress.others else 1.0


def _step_share(bounds: FleetBounds, progress: Progress) -> float:
    """Return the share of the step that is due, 0 if none is.

    The share is raised only once by a leader, and only after it has measured the rate
    of requests itself.
    """
    rate, duration_s = progress.rate, progress.duration_s
    begin_s = SHIFT_FROM * duration_s - STEP_S - STEP_DELAY_S
    begin_s = min(OBSERVE_UNTIL * duration_s, begin_s)
    # A step that begins later cannot be judged in time.
    end_s = SHIFT_UNTIL * duration_s - STEP_S
    if progress.raised_share or not rate or not begin_s <= progress.elapsed_s <= end_s:
        return 0.0
    time_s = STEP_S + STEP_DELAY_S + DETECTION_S
    step = min(
        _wanted_step(bounds, progress),
        allowance_left(bounds, progress) / (rate * time_s),
        STEP_LOAD * _load_share(progress),
    )
    if step < MIN_STEP_FACTOR * observing_share(bounds, progress):
        return 0.0
    # Whole engines, so that each gets the load that the candidate is judged at.
    engines = _step_engines(progress, step)
    whole = STEP_LOAD * engines / max(1, progress.others)
    return whole if engines >= STEP_ENGINES else step


def _step_engines(progress: Progress, share: float) -> int:
    """Return the number of engines that a share loads as much as the step has to."""
    return int(round(share * progress.others / STEP_LOAD, 6))


def _wanted_step(bounds: FleetBounds, progress: Progress) -> float:
    """Return the share of a step that leaves an allowance for the shift, if it can."""
    rate = progress.rate or 0.0
    left = allowance_left(bounds, progress) - rate * DETECTION_S
    share = left / max(1.0, rate * (STEP_S + STEP_DELAY_S))
    return max(_smallest_step(progress), min(STEP_SHARE, share))


def _smallest_step(progress: Progress) -> float:
    """Return the smallest share at which a version has to be good before the shift."""
    few_engines = STEP_LOAD * STEP_ENGINES / max(1, progress.others)
    return min(MAX_STEP_SHARE, max(MIN_STEP_SHARE, few_engines))


def _is_step_passed(progress: Progress, share: float) -> bool:
    """Return whether the candidate may get all requests, given a good judgement."""
    if progress.candidates < MIN_CANDIDATES_PART * progress.others:
        return False
    if not progress.raised_share and _is_earlier_step_passed(progress):
        return True
    if not progress.raised_share:
        # Services with few requests are observed at about the share of the step.
        return share > _smallest_step(progress) / MIN_STEP_FACTOR
    sent = progress.raised_share * (progress.rate or 0.0) * STEP_S
    needed = max(MIN_STEP_ANSWERS, MIN_STEP_ANSWERS_PART * sent)
    return progress.since_raise_s >= STEP_S and progress.answers_since_raise >= needed


def _is_earlier_step_passed(progress: Progress) -> bool:
    """Return whether the step of an earlier leader gave enough evidence.

    After a change of the leader during the step, no time is left for another one. The
    rate tells that the routers have reported to this leader.
    """
    if not progress.earlier_step_share or progress.rate is None:
        return False
    sent = progress.earlier_step_share * progress.rate * STEP_S
    needed = max(MIN_STEP_ANSWERS, EARLIER_STEP_ANSWERS_PART * sent)
    return progress.earlier_step_answers >= needed


def _is_shift_covered(bounds: FleetBounds, progress: Progress) -> bool:
    """Return whether the bounds cover a version that turns bad at the shift.

    It gets all requests until it is detected, or until the duration has elapsed, after
    which they do not count any more.
    """
    remaining_s = max(0.0, progress.duration_s - progress.elapsed_s)
    needed = (progress.rate or 0.0) * min(MIN_COVERED_S, remaining_s)
    return allowance_left(bounds, progress) >= needed


def _engines(progress: Progress, share: float, is_step: bool) -> int:
    """Return the number of candidate engines that get a share of the requests.

    Each gets about the load of another engine: no more while a first share is observed,
    no less in the step.
    """
    if is_step:
        wanted = max(STEP_ENGINES, _step_engines(progress, share))
    else:
        wanted = max(MIN_ENGINES, math.ceil(round(share * progress.others, 6)))
    return min(progress.candidates, wanted)
