"""Handles headers in which targets announce that they leave, are full or limited."""

from __future__ import annotations

import math
import random

from berylnotch.entry.context import EntryContext
from berylnotch.entry.targets import Target
from berylnotch.platform.requests import AnswerHead
from berylnotch.util.clock import boot_time

#: Longest back-off, in seconds, that a target may request.
MAX_BACK_OFF_S = 300.0

#: Largest fraction by which a router extends a back-off at random, so that the routers
#: do not all retry at the same moment.
BACK_OFF_SPREAD = 0.1


def apply_announcements(
    context: EntryContext,
    target: Target,
    answer: AnswerHead,
    request_id: str,
    sent_at: float,
) -> None:
    """Apply what a target announces about itself in the headers of an answer.

    The announcements are applied even if the answer belongs to another request.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    target : Target
        Target that sent the answer.
    answer : AnswerHead
        Decoded headers of the answer.
    request_id : str
        Request that was sent to the target.
    sent_at : float
        Boot time at which the request was sent.
    """
    if answer.is_leaving and not target.has_announced_leaving:
        context.targets.leaves(target)
        context.schedule_report()
        context.metrics.count("berylnotch_targets_said_leaving_total")
        context.log.info(
            "target_leaves",
            id=request_id,
            target=target.target_id,
            born_ms=target.listed.born_ms,
        )
    if answer.retry_after_s is not None:
        pause_s = min(MAX_BACK_OFF_S, answer.retry_after_s)
        spread_factor = random.uniform(1, 1 + BACK_OFF_SPREAD)
        target.back_off(boot_time(), pause_s * spread_factor)
        context.metrics.count("berylnotch_targets_back_off_total")
        context.log.info(
            "target_backs_off",
            id=request_id,
            target=target.target_id,
            pause_s=pause_s,
        )
    _apply_limit(context, target, answer, request_id, sent_at)


def _apply_limit(
    context: EntryContext,
    target: Target,
    answer: AnswerHead,
    request_id: str,
    sent_at: float,
) -> None:
    """Record that a target announces, changes or ends a limit on its requests.

    Answers may overtake each other. An answer without a limit ends the limit only if
    its request was sent after the limit became known.
    """
    limit_per_s, was_per_s = answer.limit_per_s, target.limit_per_s
    if limit_per_s is None:
        is_newer = sent_at > target.limit_known_at
        if answer.request_id != request_id or target.limit is None or not is_newer:
            return
        limit_per_s = math.inf
    if context.target_limits.announce(boot_time(), target, limit_per_s):
        note_limit(context, target, was_per_s, request_id)
        context.schedule_report()


def note_limit(
    context: EntryContext, target: Target, was_per_s: float, request_id: str = ""
) -> None:
    """Log that a target's limit changed, by its own answer or by the leader."""
    context.log.info(
        "target_limit",
        id=request_id,
        target=target.target_id,
        born_ms=target.listed.born_ms,
        source="answer" if request_id else "leader",
        limit_per_s=target.limit_per_s,
        was_per_s=was_per_s,
    )
