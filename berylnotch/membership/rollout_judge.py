"""Judgement whether a rollout's candidate version is good or bad.

The candidate's responses are compared with those of the other versions at the same
time. In doubt a version is not good: a bad version that gets all requests costs callers
their requests, a false alarm costs one more rollout.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from berylnotch.group.rollouts import REMAINING_ENGINES, RolloutRow
from berylnotch.membership.rollout_verdict import (
    ENOUGH_ANSWERS,
    Assessment,
    Finding,
    Verdict,
    evaluate,
)

__all__ = ["Assessment", "RolloutEvidence", "Verdict", "assess"]

#: Fewest healthy engines that remain when one that is worse is left out.
MIN_HEALTHY_ENGINES = 2

#: Responses of the worst engine up to which the verdict waits for those of the others.
#: Requests are spread evenly, so the others mostly have ENOUGH_ANSWERS before. With a
#: factor of 2, chance left one of them behind in 5 of 60 simulated rollouts.
MAX_WAIT_ANSWERS = 3 * ENOUGH_ANSWERS


@frozen
class RolloutEvidence:
    """Responses of a service during a rollout.

    Parameters
    ----------
    rows : tuple of RolloutRow
        Sums over all routers by route and engine of the candidate; the row with an
        empty ``target_id`` is the sum over the engines of the other versions.
    """

    rows: tuple[RolloutRow, ...]


def assess(total: RolloutEvidence, recent: RolloutEvidence) -> Assessment:
    """Judge a candidate version.

    Parameters
    ----------
    total : RolloutEvidence
        Responses since the order.
    recent : RolloutEvidence
        Responses of about the newest 3 s.

    Returns
    -------
    Assessment
        The verdict may change with later evidence: a good version can turn bad.
    """
    finding = evaluate(total.rows, recent.rows)
    if not finding.is_suspicious:
        return finding.assessment
    return _without_worst_engine(total, recent) or finding.assessment


def _without_worst_engine(
    total: RolloutEvidence, recent: RolloutEvidence
) -> Assessment | None:
    """Return the judgement of the other engines if one is bad and they are healthy.

    While the others have too few responses to be healthy, the judgement is undecided.
    """
    responses: dict[str, int] = {}
    for row in total.rows:
        if row.target_id:
            number = max(row.answers, sum(row.first_event))
            responses[row.target_id] = responses.get(row.target_id, 0) + number

    def evaluate_some(is_chosen: Callable[[str], bool]) -> Finding:
        return evaluate(*(_select(e.rows, is_chosen) for e in (total, recent)))

    findings = {
        t: evaluate_some(lambda other, t=t: other == t)
        for t in responses
        if t != REMAINING_ENGINES
    }
    bad = [t for t, finding in findings.items() if finding.is_bad]
    if not bad:
        return None
    worst = max(bad, key=lambda t: findings[t].log_evidence)
    rest = evaluate_some(lambda other: other != worst)
    if rest.is_suspicious:
        return None
    note = f"engine {worst} left out: {findings[worst].assessment.reason}"
    others = [number for target, number in responses.items() if target != worst]
    if sum(number >= ENOUGH_ANSWERS for number in others) >= MIN_HEALTHY_ENGINES:
        reason = f"{rest.assessment.reason}; {note}"
        return Assessment(rest.assessment.verdict, reason)
    is_waiting = not others or min(others) < ENOUGH_ANSWERS
    if is_waiting and responses[worst] < MAX_WAIT_ANSWERS:
        reason = f"too few responses of the other engines; {note}"
        return Assessment(Verdict.UNDECIDED, reason)
    return None


def _select(
    rows: tuple[RolloutRow, ...], is_chosen: Callable[[str], bool]
) -> tuple[RolloutRow, ...]:
    return tuple(r for r in rows if not r.target_id or is_chosen(r.target_id))
