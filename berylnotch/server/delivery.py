"""Delivery of answers to callers, after their tokens are charged."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger
from werkzeug.datastructures import Headers

from berylnotch.gateways.engine import completion_tokens
from berylnotch.server import responses
from berylnotch.server.errors import Refusal
from berylnotch.server.job import UnchargedBytes
from berylnotch.streams.actions import (
    FinishReason,
    RunStatus,
    SendBytes,
    SendHead,
)
from berylnotch.streams.outcomes import REFUSAL_STATUSES, encode_error_event
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job
    from berylnotch.server.needs import TokenDemand

_GAP_METRIC = "berylnotch_event_gap_seconds"
#: Seconds for which the held bytes of a finished answer wait for tokens.
_CHARGE_TIMEOUT_S = 60.0


class Delivery:
    """Charges generated tokens to the organisation, then writes their bytes.

    If the organisation's tokens do not suffice, or the caller's key cannot be verified,
    the bytes are held in the job and the stream is paused. No bytes are sent before
    their tokens are charged.

    Parameters
    ----------
    context : Context
        Shared state.
    demand : TokenDemand
        Receives the number of tokens that held bytes need.
    pause, resume : callable
        Pause and resume a job's exchange for lack of tokens.
    """

    def __init__(
        self,
        context: Context,
        demand: TokenDemand,
        pause: Callable[[Job], None],
        resume: Callable[[Job], None],
    ) -> None:
        self._context = context
        self._demand = demand
        self._pause = pause
        self._resume = resume
        self._waiting_jobs: dict[str, Job] = {}
        self._gap_timers: dict[str, Callable[[float], None]] = {}

    def send_head(self, job: Job, action: SendHead) -> None:
        """Write the head of a target's answer; that of a whole one comes with its body.

        While no byte is written, an answer whose tokens do not come can still be
        replaced by a refusal.
        """
        headers = Headers([(h.name, h.value) for h in action.headers])
        headers[responses.REQUEST_ID_HEADER] = job.request.request_id
        headers[responses.RUN_HEADER] = action.run_status.value
        if action.content_length is None:
            job.chunked = True
            headers["Transfer-Encoding"] = "chunked"
            headers["Cache-Control"] = "no-cache"
        else:
            headers["Content-Length"] = str(action.content_length)
        job.held_head = responses.response_head(action.status, headers)
        if job.chunked:
            self._write_head(job)

    def send(self, job: Job, action: SendBytes) -> None:
        """Write bytes once their tokens are charged."""
        uncharged = UnchargedBytes(action, _count_tokens(job, action))
        if job.uncharged or not self._charge(job, uncharged):
            self._hold_uncharged(job, uncharged)
            return
        # The process may have been suspended since the events were received.
        if action.events and not self._is_key_verifiable(job):
            self._hold_uncharged(job, uncharged)
            return
        self._write(job, action)

    def finish(self, job: Job, on_done: Callable[[], None]) -> None:
        """End the answer and call ``on_done`` after all bytes are written."""
        if not job.uncharged:
            self._end_answer(job, on_done)
            return
        job.pending_finish = on_done
        self._context.loop.call_later(
            _CHARGE_TIMEOUT_S,
            lambda: self._abort_uncharged(job, FinishReason.DEADLINE),
        )

    def end_uncharged(self) -> None:
        """End the answers that wait for tokens when a stopping router's time is up."""
        for job in tuple(self._waiting_jobs.values()):
            self._abort_uncharged(job, FinishReason.STOPPING)

    def end_finished(self, job: Job, reason: FinishReason) -> None:
        """End an answer whose exchange is over and whose bytes wait for tokens."""
        self._abort_uncharged(job, reason)

    def drop_uncharged(self, job: Job) -> None:
        """Discard held bytes that will not be delivered."""
        job.uncharged.clear()
        self._remove_demand(job)

    def retry(self) -> None:
        """Charge and write the held bytes of waiting jobs whose keys can be verified.

        Called after a grant of tokens and after a confirmation of the view.
        """
        for job in tuple(self._waiting_jobs.values()):
            self._send_uncharged(job)

    def _charge(self, job: Job, uncharged: UnchargedBytes) -> bool:
        """Charge the tokens that are available; return whether all are charged."""
        if job.organisation is None or not uncharged.tokens:
            return True
        now = time.monotonic()
        quota, name = self._context.quota, job.organisation.name
        tokens = min(uncharged.tokens, quota.balance(now, name))
        if tokens and quota.charge(now, name, tokens):
            uncharged.tokens -= tokens
            job.charged_tokens += tokens
        return not uncharged.tokens

    def _hold_uncharged(self, job: Job, uncharged: UnchargedBytes) -> None:
        job.uncharged.append(uncharged)
        self._waiting_jobs[job.request.request_id] = job
        self._update_demand(job)
        self._pause(job)

    def _update_demand(self, job: Job) -> None:
        tokens = sum(uncharged.tokens for uncharged in job.uncharged)
        name, request_id = job.organisation_name, job.request.request_id
        if tokens:
            # A single token suffices to proceed, since bytes can be charged in parts.
            self._demand.update(name, request_id, tokens, 1)
        else:
            # The bytes are charged and wait for the verification of the key.
            self._demand.remove(name, request_id)

    def _is_key_verifiable(self, job: Job) -> bool:
        now = time.monotonic()
        return not job.key_hash or self._context.freshness.is_fresh(now)

    def _send_uncharged(self, job: Job) -> None:
        # A grant that was received before a suspension of the process is processed
        # after it, when the key may have been withdrawn.
        if not self._is_key_verifiable(job):
            return
        while job.uncharged:
            if not self._charge(job, job.uncharged[0]):
                self._update_demand(job)
                return
            self._write(job, job.uncharged.pop(0).action)
        self._remove_demand(job)
        if job.pending_finish is not None:
            self._end_answer(job, job.pending_finish)
        else:
            self._resume(job)

    def _remove_demand(self, job: Job) -> None:
        if self._waiting_jobs.pop(job.request.request_id, None) is not None:
            self._demand.remove(job.organisation_name, job.request.request_id)

    def _write(self, job: Job, action: SendBytes) -> None:
        if action.events:
            self._observe_event_gap(job)
        data = responses.encode_chunk(action.data) if job.chunked else action.data
        self._write_head(job)
        job.caller.write(data)

    def _write_head(self, job: Job) -> None:
        if job.held_head:
            self._observe_first_byte(job)
            job.caller.write(job.held_head)
            job.held_head = b""

    def _end_answer(self, job: Job, on_done: Callable[[], None]) -> None:
        job.pending_finish = None
        self._write_head(job)
        if job.chunked:
            job.caller.write(responses.LAST_CHUNK)
        job.caller.finish()
        on_done()

    def _abort_uncharged(self, job: Job, reason: FinishReason) -> None:
        """End a finished answer whose last bytes are not delivered."""
        on_done, job.pending_finish = job.pending_finish, None
        if on_done is None:
            return
        self.drop_uncharged(job)
        if reason is FinishReason.CALLER_GONE:
            on_done()
            return
        request_id = job.request.request_id
        logger.warning(
            "event=answer_unpaid request={} organisation={} reason={}",
            request_id,
            job.organisation_name,
            reason.value,
        )
        message = "the organisation's tokens for the answer did not come in time"
        if reason is FinishReason.KEY_WITHDRAWN:
            message = "key was withdrawn"
        if job.chunked:
            event = encode_error_event(reason, message)
            job.caller.write(responses.encode_chunk(event))
            self._end_answer(job, on_done)
            return
        # The body of a whole answer is charged at once, so none of it is sent.
        status = REFUSAL_STATUSES[reason]
        code = reason.value.replace("-", "_")
        refusal = Refusal(status, code, message, RunStatus.RAN)
        job.caller.write(responses.refusal_response(refusal, request_id))
        job.caller.finish()
        on_done()

    def _observe_first_byte(self, job: Job) -> None:
        job.first_byte_at = time.monotonic()
        self._context.metrics.observe(
            "berylnotch_first_byte_seconds",
            job.first_byte_at - job.arrived_at,
            Label("service", job.service.name),
        )

    def _observe_event_gap(self, job: Job) -> None:
        now = time.monotonic()
        if job.last_event_at:
            self._gap_timer(job.service.name)(now - job.last_event_at)
        job.last_event_at = now

    def _gap_timer(self, service: str) -> Callable[[float], None]:
        timer = self._gap_timers.get(service)
        if timer is None:
            label = Label("service", service)
            timer = self._context.metrics.timer(_GAP_METRIC, label)
            self._gap_timers[service] = timer
        return timer


def _count_tokens(job: Job, action: SendBytes) -> int:
    if action.events or job.language is None or job.chunked:
        return action.events
    return completion_tokens(action.data)


def build_replay_head(job: Job, status: int, content_type: str, length: int) -> bytes:
    """Return the response head for the replay of a stored answer."""
    headers = Headers()
    headers["Content-Type"] = content_type or "application/octet-stream"
    headers["Content-Length"] = str(length)
    headers["Idempotent-Replayed"] = "true"
    headers[responses.REQUEST_ID_HEADER] = job.request.request_id
    headers[responses.RUN_HEADER] = RunStatus.RAN.value
    return responses.response_head(status, headers)
