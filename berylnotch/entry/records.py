"""What is logged and counted of a request: each send, and its end."""

from __future__ import annotations

from attrs import define, frozen

from berylnotch.entry.admitted import Admitted
from berylnotch.entry.context import EntryContext
from berylnotch.entry.model import Choice, Placing
from berylnotch.entry.results import AttemptResult
from berylnotch.platform.requests import TargetHeaders
from berylnotch.util.metrics import Label


@define
class Progress:
    """What the attempts of a request have come to.

    Parameters
    ----------
    sends : int, default=0
        Targets that it was sent to.
    runs : int, default=0
        Of these, the ones that may have run it.
    moves : int, default=0
        Times that its run was stopped, to go on with its memory.
    """

    sends: int = 0
    runs: int = 0
    moves: int = 0


@frozen
class RequestEnd:
    """How a request ended.

    Parameters
    ----------
    outcome : str
        ``served``, ``refused``, ``failed``, ``target_failed``, ``broken_off`` or
        ``caller_left``.
    status : int
        Status that the caller got, 0 if none.
    target : str
        Target whose answer it got, empty if none.
    reason : str
        Why it was not served, empty if it was.
    first_event_s, took_s, left_s : float
        Seconds to the first event, to the end, and from there to the deadline.
    """

    outcome: str
    status: int
    target: str
    reason: str
    first_event_s: float
    took_s: float
    left_s: float


def note_sent(
    context: EntryContext,
    admitted: Admitted,
    placing: Placing,
    choice: Choice,
    told: TargetHeaders,
    progress: Progress,
) -> None:
    """Log the inputs of a choice."""
    target = choice.target
    context.log.info(
        "sent",
        id=admitted.caller.request_id,
        route=admitted.route.name,
        target=target.target_id,
        send=progress.sends,
        load=target.load,
        own_load=target.in_flight,
        prompt=admitted.caller.prompt_tokens,
        shared=placing.chain.path.rpartition("/")[2],
        shared_tokens=placing.chain.shared_tokens,
        fetch=told.fetch_from,
        save=told.save_to,
        weights=told.weights_version,
        wanted=placing.wanted_version,
        unread=choice.unread,
        expected_s=choice.delay_ms / 1000,
        after=told.resume_after,
        origin=told.run_origin,
        left_s=told.deadline_s,
        configuration=context.routes.version,
    )


def note_retry(
    context: EntryContext,
    admitted: Admitted,
    progress: Progress,
    result: AttemptResult,
    reason: str,
    last_event: int | None,
) -> None:
    """Log and count that a request goes to one more target."""
    listed = result.target.listed
    context.metrics.count("berylnotch_retries_total", Label("service", listed.service))
    context.log.warning(
        "sent_again",
        id=admitted.caller.request_id,
        target=listed.target_id,
        reason=reason,
        sends=progress.sends,
        runs=progress.runs,
        last_event=last_event,
    )


def note_end(
    context: EntryContext, admitted: Admitted, progress: Progress, end: RequestEnd
) -> None:
    """Log and count the end of a request."""
    write = context.log.info if end.outcome == "served" else context.log.warning
    write(
        "finished",
        id=admitted.caller.request_id,
        route=admitted.route.name,
        organisation=admitted.organisation_name,
        outcome=end.outcome,
        status=end.status,
        reason=end.reason,
        target=end.target,
        sends=progress.sends,
        runs=progress.runs,
        moves=progress.moves,
        first_s=end.first_event_s,
        took_s=end.took_s,
        left_s=end.left_s,
    )
    context.metrics.count(
        "berylnotch_requests_total",
        Label("route", admitted.route.name),
        Label("outcome", end.outcome),
        Label("status", str(end.status)),
    )
    context.metrics.observe("berylnotch_request_seconds", max(end.took_s, 0.0))
