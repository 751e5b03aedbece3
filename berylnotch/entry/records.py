"""Writes log entries and counts metrics for the sends and the end of a request."""

from __future__ import annotations

from attrs import define, frozen

from berylnotch.admission.retry import RetryDecision
from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Choice, ChoiceInputs
from berylnotch.entry.results import AttemptResult
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.platform.requests import TargetHeaders
from berylnotch.util.clock import boot_time
from berylnotch.util.metrics import Label


@define
class Progress:
    """Counts the attempts of a request.

    Parameters
    ----------
    sends : int, default=0
        Number of times that the request was sent to a target.
    runs : int, default=0
        Number of the sends after which the target may have run the request.
    moves : int, default=0
        Number of times that the run was stopped in order to resume from its KV cache.
    not_repeated : RetryDecision or None
        Why the request was not sent again after its last failure, None without one.
    """

    sends: int = 0
    runs: int = 0
    moves: int = 0
    not_repeated: RetryDecision | None = None


@frozen
class RequestEnd:
    """Outcome of a request.

    Parameters
    ----------
    outcome : str
        ``served``, ``refused``, ``failed``, ``target_failed``, ``broken_off`` or
        ``caller_left``.
    status : int
        HTTP status that the caller received, 0 if it received none.
    target : str
        Identity of the target whose answer the caller received, empty without such an
        answer.
    reason : str
        Reason why the request was not served, empty for a served request.
    first_event_s : float
        Seconds from the arrival of the request to the first event of a stream, 0 if
        no event was sent.
    took_s : float
        Seconds from the arrival of the request to its end.
    remaining_s : float
        Seconds from the end to the deadline, negative if the deadline has passed.
    read_s : float
        Seconds from the first to the last byte of the request.
    stopping_s : float or None
        Seconds from the begin of the router's planned stop to the last byte of the
        request, negative if it was read before; None if the router does not stop.
    software_version : str or None
        Software version that wrote the stream, empty if it is unknown; None if no
        event of a stream was sent.
    """

    outcome: str
    status: int
    target: str
    reason: str
    first_event_s: float
    took_s: float
    remaining_s: float
    read_s: float
    stopping_s: float | None
    software_version: str | None = None


def note_sent(
    context: EntryContext,
    routed: RoutedRequest,
    inputs: ChoiceInputs,
    choice: Choice,
    target_headers: TargetHeaders,
    progress: Progress,
    has_begun: bool,
) -> None:
    """Log that a request is sent, with the inputs to the choice of its target.

    ``has_begun`` states that events of the stream were sent to the caller before.
    """
    target, caller = choice.target, routed.caller
    if target.limit is not None:
        context.metrics.count(
            "berylnotch_limited_target_sends_total", Label("target", target.target_id)
        )
    context.log.info(
        "sent",
        id=caller.request_id,
        route=routed.route.name,
        target=target.target_id,
        software=target.listed.software_version,
        kind=describe_send(routed, target_headers, progress, has_begun),
        resumes=caller.resumes,
        send=progress.sends,
        load=target.load,
        own_load=target.in_flight,
        limit_per_s=target.limit.per_s if target.limit else None,
        prompt=caller.prompt_tokens,
        shared=inputs.chain.path.rpartition("/")[2],
        shared_tokens=inputs.chain.shared_tokens,
        fetch=target_headers.fetch_from,
        save=target_headers.save_to,
        weights=target_headers.weights_version,
        wanted=inputs.wanted_version,
        unread=choice.uncached_tokens,
        expected_s=choice.delay_ms / 1000,
        after=target_headers.resume_after,
        origin=target_headers.run_origin,
        left_s=target_headers.deadline_s,
        configuration=context.routes.version,
    )


def describe_send(
    routed: RoutedRequest,
    target_headers: TargetHeaders,
    progress: Progress,
    has_begun: bool,
) -> str:
    """Return what a send does to a stream, as one of the values of the log's field."""
    if target_headers.run_origin:
        return "takeover"
    if has_begun:
        return "resume"
    if progress.sends > 1:
        return "repeat"
    return "take-up" if routed.is_resumption else "first"


def note_retry(
    context: EntryContext,
    routed: RoutedRequest,
    progress: Progress,
    result: AttemptResult,
    reason: str,
    last_event: int | None,
) -> None:
    """Log and count that a request is sent to another target."""
    listed = result.target.listed
    context.metrics.count("berylnotch_retries_total", Label("service", listed.service))
    context.log.warning(
        "sent_again",
        id=routed.caller.request_id,
        target=listed.target_id,
        reason=reason,
        sends=progress.sends,
        runs=progress.runs,
        last_event=last_event,
        **_budget_fields(context, listed.service),
    )


def _budget_fields(context: EntryContext, service: str) -> dict[str, object]:
    """Return log fields with this router's part of a service's retry budget."""
    now = boot_time()
    return {
        "budget": context.retries.balance(now, service),
        "granted": context.retries.granted(now, service),
        "share": context.retries.share,
        "routers": context.sending_router_count,
        "age_s": now - context.started_at,
    }


def note_not_repeated(
    context: EntryContext,
    routed: RoutedRequest,
    progress: Progress,
    service: str,
    decision: RetryDecision,
) -> None:
    """Record why a failed request is not sent again, and log the state of the budget.

    Other reasons than the budget are in the log entry of the request's end.
    """
    progress.not_repeated = decision
    context.metrics.count(
        "berylnotch_retries_denied_total",
        Label("service", service),
        Label("reason", decision.value),
    )
    if decision is RetryDecision.BUDGET_SPENT:
        context.log.warning(
            "retry_denied",
            id=routed.caller.request_id,
            service=service,
            **_budget_fields(context, service),
        )


def note_end(
    context: EntryContext, routed: RoutedRequest, progress: Progress, end: RequestEnd
) -> None:
    """Log and count the end of a request."""
    write_log = context.log.info if end.outcome == "served" else context.log.warning
    write_log(
        "finished",
        id=routed.caller.request_id,
        route=routed.route.name,
        organisation=routed.organisation_name,
        outcome=end.outcome,
        status=end.status,
        reason=end.reason,
        target=end.target,
        sends=progress.sends,
        runs=progress.runs,
        moves=progress.moves,
        not_repeated=progress.not_repeated.value if progress.not_repeated else "",
        first_s=end.first_event_s,
        took_s=end.took_s,
        left_s=end.remaining_s,
        read_s=end.read_s,
        stopping_s=end.stopping_s,
        software=end.software_version,
    )
    if end.stopping_s is not None:
        context.metrics.count(
            "berylnotch_stopping_requests_total", Label("outcome", end.outcome)
        )
    context.metrics.count(
        "berylnotch_requests_total",
        Label("route", routed.route.name),
        Label("outcome", end.outcome),
        Label("status", str(end.status)),
    )
    context.metrics.observe("berylnotch_request_seconds", max(end.took_s, 0.0))
