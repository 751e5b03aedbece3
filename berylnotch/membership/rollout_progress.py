"""What the leader knows of a service rollout at one time, and what is due then."""

from __future__ import annotations

import math
from enum import Enum

from attrs import frozen

from berylnotch.membership.rollout_judge import Verdict


class Move(Enum):
    """Change of a rollout's phase."""

    STAY = "stay"
    SHIFT = "shift"
    COMPLETE = "complete"
    ROLL_BACK = "roll back"


@frozen
class Progress:
    """What the leader knows of a rollout at one time.

    Parameters
    ----------
    elapsed_s, duration_s : float
        Seconds since the order, and those within which the rollout has to end.
    requests, exposed : int
        Attempts at all engines of the service, and at those of the candidate.
    rate : float or None
        Attempts per second at all engines; None while it is not measured.
    candidates, others : int
        Usable engines of the candidate and of all other versions.
    verdict : Verdict
        Judgement of the candidate.
    reason : str
        Reason of the judgement.
    raised_share : float
        Share of the step that this leader has taken, 0 before it has taken one.
    since_raise_s : float
        Seconds since then.
    answers_since_raise : int
        Responses of the candidate since then.
    is_only_version : bool
        Whether the service ran only at this version before the order.
    was_good : bool
        Whether this leader has judged the candidate good.
    leading_s : float
        Seconds since this leader began to follow the rollout.
    since_shift_s : float
        Seconds since this leader knows of the shift.
    earlier_step_share : float
        Share of the last step that an earlier leader took, 0 without one.
    earlier_step_answers : int
        Responses of the candidate since that step.
    """

    elapsed_s: float
    duration_s: float
    requests: int = 0
    exposed: int = 0
    rate: float | None = None
    candidates: int = 0
    others: int = 0
    verdict: Verdict = Verdict.UNDECIDED
    reason: str = ""
    raised_share: float = 0.0
    since_raise_s: float = 0.0
    answers_since_raise: int = 0
    is_only_version: bool = False
    was_good: bool = False
    leading_s: float = math.inf
    since_shift_s: float = math.inf
    earlier_step_share: float = 0.0
    earlier_step_answers: int = 0


@frozen
class Plan:
    """Phase change, share and number of engines that are due, and the closing."""

    move: Move
    share: float
    engines: int
    reason: str
    is_raise: bool = False
    is_closing: bool = False
