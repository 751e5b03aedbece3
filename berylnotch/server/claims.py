"""Claims of non-idempotent requests: agreed before a run, closed after it."""

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
from berylnotch.server.delivery import replay_head
from berylnotch.server.errors import Refusal
from berylnotch.streams.actions import (
    Finish,
    FinishReason,
    RunMark,
    SendBytes,
    SendHead,
)

if TYPE_CHECKING:
    from berylnotch.control.commands import ClaimRecord
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job

#: Longest time, in seconds, from asking for a claim to sending its request;
#: shorter than the silence after which a router is taken for lost.
OPEN_LIMIT_S = 4.0
#: Seconds for which an outcome is proposed again and again.
_CLOSE_LIMIT_S = 60.0
#: Seconds after which the caller gets its answer although the outcome is not agreed.
_ANSWER_LIMIT_S = 3.0
_IN_PROGRESS_RETRY_S = 1.0


class Claims:
    """Opens and closes claims through the leader; runs in the loop's thread.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context

    def open(
        self,
        job: Job,
        run: Callable[[], None],
        refuse: Callable[[Refusal], None],
        replay: Callable[[], None],
    ) -> None:
        """Claim the job's run and call ``run`` if it was agreed.

        Otherwise ``refuse`` is called, or ``replay`` after a stored answer was
        written.
        """
        attempt = secrets.token_hex(8)
        command = OpenClaim(
            organisation=job.organisation_name,
            idempotency_key=job.request.idempotency_key,
            fingerprint=job.fingerprint,
            router=router_id(self._context.settings.name, self._context.incarnation),
            attempt=attempt,
        )
        asked_at = time.monotonic()
        limit_s = min(OPEN_LIMIT_S, job.deadline - asked_at)

        def answered(result: Result | None) -> None:
            # A router that was stopped meanwhile may be taken for lost, and its
            # claim may be settled as not run: it must not run any more.
            is_late = time.monotonic() - asked_at > OPEN_LIMIT_S
            if result is None or (is_late and result.status is Status.OK):
                # The claim may be agreed all the same, and must not stay open.
                self._propose_close(job, attempt, ClaimState.NOT_RUN)
                refuse(_unreachable())
            elif result.status is Status.OK:
                job.claim_attempt = attempt
                run()
            elif result.claim is not None and result.claim.state is ClaimState.DONE:
                _replay(job, result.claim)
                replay()
            else:
                refuse(_refusal(result))

        self._context.proposer.propose(command, limit_s, answered)

    def close(self, job: Job, finish: Finish, then: Callable[[], None]) -> None:
        """Record the outcome, then call ``then`` once."""
        called = False

        def release() -> None:
            nonlocal called
            if not called:
                called = True
                then()

        state = _state(finish)
        logger.info(
            "event=claim_closed request={} organisation={} state={}",
            job.request.request_id,
            job.organisation_name,
            state.value,
        )
        self._propose_close(job, job.claim_attempt, state, release)
        self._context.loop.call_later(_ANSWER_LIMIT_S, release)

    def give_up(self, job: Job, state: ClaimState) -> None:
        """Close a claim whose run did not go its usual way."""
        attempt, job.claim_attempt = job.claim_attempt, ""
        self._propose_close(job, attempt, state)

    def _propose_close(
        self,
        job: Job,
        attempt: str,
        state: ClaimState,
        then: Callable[[], None] | None = None,
    ) -> None:
        head = next((a for a in job.held if isinstance(a, SendHead)), None)
        is_done = state is ClaimState.DONE and head is not None
        body = b"".join(a.data for a in job.held if isinstance(a, SendBytes))
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
            command, _CLOSE_LIMIT_S, lambda _result: then() if then else None
        )


def _state(finish: Finish) -> ClaimState:
    if finish.mark is RunMark.NOT_RUN:
        return ClaimState.NOT_RUN
    if finish.reason is FinishReason.COMPLETE and finish.mark is RunMark.RAN:
        return ClaimState.DONE
    return ClaimState.UNKNOWN


def _content_type(head: SendHead) -> str:
    fields = (header.value for header in head.headers if header.name == "content-type")
    return next(fields, "")


def _replay(job: Job, claim: ClaimRecord) -> None:
    head = replay_head(job, claim.http_status, claim.content_type, len(claim.body))
    job.caller.write(head + claim.body)
    job.caller.finish()


def _unreachable() -> Refusal:
    return Refusal(
        503,
        "claims_unavailable",
        "the claim on this request could not be agreed in time",
        RunMark.NOT_RUN,
        responses.SHORT_RETRY_S,
    )


def _refusal(result: Result) -> Refusal:
    claim = result.claim
    if result.status is not Status.EXISTS or claim is None:
        return Refusal(422, "idempotency_key_reused", result.message)
    if claim.state is ClaimState.RUNNING:
        return Refusal(
            409,
            "in_progress",
            "the request with this idempotency key is running",
            RunMark.UNKNOWN,
            _IN_PROGRESS_RETRY_S,
        )
    return Refusal(
        409,
        "outcome_unknown",
        "whether the request with this idempotency key ran is not known; "
        "an operator can settle it",
        RunMark.UNKNOWN,
    )
