"""Queues of requests that wait for tokens and for a free slot at a target."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.admission.queue import FairQueue
from berylnotch.admission.ticket import Fit, RefusalReason, Ticket
from berylnotch.admission.ticket import Refusal as QueueRefusal
from berylnotch.server.errors import Refusal
from berylnotch.server.stopping import has_time_for, stopping_refusal

if TYPE_CHECKING:
    from berylnotch.server.attempts import TargetSelector
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job
    from berylnotch.server.needs import TokenDemand

#: Minimum cost of a request in the fair queue, in tokens. It applies to requests that
#: are not charged for tokens.
_MIN_COST_TOKENS = 1
#: Fair-queue weight of requests on open routes, where no organisation is known.
_OPEN_ROUTE_SHARE = 1.0
_REFUSAL_MESSAGES = {
    RefusalReason.QUEUE_FULL: "too many requests wait here",
    RefusalReason.ORGANISATION_FULL: "too many requests of the organisation wait here",
    RefusalReason.WAIT_TOO_LONG: "the expected wait is too long",
    RefusalReason.DEADLINE_PASSED: "the request's time is over",
}


class AdmissionQueues:
    """One fair queue for each service.

    Parameters
    ----------
    context : Context
        Shared state.
    selector : TargetSelector
        Gives the number of free slots at targets.
    demand : TokenDemand
        Receives the number of tokens for which requests wait.
    run : callable
        Called with a job to run; its tokens have been charged.
    refuse : callable
        Called with a job that will not run, and the refusal.
    """

    def __init__(
        self,
        context: Context,
        selector: TargetSelector,
        demand: TokenDemand,
        run: Callable[[Job], None],
        refuse: Callable[[Job, Refusal], None],
    ) -> None:
        self._context = context
        self._selector = selector
        self._demand = demand
        self._run = run
        self._refuse = refuse
        self._queues: dict[str, FairQueue] = {}
        self._jobs: dict[str, Job] = {}

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return len(self._jobs)

    def enqueue(self, job: Job) -> None:
        """Queue or refuse a job; a queued job may run at once."""
        now = time.monotonic()
        organisation = job.organisation
        if organisation is not None and job.cost_tokens > organisation.burst:
            self._refuse(job, _burst_refusal(job))
            return
        retry_ms = self._retry_after_ms(job, now)
        if retry_ms:
            self._refuse(job, _rate_refusal(retry_ms / 1000))
            return
        ticket = self._make_ticket(job, now)
        refusal = self._queue(job.service.name).offer(now, ticket)
        if refusal is not None:
            self._refuse(job, _queue_refusal(refusal))
            return
        job.ticket = ticket
        self._jobs[ticket.identity] = job
        if organisation is not None and job.cost_tokens:
            self._demand.update(
                organisation.name, ticket.identity, job.cost_tokens, job.cost_tokens
            )
        self.dispatch(job.service.name)

    def cancel(self, job: Job) -> bool:
        """Remove a job from its queue; return whether it was waiting."""
        if job.ticket is None or job.ticket.identity not in self._jobs:
            return False
        self._queue(job.service.name).cancel(job.ticket)
        self._remove(job)
        return True

    def dispatch_all(self) -> None:
        """Run the requests that can run now, after tokens or slots became free."""
        for service, queue in tuple(self._queues.items()):
            queue.wake_all()
            self.dispatch(service)
        self._refuse_excess()

    def dispatch(self, service: str) -> None:
        """Run the requests of one service that can run now."""
        queue = self._queue(service)
        now = time.monotonic()
        while len(queue) and self._selector.free_slots(now, service) > 0:
            ticket = queue.pop(now, lambda ticket: self._charge(now, ticket))
            if ticket is None:
                return
            job = self._jobs[ticket.identity]
            self._remove(job)
            self._run(job)

    def refuse_expired(self) -> None:
        """Refuse the waiting requests whose deadline has passed."""
        now = time.monotonic()
        for queue in self._queues.values():
            for ticket in queue.expire(now):
                job = self._jobs[ticket.identity]
                self._remove(job)
                self._refuse(job, self._expiry_refusal(job))

    def refuse_late(self) -> None:
        """Refuse the waiting requests that a stopping router has no time for."""
        for job in tuple(self._jobs.values()):
            if not has_time_for(self._context, job):
                self.cancel(job)
                self._refuse(job, stopping_refusal(self._context))

    def _retry_after_ms(self, job: Job, now: float) -> int:
        """Return the ms until a retry; 0 if the organisation is within its rate."""
        name = job.organisation_name
        quota = self._context.quota
        if not job.cost_tokens or quota.balance(now, name) >= job.cost_tokens:
            return 0
        return quota.retry_after_ms(name)

    def _queue(self, service: str) -> FairQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = FairQueue(self._context.settings.admission)
            self._queues[service] = queue
        return queue

    def _make_ticket(self, job: Job, now: float) -> Ticket:
        organisation = job.organisation
        share = float(organisation.share) if organisation else _OPEN_ROUTE_SHARE
        return Ticket(
            identity=f"{job.request.request_id}/{id(job)}",
            organisation=job.organisation_name,
            share=share,
            cost=float(max(job.cost_tokens, _MIN_COST_TOKENS)),
            deadline=self._context.end_by(job),
            enqueued=now,
            priority=self._context.quota.priority(job.organisation_name),
        )

    def _charge(self, now: float, ticket: Ticket) -> Fit:
        job = self._jobs[ticket.identity]
        if job.organisation is None or not job.cost_tokens:
            return Fit.FITS
        name = job.organisation.name
        if not self._context.quota.charge(now, name, job.cost_tokens):
            return Fit.NO_TOKENS
        job.charged_tokens += job.cost_tokens
        return Fit.FITS

    def _remove(self, job: Job) -> None:
        del self._jobs[job.ticket.identity]
        self._demand.remove(job.organisation_name, job.ticket.identity)

    def _refuse_excess(self) -> None:
        """Refuse requests that their organisation's rate cannot serve in time."""
        for name in self._demand.organisations():
            retry_ms = self._context.quota.retry_after_ms(name)
            if retry_ms > 0:
                self._refuse_newest(name, retry_ms)

    def _refuse_newest(self, name: str, retry_ms: int) -> None:
        jobs = [job for job in self._jobs.values() if job.organisation_name == name]
        wait_s = self._context.settings.quota.wait_s
        for job in reversed(jobs):
            allowed_tokens = job.organisation.rate * wait_s
            if self._demand.waiting_tokens(name) <= allowed_tokens:
                return
            self.cancel(job)
            self._refuse(job, _rate_refusal(retry_ms / 1000))

    def _expiry_refusal(self, job: Job) -> Refusal:
        retry_ms = self._context.quota.retry_after_ms(job.organisation_name)
        if retry_ms > 0:
            return _rate_refusal(retry_ms / 1000)
        retry_ms = self._queue(job.service.name).retry_after_ms(
            time.monotonic(), job.organisation_name
        )
        message = "no target took the request in time"
        return Refusal(503, "timeout", message, retry_after_s=retry_ms / 1000)


def _burst_refusal(job: Job) -> Refusal:
    message = (
        f"the prompt has about {job.cost_tokens} tokens, more than the burst of "
        f"{job.organisation.burst}"
    )
    return Refusal(413, "prompt_exceeds_burst", message)


def _rate_refusal(retry_s: float) -> Refusal:
    message = "the organisation has used up its rate and burst"
    return Refusal(429, "rate_limited", message, retry_after_s=retry_s)


def _queue_refusal(refusal: QueueRefusal) -> Refusal:
    code = refusal.reason.value.replace("-", "_")
    message = _REFUSAL_MESSAGES[refusal.reason]
    return Refusal(503, code, message, retry_after_s=refusal.retry_after_ms / 1000)
