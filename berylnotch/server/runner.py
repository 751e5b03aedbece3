"""Execution of exchanges: performs their actions and passes events to them."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from attrs import evolve
from loguru import logger

from berylnotch.control.commands import ClaimState
from berylnotch.gateways.engine import read_engine_head
from berylnotch.gateways.errors import ForbiddenRequestError, InvalidResponseError
from berylnotch.gateways.plain import read_plain_head
from berylnotch.server import responses
from berylnotch.server.errors import Refusal
from berylnotch.server.job import Attempt
from berylnotch.server.judging import AttemptAccounting
from berylnotch.server.stopping import (
    has_time_for,
    record_answer,
    stopping_refusal,
)
from berylnotch.streams.actions import (
    Action,
    AttemptFailed,
    CancelAttempt,
    Finish,
    FinishReason,
    PauseUpstream,
    ResumeUpstream,
    RunStatus,
    SendBytes,
    SendHead,
    StartAttempt,
    WaitUntil,
)
from berylnotch.streams.inputs import PauseReason, UpstreamEnd
from berylnotch.streams.outcomes import REFUSAL_STATUSES
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.gateways.transfers import TransferEnd
    from berylnotch.server.attempts import TargetSelector
    from berylnotch.server.claims import ClaimClient
    from berylnotch.server.context import Context
    from berylnotch.server.delivery import Delivery
    from berylnotch.server.job import Job

#: Longest time in seconds for which the answer to a failed request waits until other
#: routers know of the targets that were lost. A commit usually takes some
#: milliseconds; without a leader, the caller must not wait until the next election.
LOSS_CONFIRMATION_S = 1.0

#: Seconds by which the time limit of a transfer exceeds that of its exchange, which
#: ends the transfer. A transfer that ran out of time first would count as the loss of
#: its target.
TRANSFER_MARGIN_S = 5.0

#: Interval in seconds between checks whether a key can be verified.
_KEY_CHECK_S = 0.05

_POISON_CODE = "request_crashes_targets"
_KEY_MESSAGES = {
    FinishReason.KEY_WITHDRAWN: "key was withdrawn",
    FinishReason.KEYS_UNVERIFIED: "the key could not be verified in time",
}


class Runner:
    """Performs the actions of a router's exchanges; runs in the loop's thread.

    Parameters
    ----------
    context : Context
        Shared state.
    selector : TargetSelector
        Selects targets and builds requests to them.
    claim_client : ClaimClient
        Records the outcomes of non-idempotent requests.
    on_job_ended : callable
        Called with each job that has ended.
    check_freshness : callable
        Pauses all jobs with a key if keys can no longer be verified.
    """

    def __init__(
        self,
        context: Context,
        selector: TargetSelector,
        claim_client: ClaimClient,
        on_job_ended: Callable[[Job], None],
        check_freshness: Callable[[], None],
    ) -> None:
        self._context = context
        self._check_freshness = check_freshness
        self._selector = selector
        self._claim_client = claim_client
        self._on_job_ended = on_job_ended
        self._delivery: Delivery | None = None
        self._accounting = AttemptAccounting(context)

    def set_delivery(self, delivery: Delivery) -> None:
        """Set the delivery that writes answers to callers."""
        self._delivery = delivery

    def start(self, job: Job) -> None:
        """Start the exchange of a job."""
        now = time.monotonic()
        job.exchange.stop_at(self._context.answer_by)
        self.perform(job, job.exchange.start(now))
        self._schedule_tick(job)

    def on_stop_planned(self, job: Job) -> None:
        """Bound the exchange of a job by the time that the router has."""
        if job.exchange is not None:
            job.exchange.stop_at(self._context.answer_by)
            self._schedule_tick(job)

    def pause(self, job: Job, reason: PauseReason) -> None:
        """Pause the exchange of a job."""
        if job.exchange is not None:
            self.perform(job, job.exchange.pause(time.monotonic(), reason))

    def resume(self, job: Job, reason: PauseReason) -> None:
        """Resume the exchange of a job."""
        if job.exchange is not None:
            self.perform(job, job.exchange.resume(time.monotonic(), reason))

    def on_key_withdrawn(self, job: Job) -> None:
        """End a job whose key was withdrawn."""
        self._delivery.end_finished(job, FinishReason.KEY_WITHDRAWN)
        self._delivery.drop_uncharged(job)
        self.perform(job, job.exchange.on_key_withdrawn(time.monotonic()))

    def on_caller_disconnected(self, job: Job) -> None:
        """End a job whose caller disconnected."""
        self._delivery.end_finished(job, FinishReason.CALLER_GONE)
        self._delivery.drop_uncharged(job)
        self.perform(job, job.exchange.on_caller_disconnected(time.monotonic()))

    def perform(self, job: Job, actions: Iterable[Action]) -> None:
        """Perform actions, and the further actions that result from them."""
        pending = deque(actions)
        try:
            while pending:
                pending.extend(self._perform(job, pending.popleft()))
        except Exception:
            # An internal error must neither leave the caller without an answer nor
            # end other requests.
            logger.exception("event=request_failed request={}", job.request.request_id)
            self.abort(job)
        if job.exchange.is_paused:
            # The time at which the wait for the key ends depends on the inputs.
            self._schedule_tick(job)

    def abort(self, job: Job) -> None:
        """End a job after an internal error; its outcome is not known."""
        if job.has_ended:
            return
        if job.attempt is not None and job.attempt.transfer is not None:
            self._context.upstreams.cancel(job.attempt.transfer)
            self._context.health.record_abandoned(job.attempt.dispatch)
        if job.timer is not None:
            job.timer.cancel()
        if job.claim_attempt:
            self._claim_client.close_unfinished(job, ClaimState.UNKNOWN)
        if not job.first_byte_at:
            message = "internal error; see the router's log"
            refusal = Refusal(500, "internal_error", message, RunStatus.UNKNOWN)
            job.caller.write(
                responses.refusal_response(refusal, job.request.request_id)
            )
            job.caller.finish()
        else:
            job.caller.close()
        self._on_job_ended(job)

    def _perform(self, job: Job, action: Action) -> tuple[Action, ...]:
        if isinstance(action, SendBytes | SendHead):
            self._send(job, action)
        elif isinstance(action, StartAttempt):
            return self._start_attempt(job, action)
        elif isinstance(action, CancelAttempt):
            self._cancel_upstream(job)
        elif isinstance(action, AttemptFailed):
            self._accounting.on_attempt_failed(job, action)
        elif isinstance(action, PauseUpstream):
            self._pause_upstream(job)
        elif isinstance(action, ResumeUpstream):
            self._resume_upstream(job)
        elif isinstance(action, WaitUntil):
            self._schedule_tick(job)
        elif isinstance(action, Finish):
            self._finish(job, action)
        return ()

    def _send(self, job: Job, action: SendBytes | SendHead) -> None:
        if job.claim_attempt:
            # The answer to a claimed request is held until its outcome is recorded.
            job.held_actions.append(action)
        elif isinstance(action, SendHead):
            self._delivery.send_head(job, action)
        else:
            self._delivery.send(job, action)

    def _start_attempt(self, job: Job, action: StartAttempt) -> tuple[Action, ...]:
        now = time.monotonic()
        if self._accounting.is_refused(job, now):
            return job.exchange.on_no_target(now, action.number, _POISON_CODE)
        if not self._accounting.can_attempt(job, action):
            message = f"too many requests to {job.service.name} fail at present"
            return job.exchange.on_no_target(now, action.number, message, 1.0)
        # A stream that has begun goes on at another target for as long as it can.
        if not action.resume_after and not has_time_for(self._context, job):
            message = "the router is stopping"
            return job.exchange.on_no_target(now, action.number, message)
        choice = self._selector.choose(job, action)
        if choice is None:
            message = f"no target of {job.service.name} can take the request"
            return job.exchange.on_no_target(now, action.number, message, 1.0)
        timeout_s = max(self._context.end_by(job) - now, 0.0) + TRANSFER_MARGIN_S
        try:
            request = self._selector.build_request(
                job, choice.target, action, timeout_s
            )
        except ForbiddenRequestError as error:
            return job.exchange.on_no_target(now, action.number, str(error))
        name = choice.target.name
        dispatch = self._context.health.record_sent(now, name, choice.work_s)
        self._context.crash_guard.on_request_started(job.fingerprint, name)
        self._selector.record_sent(job, choice)
        attempt = Attempt(action.number, name, dispatch)
        self.free_response(job)
        job.attempt = attempt
        if not job.is_stream:
            attempt.held = self._context.response_memory.open(
                name,
                lambda is_paused: self._hold_back(attempt, is_paused),
                lambda: self._give_up(job, attempt, is_evicted=True),
            )
        actions = job.exchange.attempt_started(
            now, action.number, name, choice.ranked.weights
        )
        attempt.transfer = self._context.upstreams.start(
            request,
            lambda lines: self._on_head(job, attempt, lines),
            lambda data: self._on_body(job, attempt, data),
            lambda end: self._on_end(job, attempt, end),
        )
        return actions

    def _on_head(self, job: Job, attempt: Attempt, lines: tuple[bytes, ...]) -> None:
        read_head = read_engine_head if job.language is not None else read_plain_head
        now = time.monotonic()
        try:
            attempt.head = read_head(lines)
            self._accounting.on_head(attempt)
        except InvalidResponseError as error:
            _log_transfer_failure(job, attempt, str(error))
            self._give_up(job, attempt)
            return
        actions = job.exchange.on_response_head(now, attempt.number, attempt.head)
        self.perform(job, actions)

    def _give_up(self, job: Job, attempt: Attempt, is_evicted: bool = False) -> None:
        """End an attempt whose response cannot be used or held."""
        end = UpstreamEnd(complete=False, sent=True, is_evicted=is_evicted)
        self._context.upstreams.cancel(attempt.transfer)
        now = time.monotonic()
        self.perform(job, job.exchange.on_transfer_end(now, attempt.number, end))

    def _hold_back(self, attempt: Attempt, is_paused: bool) -> None:
        """Pause a buffered response while memory is scarce."""
        if attempt.transfer is None:
            return
        if is_paused:
            self._context.upstreams.pause(attempt.transfer)
        else:
            self._context.upstreams.resume(attempt.transfer)

    def free_response(self, job: Job) -> None:
        """Free the memory of a job's response."""
        if job.attempt is not None and job.attempt.held is not None:
            job.attempt.held.close()

    def _on_body(self, job: Job, attempt: Attempt, data: bytes) -> None:
        now = time.monotonic()
        self._context.health.first_token(attempt.dispatch)
        # After a suspension of the process, data may be read before the timer that
        # checks the view's freshness runs.
        self._check_freshness()
        self.perform(job, job.exchange.on_response_chunk(now, attempt.number, data))
        if attempt.held is not None:
            is_current = job.attempt is attempt
            attempt.held.resize(job.exchange.buffered_bytes if is_current else 0)
        if job.caller.is_full:
            self.pause(job, PauseReason.CALLER)

    def _on_end(self, job: Job, attempt: Attempt, end: TransferEnd) -> None:
        if end.error:
            _log_transfer_failure(job, attempt, end.error)
        upstream_end = UpstreamEnd(complete=not end.error, sent=end.sent)
        if attempt.held is not None:
            if end.error:
                attempt.held.close()
            else:
                attempt.held.complete()
        self._check_freshness()
        now = time.monotonic()
        actions = job.exchange.on_transfer_end(now, attempt.number, upstream_end)
        self.perform(job, actions)

    def _cancel_upstream(self, job: Job) -> None:
        self.free_response(job)
        attempt = job.attempt
        if attempt is not None and attempt.transfer is not None:
            self._context.upstreams.cancel(attempt.transfer)

    def _pause_upstream(self, job: Job) -> None:
        if job.attempt is not None and job.attempt.transfer is not None:
            self._context.upstreams.pause(job.attempt.transfer)

    def _resume_upstream(self, job: Job) -> None:
        if job.attempt is not None and job.attempt.transfer is not None:
            self._context.upstreams.resume(job.attempt.transfer)

    def _finish(self, job: Job, action: Finish) -> None:
        if job.timer is not None:
            job.timer.cancel()
        now = time.monotonic()
        self._accounting.on_exchange_finished(job, action, now)
        if action.reason is not FinishReason.COMPLETE:
            self._delivery.drop_uncharged(job)
        elif action.run_status is RunStatus.RAN:
            record_answer(self._context, job, now)
        if job.claim_attempt:
            self._claim_client.close(job, action, lambda: self._send_held(job, action))
        else:
            self._confirm_losses(job, action)

    def _send_held(self, job: Job, action: Finish) -> None:
        """Send the answer to a claimed request once its key is verified.

        After a suspension of the process, the time for which the answer was held may
        be over before the view is confirmed.
        """
        lease_s = self._context.settings.freshness_lease_s
        self._await_key(
            job,
            time.monotonic() + lease_s,
            lambda: self._send_recorded(job, action),
        )

    def _await_key(
        self, job: Job, wait_until: float, on_done: Callable[[], None]
    ) -> None:
        now = time.monotonic()
        is_over = now >= min(wait_until, self._context.answer_by)
        if is_over or not job.key_hash or self._context.freshness.is_fresh(now):
            on_done()
            return
        self._context.loop.call_later(
            _KEY_CHECK_S, lambda: self._await_key(job, wait_until, on_done)
        )

    def _send_recorded(self, job: Job, action: Finish) -> None:
        held_actions, job.held_actions = job.held_actions, []
        job.claim_attempt = ""
        reason = self._find_key_failure(job)
        if held_actions and reason is not None:
            self._send_ending(
                job,
                evolve(
                    action,
                    reason=reason,
                    message=_KEY_MESSAGES[reason],
                    status=REFUSAL_STATUSES[reason],
                ),
            )
            return
        for held_action in held_actions:
            self._send(job, held_action)
        self._confirm_losses(job, action)

    def _find_key_failure(self, job: Job) -> FinishReason | None:
        """Return why an answer may not be delivered under its key; None if it may."""
        if not job.key_hash:
            return None
        if self._context.view.find_key(job.key_hash) is None:
            return FinishReason.KEY_WITHDRAWN
        if not self._context.freshness.can_deliver_late(time.monotonic()):
            return FinishReason.KEYS_UNVERIFIED
        return None

    def _confirm_losses(self, job: Job, action: Finish) -> None:
        """End a failed request once other routers know of the targets that it lost."""
        has_ending = action.reason not in (
            FinishReason.COMPLETE,
            FinishReason.CALLER_GONE,
        )
        if not (has_ending and job.lost_targets):
            self._send_ending(job, action)
            return
        deadline = min(
            self._context.end_by(job), time.monotonic() + LOSS_CONFIRMATION_S
        )

        def on_done(is_confirmed: bool) -> None:
            if not is_confirmed:
                logger.warning(
                    "event=losses_unconfirmed request={} targets={}",
                    job.request.request_id,
                    ",".join(sorted(job.lost_targets)),
                )
            if not job.has_ended:
                self._send_ending(job, action)

        self._context.loss_confirmation.confirm(
            job.fingerprint, job.lost_targets, deadline, on_done
        )

    def _send_ending(self, job: Job, action: Finish) -> None:
        if action.status and action.reason is not FinishReason.CALLER_GONE:
            refusal = self._make_refusal(job, action)
            job.caller.write(
                responses.refusal_response(refusal, job.request.request_id)
            )
            job.caller.finish()
            self._end_job(job, action)
        elif action.reason is FinishReason.CALLER_GONE:
            job.caller.close()
            self._end_job(job, action)
        else:
            self._delivery.finish(job, lambda: self._end_job(job, action))

    def _end_job(self, job: Job, action: Finish) -> None:
        labels = (
            Label("service", job.service.name),
            Label("organisation", job.organisation_name),
            Label("reason", action.reason.value),
            Label("run", action.run_status.value),
        )
        self._context.metrics.count("berylnotch_requests_total", *labels)
        self._context.decisions.record_outcome(
            job.request.request_id,
            f"{action.reason.value} run={action.run_status.value} "
            f"attempts={action.attempts}",
        )
        logger.info(
            "event=request_over request={} organisation={} service={} target={} "
            "reason={} run={} attempts={} events={} tokens={} revision={} ms={}",
            job.request.request_id,
            job.organisation_name,
            job.service.name,
            job.attempt.target if job.attempt is not None else "",
            action.reason.value,
            action.run_status.value,
            action.attempts,
            action.position,
            job.charged_tokens,
            self._context.view.revision,
            int((time.monotonic() - job.arrived_at) * 1000),
        )
        self._on_job_ended(job)

    def _schedule_tick(self, job: Job) -> None:
        if job.timer is not None:
            job.timer.cancel()
        if job.exchange.is_finished:
            return
        delay_s = job.exchange.next_tick() - time.monotonic()
        job.timer = self._context.loop.call_later(
            max(delay_s, 0.005), lambda: self._tick(job)
        )

    def _tick(self, job: Job) -> None:
        if job.has_ended or job.exchange.is_finished:
            return
        # A retry must not start on the view of before a suspension.
        self._check_freshness()
        actions = job.exchange.tick(time.monotonic())
        if job.exchange.is_finished:
            # Bytes that wait for tokens or the key would hold the event that reports
            # the end.
            self._delivery.drop_uncharged(job)
        self.perform(job, actions)
        self._schedule_tick(job)

    def _make_refusal(self, job: Job, action: Finish) -> Refusal:
        if job.is_poison:
            return Refusal(
                422,
                _POISON_CODE,
                "targets were lost while they ran this request; it is not run again",
                action.run_status,
            )
        is_stop = action.reason is FinishReason.STOPPING or (
            action.reason is FinishReason.NO_TARGET
            and not has_time_for(self._context, job)
        )
        if is_stop:
            return stopping_refusal(self._context, action.run_status)
        code = action.reason.value.replace("-", "_")
        retry_after_s = action.retry_after_s
        message = action.message or action.reason.value
        if action.reason is FinishReason.KEYS_UNVERIFIED:
            return _unverified_refusal(job, action)
        return Refusal(action.status, code, message, action.run_status, retry_after_s)


def _unverified_refusal(job: Job, action: Finish) -> Refusal:
    code = action.reason.value.replace("-", "_")
    if action.run_status is RunStatus.NOT_RUN:
        return Refusal(503, code, action.message, retry_after_s=responses.SHORT_RETRY_S)
    retry_after_s = responses.SHORT_RETRY_S if job.idempotent else 0.0
    return Refusal(
        action.status, code, action.message, action.run_status, retry_after_s
    )


def _log_transfer_failure(job: Job, attempt: Attempt, reason: str) -> None:
    logger.info(
        "event=transfer_failed request={} target={} reason={!r}",
        job.request.request_id,
        attempt.target,
        reason,
    )
