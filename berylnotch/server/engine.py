"""Processing of requests in a router, from admission to the end of the answer."""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING

from attrs import evolve
from loguru import logger

from berylnotch.control.commands import ClaimState
from berylnotch.gateways.engine import is_whole_answer
from berylnotch.server import responses
from berylnotch.server.attempts import TargetSelector
from berylnotch.server.caller import CallerConnection
from berylnotch.server.claims import ClaimClient
from berylnotch.server.delivery import Delivery
from berylnotch.server.errors import Refusal
from berylnotch.server.needs import TokenDemand
from berylnotch.server.queueing import AdmissionQueues
from berylnotch.server.runner import Runner
from berylnotch.server.stopping import has_time_for, stopping_refusal
from berylnotch.streams.exchange import Exchange
from berylnotch.streams.inputs import ExchangeRequest, PauseReason
from berylnotch.streams.reference import (
    FINGERPRINT_BYTES,
    STREAM_ID_BYTES,
    StreamPosition,
    sign_base,
)
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    import socket

    from berylnotch.membership.departure import StopSchedule
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job

#: Interval, in seconds, between checks of the view's freshness, deadlines and queues.
_TICK_S = 0.05


class RequestPath:
    """Runs jobs in the loop's thread.

    Parameters
    ----------
    context : Context
        Shared state.
    stream_secret : bytes
        Key that signs references to streams.
    """

    def __init__(self, context: Context, stream_secret: bytes) -> None:
        self._context = context
        self._stream_secret = stream_secret
        self._demand = TokenDemand(context.quota, context.send_heartbeat_soon)
        self._selector = TargetSelector(context)
        self._claim_client = ClaimClient(context)
        self._runner = Runner(
            context,
            self._selector,
            self._claim_client,
            self._on_job_ended,
            self._check_view_freshness,
        )
        self._delivery = Delivery(
            context,
            self._demand,
            lambda job: self._runner.pause(job, PauseReason.QUOTA),
            lambda job: self._runner.resume(job, PauseReason.QUOTA),
        )
        self._runner.set_delivery(self._delivery)
        self._admission = AdmissionQueues(
            context, self._selector, self._demand, self._start_or_claim, self._refuse
        )
        self._was_view_fresh = False
        self._closing_jobs: set[Job] = set()
        self._submitted_jobs: set[Job] = set()

    @property
    def running(self) -> int:
        """Number of requests that have not ended or whose last bytes are not sent."""
        jobs = (self._submitted_jobs, self._context.jobs, self._closing_jobs)
        return sum(len(group) for group in jobs)

    def start(self) -> None:
        """Start the periodic checks of the view's freshness, deadlines and queues."""
        self._context.loop.call_every(_TICK_S, self._tick)

    def submit(self, job: Job, sock: socket.socket) -> None:
        """Accept a job and its caller's socket; any thread may call this."""
        self._submitted_jobs.add(job)
        self._context.loop.call_soon(lambda: self._accept(job, sock))

    def plan_stop(self, stop: StopSchedule) -> None:
        """Bound all requests, present and future, by the times of a planned stop."""
        self._context.stop = stop
        for job in tuple(self._context.jobs):
            self._runner.on_stop_planned(job)
        self._admission.refuse_late()
        self._context.loop.call_later(
            stop.answer_by - time.monotonic(), self._end_all_answers
        )

    def on_grant(self) -> None:
        """Retry the streams and queued requests that wait for tokens."""
        self._delivery.retry()
        self._admission.dispatch_all()

    def on_view_change(self) -> None:
        """End the requests whose keys were withdrawn; continue confirmed ones."""
        for job in tuple(self._context.jobs):
            if job.key_hash and self._context.view.find_key(job.key_hash) is None:
                self._on_key_withdrawn(job)
        self._check_view_freshness()
        self._delivery.retry()

    def _accept(self, job: Job, sock: socket.socket) -> None:
        job.caller = CallerConnection(
            self._context.loop,
            sock,
            lambda: self._runner.resume(job, PauseReason.CALLER),
            lambda: self._on_caller_disconnected(job),
        )
        job.caller.start()
        self._context.jobs.add(job)
        self._submitted_jobs.discard(job)
        try:
            self._admit(job)
        except Exception:
            # Without an answer the caller would wait until its own timeout.
            logger.exception("event=request_failed request={}", job.request.request_id)
            self._runner.abort(job)

    def _admit(self, job: Job) -> None:
        refusal = self._check_admission(job)
        if refusal is not None:
            self._refuse(job, refusal)
            return
        self._admission.enqueue(job)

    def _check_admission(self, job: Job) -> Refusal | None:
        now = time.monotonic()
        if job.key_hash:
            refusal = self._check_key(job, now)
            if refusal is not None:
                return refusal
        if not has_time_for(self._context, job):
            return stopping_refusal(self._context)
        guard, reported_losses = (
            self._context.crash_guard,
            self._context.reported_losses,
        )
        if guard.is_refused(now, job.fingerprint, reported_losses):
            message = "targets were lost while they ran this request; it is not run"
            return Refusal(422, "request_crashes_targets", message)
        dependency = self._selector.missing_dependency(now, job.service.name)
        if dependency:
            message = f"{dependency}, which {job.service.name} requires, cannot serve"
            return Refusal(503, "dependency_unavailable", message, retry_after_s=1.0)
        if not self._selector.can_serve(now, job.service.name):
            message = f"no target of {job.service.name} can serve"
            return Refusal(503, "no_target", message, retry_after_s=1.0)
        return None

    def _check_key(self, job: Job, now: float) -> Refusal | None:
        if not self._context.freshness.is_fresh(now):
            message = "keys cannot be verified at present"
            return Refusal(503, "keys_unverified", message, retry_after_s=1.0)
        if self._context.view.find_key(job.key_hash) is None:
            return Refusal(401, "invalid_key", "the key is not accepted")
        return None

    def _start_or_claim(self, job: Job) -> None:
        # While the job was queued, its key may have been withdrawn or the view may have
        # become stale.
        refusal = self._check_key_now(job)
        if refusal is not None:
            self._refuse(job, refusal)
            return
        if not has_time_for(self._context, job):
            self._refuse(job, stopping_refusal(self._context))
            return
        # Idempotency keys of callers without an organisation could collide.
        can_claim = job.request.idempotency_key and job.organisation is not None
        if job.idempotent or not can_claim:
            self._start(job)
            return
        self._claim_client.open(
            job,
            lambda: self._start_claimed(job),
            lambda refusal: self._refuse(job, refusal),
            lambda: self._on_job_ended(job),
            lambda: self._check_key_now(job),
        )

    def _check_key_now(self, job: Job) -> Refusal | None:
        return self._check_key(job, time.monotonic()) if job.key_hash else None

    def _start_claimed(self, job: Job) -> None:
        refusal = self._check_key_now(job)
        if refusal is None and not has_time_for(self._context, job):
            refusal = stopping_refusal(self._context)
        if refusal is not None:
            # The key was withdrawn, the view became stale, or the time of a stopping
            # router ran out, before the claim was committed.
            self._claim_client.close_unfinished(job, ClaimState.NOT_RUN)
            self._refuse(job, refusal)
            return
        if job.has_ended:
            # The caller disconnected before the claim was committed. The request
            # still runs, because a caller that sends it again with the same
            # idempotency key expects the outcome.
            logger.info("event=claim_without_caller request={}", job.request.request_id)
        self._start(job)

    def _start(self, job: Job) -> None:
        # An answer waits for a confirmation of the view as long as a view may be used
        # without one.
        settings = evolve(
            self._context.settings.exchange,
            key_wait_s=self._context.settings.freshness_lease_s,
        )
        if job.is_stream:
            settings = evolve(settings, first_event_timeout_s=job.route.timeout_s)
        job.exchange = Exchange(settings, self._make_exchange_request(job))
        self._runner.start(job)

    def _make_exchange_request(self, job: Job) -> ExchangeRequest:
        is_language = job.language is not None
        request = ExchangeRequest(
            request_id=job.request.request_id,
            deadline=job.deadline,
            idempotent=job.idempotent,
            stream=job.is_stream,
            echo_required=is_language,
            resume_after=job.resume_after,
            weights=job.resume_weights,
            can_deliver_late=self._context.freshness.can_deliver_late,
        )
        if not is_language:
            return request
        return evolve(
            request,
            sign_base=lambda weights: self._sign_stream_base(job, weights),
            is_whole=is_whole_answer,
        )

    def _sign_stream_base(self, job: Job, weights: str) -> str:
        position = StreamPosition(
            stream=secrets.token_bytes(STREAM_ID_BYTES),
            organisation=job.organisation_name,
            fingerprint=job.fingerprint[:FINGERPRINT_BYTES],
            weights=weights,
        )
        return sign_base(self._stream_secret, position)

    def _refuse(self, job: Job, refusal: Refusal) -> None:
        request_id = job.request.request_id
        job.caller.write(responses.refusal_response(refusal, request_id))
        job.caller.finish()
        self._count_refusal(job, refusal)
        self._on_job_ended(job)

    def _count_refusal(self, job: Job, refusal: Refusal) -> None:
        organisation = job.organisation_name
        self._context.metrics.count(
            "berylnotch_refusals_total",
            Label("organisation", organisation),
            Label("reason", refusal.code),
        )
        logger.info(
            "event=request_refused request={} organisation={} reason={} run={}",
            job.request.request_id,
            organisation,
            refusal.code,
            refusal.run_status.value,
        )

    def _on_caller_disconnected(self, job: Job) -> None:
        if self._admission.cancel(job):
            self._on_job_ended(job)
        elif job.exchange is not None and not job.claim_attempt:
            self._runner.on_caller_disconnected(job)
        elif job.exchange is None and not job.has_ended and not job.claim_attempt:
            # A claim is being committed; its result decides whether the request runs.
            logger.info("event=caller_gone request={}", job.request.request_id)

    def _on_key_withdrawn(self, job: Job) -> None:
        if self._admission.cancel(job):
            refusal = Refusal(401, "invalid_key", "the key was withdrawn")
            self._refuse(job, refusal)
        elif job.exchange is not None:
            self._runner.on_key_withdrawn(job)

    def _on_job_ended(self, job: Job) -> None:
        if job.has_ended:
            return
        job.has_ended = True
        self._context.jobs.discard(job)
        if job.caller.is_sent:
            self._runner.free_response(job)
        else:
            self._closing_jobs.add(job)
        # Dispatch to the freed slot after the current call returns, because the call
        # may come from an admission queue that is being processed.
        self._context.loop.call_soon(lambda: self._admission.dispatch(job.service.name))

    def _tick(self) -> None:
        self._check_view_freshness()
        sent_jobs = {job for job in self._closing_jobs if job.caller.is_sent}
        self._closing_jobs -= sent_jobs
        for job in sent_jobs:
            self._runner.free_response(job)
        self._admission.refuse_expired()
        if self._context.stop is not None:
            self._admission.refuse_late()
        self._admission.dispatch_all()

    def _end_all_answers(self) -> None:
        """End the requests that are still open when a stopping router's time is up."""
        self._claim_client.release_held_answers()
        self._delivery.end_uncharged()
        for job in tuple(self._context.jobs):
            if job.exchange is None:
                self._admission.cancel(job)
                self._refuse(job, stopping_refusal(self._context))

    def _check_view_freshness(self) -> None:
        is_fresh = self._context.freshness.is_fresh(time.monotonic())
        if is_fresh == self._was_view_fresh:
            return
        self._was_view_fresh = is_fresh
        logger.info("event=freshness_changed fresh={}", is_fresh)
        for job in tuple(self._context.jobs):
            if not job.key_hash:
                continue
            if is_fresh:
                self._runner.resume(job, PauseReason.KEY)
            else:
                self._runner.pause(job, PauseReason.KEY)
