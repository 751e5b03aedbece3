"""Waiting of requests for tokens and for a free slot at a target."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from berylnotch.admission.queue import FairQueue
from berylnotch.admission.ticket import Fit, RefusalReason, Ticket
from berylnotch.admission.ticket import Refusal as QueueRefusal
from berylnotch.server.errors import Refusal

if TYPE_CHECKING:
    from berylnotch.server.attempts import Attempts
    from berylnotch.server.context import Context
    from berylnotch.server.job import Job
    from berylnotch.server.needs import TokenNeeds

#: Tokens that a request to a plain service counts for in the fair queue.
_PLAIN_COST = 1
#: Weight of requests on open routes without a key.
_OPEN_SHARE = 1.0
_MESSAGES = {
    RefusalReason.QUEUE_FULL: "too many requests wait here",
    RefusalReason.ORGANISATION_FULL: "too many requests of the organisation wait here",
    RefusalReason.WAIT_TOO_LONG: "the expected wait is too long",
    RefusalReason.DEADLINE_PASSED: "the request's time is over",
}


class Queueing:
    """One fair queue for each service.

    Parameters
    ----------
    context : Context
        Shared state.
    attempts : Attempts
        Tells the free slots of targets.
    needs : TokenNeeds
        Told the tokens for which requests wait.
    run : callable
        Called with a job whose turn it is; its tokens are charged.
    refuse : callable
        Called with a job that will not run, and the refusal.
    """

    def __init__(
        self,
        context: Context,
        attempts: Attempts,
        needs: TokenNeeds,
        run: Callable[[Job], None],
        refuse: Callable[[Job, Refusal], None],
    ) -> None:
        self._context = context
        self._attempts = attempts
        self._needs = needs
        self._run = run
        self._refuse = refuse
        self._queues: dict[str, FairQueue] = {}
        self._jobs: dict[str, Job] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._jobs)

    def enter(self, job: Job) -> None:
        """Queue a job; it may run at once."""
        now = time.monotonic()
        organisation = job.organisation
        if organisation is not None and job.cost_tokens > organisation.burst:
            self._refuse(job, _too_large(job))
            return
        retry_ms = self._retry_after_ms(job, now)
        if retry_ms:
            self._refuse(job, _rate_limited(retry_ms / 1000))
            return
        ticket = self._ticket(job, now)
        refusal = self._queue(job.service.name).offer(now, ticket)
        if refusal is not None:
            self._refuse(job, _from_queue(refusal))
            return
        job.ticket = ticket
        self._jobs[ticket.identity] = job
        if organisation is not None and job.cost_tokens:
            self._needs.add(
                organisation.name, ticket.identity, job.cost_tokens, job.cost_tokens
            )
        self.pump(job.service.name)

    def leave(self, job: Job) -> bool:
        """Take out a job whose caller went away; return whether it waited."""
        if job.ticket is None or job.ticket.identity not in self._jobs:
            return False
        self._queue(job.service.name).cancel(job.ticket)
        self._forget(job)
        return True

    def pump_all(self) -> None:
        """Run what can run now, after tokens or slots came."""
        for service, queue in tuple(self._queues.items()):
            queue.wake_all()
            self.pump(service)
        self._refuse_excess()

    def pump(self, service: str) -> None:
        """Run what can run now of one service."""
        queue = self._queue(service)
        now = time.monotonic()
        while len(queue) and self._attempts.free_slots(now, service) > 0:
            ticket = queue.pop(now, lambda ticket: self._pay(now, ticket))
            if ticket is None:
                return
            job = self._jobs[ticket.identity]
            self._forget(job)
            self._run(job)

    def expire(self) -> None:
        """Refuse the requests whose time is over."""
        now = time.monotonic()
        for queue in self._queues.values():
            for ticket in queue.expire(now):
                job = self._jobs[ticket.identity]
                self._forget(job)
                self._refuse(job, self._expired(job))

    def _retry_after_ms(self, job: Job, now: float) -> int:
        """Return when to come back if the organisation is beyond its rate."""
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

    def _ticket(self, job: Job, now: float) -> Ticket:
        organisation = job.organisation
        share = float(organisation.share) if organisation else _OPEN_SHARE
        return Ticket(
            identity=f"{job.request.request_id}/{id(job)}",
            organisation=job.organisation_name,
            share=share,
            cost=float(max(job.cost_tokens, _PLAIN_COST)),
            deadline=job.deadline,
            enqueued=now,
            priority=self._context.quota.priority(job.organisation_name),
        )

    def _pay(self, now: float, ticket: Ticket) -> Fit:
        job = self._jobs[ticket.identity]
        if job.organisation is None or not job.cost_tokens:
            return Fit.FITS
        name = job.organisation.name
        if not self._context.quota.charge(now, name, job.cost_tokens):
            return Fit.NO_TOKENS
        job.charged_tokens += job.cost_tokens
        return Fit.FITS

    def _forget(self, job: Job) -> None:
        del self._jobs[job.ticket.identity]
        self._needs.remove(job.organisation_name, job.ticket.identity)

    def _refuse_excess(self) -> None:
        """Refuse what an organisation beyond its rate cannot get in time."""
        for name in self._needs.organisations():
            retry_ms = self._context.quota.retry_after_ms(name)
            if retry_ms > 0:
                self._refuse_newest(name, retry_ms)

    def _refuse_newest(self, name: str, retry_ms: int) -> None:
        jobs = [job for job in self._jobs.values() if job.organisation_name == name]
        wait_s = self._context.settings.quota.wait_s
        for job in reversed(jobs):
            allowed = job.organisation.rate * wait_s
            if self._needs.waiting(name) <= allowed:
                return
            self.leave(job)
            self._refuse(job, _rate_limited(retry_ms / 1000))

    def _expired(self, job: Job) -> Refusal:
        retry_ms = self._context.quota.retry_after_ms(job.organisation_name)
        if retry_ms > 0:
            return _rate_limited(retry_ms / 1000)
        retry_ms = self._queue(job.service.name).retry_after_ms(
            time.monotonic(), job.organisation_name
        )
        message = "no target took the request in time"
        return Refusal(503, "timeout", message, retry_after_s=retry_ms / 1000)


def _too_large(job: Job) -> Refusal:
    message = (
        f"the prompt has about {job.cost_tokens} tokens, more than the burst of "
        f"{job.organisation.burst}"
    )
    return Refusal(413, "prompt_exceeds_burst", message)


def _rate_limited(retry_s: float) -> Refusal:
    message = "the organisation has used up its rate and burst"
    return Refusal(429, "rate_limited", message, retry_after_s=retry_s)


def _from_queue(refusal: QueueRefusal) -> Refusal:
    code = refusal.reason.value.replace("-", "_")
    message = _MESSAGES[refusal.reason]
    return Refusal(503, code, message, retry_after_s=refusal.retry_after_ms / 1000)
