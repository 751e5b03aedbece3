"""What is wrong with the head or the end of an attempt's answer."""

from __future__ import annotations

from berylnotch.streams.actions import FailureCause
from berylnotch.streams.attempts import Attempt
from berylnotch.streams.inputs import ExchangeRequest, ResponseHead, UpstreamEnd

#: Media type of a stream of events.
EVENT_STREAM = "text/event-stream"


def is_stream(request: ExchangeRequest, head: ResponseHead) -> bool:
    """Whether an answer is passed on event by event."""
    is_events = head.content_type == EVENT_STREAM
    return request.stream and head.status == 200 and is_events


def head_fault(
    request: ExchangeRequest, attempt: Attempt, weights: str, position: int
) -> FailureCause | None:
    """Return why an answer can't be used, judged by its head.

    Parameters
    ----------
    request : ExchangeRequest
        The caller's request.
    attempt : Attempt
        Attempt whose head has arrived.
    weights : str
        Weights version that the stream began with; empty if it hasn't begun.
    position : int
        Number of the last event delivered.
    """
    head = attempt.head
    missing = request.echo_required and not head.request_id
    if missing or head.request_id not in ("", request.request_id):
        return FailureCause.WRONG_REQUEST
    if head.not_run:
        return FailureCause.REFUSED
    answered = attempt.answer_weights
    if weights and answered and answered != weights:
        return FailureCause.WEIGHTS
    if position and not is_stream(request, head):
        return FailureCause.ERROR_STATUS
    return None


def end_fault(attempt: Attempt, end: UpstreamEnd) -> FailureCause:
    """Return what an answer lacks whose transfer ended too early."""
    if attempt.answer is None:
        return FailureCause.LOST if end.sent else FailureCause.CONNECT
    if not end.complete:
        return FailureCause.LOST
    return FailureCause.TRUNCATED if attempt.has_events else FailureCause.EMPTY
