"""Claims that keep non-idempotent requests from running twice.

A claim is committed before the request runs and closed with the outcome.
"""

from __future__ import annotations

import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from berylnotch.control.commands import (
    ClaimState,
    CloseClaim,
    OpenClaim,
    Result,
    Status,
)
from berylnotch.ledger.ledger import router_id
from berylnotch.server import responses
from berylnotch.server.delivery import build_replay_head
from berylnotch.server.errors import Refusal
from berylnotch.streams.actions import (
    Finish,
    FinishReason,
    RunStatus,
    SendBytes,
    SendHead,
)

if TYPE_CHECKING:
    from berylnotch.control.commands import ClaimRecord
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job

#: Longest time, in seconds, from proposing a claim to sending its request;
#: shorter than the silence after which a router is considered lost.
OPEN_TIMEOUT_S = 4.0
#: Seconds for which the proposal of an outcome is retried.
_CLOSE_TIMEOUT_S = 60.0
#: Longest time, in seconds, for which an answer waits until its outcome is committed.
_ANSWER_HOLD_LIMIT_S = 3.0
#: Seconds after which a caller may retry a request that is still running.
_IN_PROGRESS_RETRY_S = 1.0


class ClaimClient:
    """Opens and closes claims through the leader; runs in the loop's thread.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._held_answers: dict[Job, Callable[[], None]] = {}

    def open(
        self,
        job: Job,
        on_claimed: Callable[[], None],
        on_refused: Callable[[Refusal], None],
        on_replayed: Callable[[], None],
        check_key: Callable[[], Refusal | None],
    ) -> None:
        """Propose a claim for the job and call ``on_claimed`` if it is committed.

        Otherwise ``on_refused`` is called; if an earlier claim has a stored answer,
        and ``check_key`` returns no refusal, the answer is written to the caller and
        ``on_replayed`` is called.
        """
        attempt = secrets.token_hex(8)
        command = OpenClaim(
            organisation=job.organisation_name,
            idempotency_key=job.request.idempotency_key,
            fingerprint=job.fingerprint,
            router=router_id(self._context.settings.name, self._context.incarnation),
            attempt=attempt,
        )
        requested_at = time.monotonic()
        timeout_s = min(OPEN_TIMEOUT_S, self._context.end_by(job) - requested_at)

        def on_result(result: Result | None) -> None:
            # While this router's process is suspended, the leader may consider the
            # router lost and settle the claim as not run. After such a settlement
            # the request must not run.
            is_late = time.monotonic() - requested_at > OPEN_TIMEOUT_S
            if result is None or (is_late and result.status is Status.OK):
                # The claim may have been committed all the same, and must not stay
                # open.
                self._propose_close(job, attempt, ClaimState.NOT_RUN)
                on_refused(_unavailable_refusal())
            elif result.status is Status.OK:
                job.claim_attempt = attempt
                on_claimed()
            elif result.claim is not None and result.claim.state is ClaimState.DONE:
                refusal = check_key()
                if refusal is None:
                    _send_replay(job, result.claim)
                    on_replayed()
                else:
                    on_refused(_refusal_of_replay(refusal))
            else:
                on_refused(_claim_refusal(result))

        self._context.proposer.propose(command, timeout_s, on_result)

    def close(self, job: Job, finish: Finish, on_closed: Callable[[], None]) -> None:
        """Record the outcome, then call ``on_closed`` once.

        ``on_closed`` is called after `_ANSWER_HOLD_LIMIT_S` at the latest.
        """

        def notify_once() -> None:
            if self._held_answers.pop(job, None) is not None:
                on_closed()

        self._held_answers[job] = notify_once
        state = _claim_state(finish)
        logger.info(
            "event=claim_closed request={} organisation={} state={}",
            job.request.request_id,
            job.organisation_name,
            state.value,
        )
        self._propose_close(job, job.claim_attempt, state, notify_once)
        # A stopping router releases the held answers once, at the end of its answers.
        has_time = time.monotonic() < self._context.answer_by
        hold_s = _ANSWER_HOLD_LIMIT_S if has_time else 0.0
        self._context.loop.call_later(hold_s, notify_once)

    def release_held_answers(self) -> None:
        """Send the answers whose outcomes are not recorded yet, before a stop ends."""
        for notify in tuple(self._held_answers.values()):
            notify()

    def close_unfinished(self, job: Job, state: ClaimState) -> None:
        """Close a claim whose request did not run or ended with an internal error."""
        attempt, job.claim_attempt = job.claim_attempt, ""
        self._propose_close(job, attempt, state)

    def _propose_close(
        self,
        job: Job,
        attempt: str,
        state: ClaimState,
        on_closed: Callable[[], None] | None = None,
    ) -> None:
        head = next((a for a in job.held_actions if isinstance(a, SendHead)), None)
        is_done = state is ClaimState.DONE and head is not None
        body = b"".join(a.data for a in job.held_actions if isinstance(a, SendBytes))
        command = CloseClaim(
            organisation=job.organisation_name,
            idempotency_key=job.request.idempotency_key,
            attempt=attempt,
            state=state,
            http_status=head.status if is_done else 0,
            content_type=_content_type(head) if is_done else "",
            body=body if is_done else b"",
        )
        self._context.proposer.propose(
            command,
            _CLOSE_TIMEOUT_S,
            lambda _result: on_closed() if on_closed else None,
        )


def _claim_state(finish: Finish) -> ClaimState:
    if finish.run_status is RunStatus.NOT_RUN:
        return ClaimState.NOT_RUN
    if finish.reason is FinishReason.COMPLETE and finish.run_status is RunStatus.RAN:
        return ClaimState.DONE
    return ClaimState.UNKNOWN


def _content_type(head: SendHead) -> str:
    content_types = (
        header.value for header in head.headers if header.name == "content-type"
    )
    return next(content_types, "")


def _send_replay(job: Job, claim: ClaimRecord) -> None:
    head = build_replay_head(
        job, claim.http_status, claim.content_type, len(claim.body)
    )
    job.caller.write(head + claim.body)
    job.caller.finish()


def _refusal_of_replay(refusal: Refusal) -> Refusal:
    """Return the refusal of a request that an earlier one has run already."""
    return Refusal(
        refusal.status,
        refusal.code,
        refusal.message,
        RunStatus.RAN,
        refusal.retry_after_s,
    )


def _unavailable_refusal() -> Refusal:
    return Refusal(
        503,
        "claims_unavailable",
        "the claim on this request could not be agreed in time",
        RunStatus.NOT_RUN,
        responses.SHORT_RETRY_S,
    )


def _claim_refusal(result: Result) -> Refusal:
    claim = result.claim
    if result.status is not Status.EXISTS or claim is None:
        return Refusal(422, "idempotency_key_reused", result.message)
    if claim.state is ClaimState.RUNNING:
        return Refusal(
            409,
            "in_progress",
            "the request with this idempotency key is running",
            RunStatus.UNKNOWN,
            _IN_PROGRESS_RETRY_S,
        )
    return Refusal(
        409,
        "outcome_unknown",
        "whether the request with this idempotency key ran is not known; "
        "an operator can settle it",
        RunStatus.UNKNOWN,
    )
