"""Classification of failures by the head and the end of an attempt's response."""

from __future__ import annotations

from berylnotch.streams.actions import FailureCause
from berylnotch.streams.attempts import Attempt
from berylnotch.streams.inputs import ExchangeRequest, ResponseHead, UpstreamEnd

#: Media type of a stream of events.
EVENT_STREAM = "text/event-stream"


def is_stream(request: ExchangeRequest, head: ResponseHead) -> bool:
    """Return whether a response is passed on event by event."""
    is_event_stream = head.content_type == EVENT_STREAM
    return request.stream and head.status == 200 and is_event_stream


def classify_head_failure(
    request: ExchangeRequest, attempt: Attempt, weights: str, position: int
) -> FailureCause | None:
    """Return why a response is rejected by its head, or None if it is accepted.

    Parameters
    ----------
    request : ExchangeRequest
        The caller's request.
    attempt : Attempt
        Attempt whose response head has arrived.
    weights : str
        Weights version that the stream began with; empty if it hasn't begun.
    position : int
        Number of the last event delivered.
    """
    head = attempt.head
    is_echo_missing = request.echo_required and not head.request_id
    if is_echo_missing or head.request_id not in ("", request.request_id):
        return FailureCause.WRONG_REQUEST
    if head.not_run:
        return FailureCause.REFUSED
    response_weights = attempt.response_weights
    if weights and response_weights and response_weights != weights:
        return FailureCause.WEIGHTS
    if position and not is_stream(request, head):
        return FailureCause.ERROR_STATUS
    return None


def classify_transfer_failure(attempt: Attempt, end: UpstreamEnd) -> FailureCause:
    """Return the failure cause of a transfer that ended before a usable response."""
    if end.is_evicted:
        return FailureCause.NO_MEMORY
    if attempt.response is None:
        return FailureCause.LOST if end.sent else FailureCause.CONNECT
    if not end.complete:
        return FailureCause.LOST
    return FailureCause.TRUNCATED if attempt.has_events else FailureCause.EMPTY
