"""Decides which requests a stopping router still sends to targets.

The router exits at a known time, and answers that have not ended by then are lost. A
caller whose request is refused at once, as not run, is served by another router.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from berylnotch.membership.addresses import has_other_live_vms
from berylnotch.server import responses
from berylnotch.server.errors import Refusal
from berylnotch.streams.actions import RunStatus

if TYPE_CHECKING:
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job

#: Name that the times of first events have after that of their answers.
_FIRST_EVENT = " first event"


def record_answer(context: Context, job: Job, now: float) -> None:
    """Record how long a complete answer took, for `has_time_for`."""
    name, sent_at = _answer_name(job), job.attempt.dispatch.sent_at
    if job.is_stream and job.first_byte_at:
        first_event_s = job.first_byte_at - sent_at
        context.answer_times.record(name + _FIRST_EVENT, first_event_s, 0)
        sent_at = job.first_byte_at
    context.answer_times.record(name, now - sent_at, _output_tokens(job))


def has_time_for(context: Context, job: Job) -> bool:
    """Return whether the answer to a request will end before this router stops.

    The longest time that it may take follows from the recent answers of the route. They
    are no bound once targets get slower, break or fall silent, so a request that came
    late in the stop must end by its own deadline.
    """
    stop = context.stop
    if stop is None or job.deadline <= stop.answer_by:
        return True
    if job.arrived_at > stop.estimate_until:
        return False
    return time.monotonic() + _longest_answer_s(context, job) <= stop.answer_by


def stopping_refusal(
    context: Context, run_status: RunStatus = RunStatus.NOT_RUN
) -> Refusal:
    """Return the refusal of a request for which this router has too little time."""
    if run_status is not RunStatus.NOT_RUN:
        message = "the router stopped before the answer had ended"
        return Refusal(504, "stopping", message, run_status)
    return Refusal(
        503,
        "stopping",
        "the router is stopping and has too little time for the answer",
        retry_after_s=responses.SHORT_RETRY_S,
        is_served_elsewhere=has_other_live_vms(context.view, context.settings.name),
    )


def _longest_answer_s(context: Context, job: Job) -> float:
    name, times = _answer_name(job), context.answer_times
    longest_s = times.longest_s(name, _output_tokens(job))
    if longest_s is None:
        return job.route.timeout_s
    if not job.is_stream:
        return longest_s
    first_event_s = times.longest_s(name + _FIRST_EVENT, 0)
    return longest_s + (first_event_s or 0.0)


def _answer_name(job: Job) -> str:
    """Return the name of the answers that take as long as that of a request."""
    if job.language is None:
        return job.route.prefix
    kind = "stream" if job.is_stream else "whole"
    # The times of answers are divided by the tokens that a caller allows, which do
    # not compare with those of answers without a limit.
    limit = "limited" if job.language.max_tokens else "unlimited"
    return f"{job.route.prefix} {job.service.name} {kind} {limit}"


def _output_tokens(job: Job) -> int:
    return job.language.max_tokens if job.language is not None else 0
