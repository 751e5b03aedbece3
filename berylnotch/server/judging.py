"""What the ends of attempts tell: target health, crashes, retry budget."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from loguru import logger

from berylnotch.admission.retry import RetryBudget
from berylnotch.control.commands import ReportCrash
from berylnotch.streams.actions import FailureCause, FinishReason
from berylnotch.util.metrics import Label

if TYPE_CHECKING:
    from berylnotch.server.context import Context
    from berylnotch.server.job import Attempt, Job
    from berylnotch.streams.actions import AttemptFailed, Finish, StartAttempt

#: Causes that speak of a lost target rather than of one that answers badly.
_LOSSES = (FailureCause.LOST, FailureCause.EMPTY)
#: Causes that tell nothing bad of the target.
_NEUTRAL = (FailureCause.REFUSED, FailureCause.WEIGHTS)
#: Seconds for which a crash report is proposed.
_REPORT_S = 10.0


class Judging:
    """Keeps health, crash suspicion and retry budgets from attempts.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._budgets: dict[str, RetryBudget] = {}

    def is_refused(self, job: Job, now: float) -> bool:
        """Return whether targets were lost while they ran the job's request."""
        job.is_poison = self._context.guard.is_refused(
            now, job.fingerprint, self._context.shared_losses
        )
        return job.is_poison

    def may_attempt(self, job: Job, action: StartAttempt) -> bool:
        """Hold retries to a part of the first attempts.

        A stream that has begun is resumed all the same.
        """
        budget = self._budgets.get(job.service.name)
        if budget is None:
            budget = RetryBudget(self._context.settings.retry)
            self._budgets[job.service.name] = budget
        if action.number == 1:
            budget.earn()
            return True
        return bool(action.resume_after) or budget.spend()

    def answered(self, attempt: Attempt) -> None:
        """Take the head of an attempt's answer."""
        incarnation = attempt.head.incarnation
        if incarnation and self._context.health.observe(attempt.target, incarnation):
            self._context.placer.target_lost(attempt.target)

    def failed(self, job: Job, action: AttemptFailed) -> None:
        """Take an attempt that ended without an answer."""
        now = time.monotonic()
        if action.cause in _NEUTRAL:
            self._context.health.abandon(job.attempt.dispatch)
        else:
            self._context.health.finish(now, job.attempt.dispatch, False)
        labels = Label("target", action.target), Label("cause", action.cause.value)
        self._context.metrics.count("berylnotch_attempts_failed_total", *labels)
        logger.info(
            "event=attempt_failed request={} organisation={} target={} cause={}",
            job.request.request_id,
            job.organisation_name,
            action.target,
            action.cause.value,
        )
        if action.cause in _LOSSES:
            self._suspect(job, action, now)
        self._context.guard.on_request_ended(job.fingerprint, action.target)

    def finished(self, job: Job, action: Finish, now: float) -> None:
        """Take the end of a job."""
        attempt = job.attempt
        if attempt is None:
            return
        self._context.guard.on_request_ended(job.fingerprint, attempt.target)
        if action.reason is FinishReason.COMPLETE:
            self._context.guard.on_request_completed(job.fingerprint, now)
            self._context.health.finish(now, attempt.dispatch, True)
        else:
            self._context.health.abandon(attempt.dispatch)
        if action.reason is FinishReason.TARGET_FAILED:
            # The loss that ended it may have been the second.
            self.is_refused(job, now)

    def _suspect(self, job: Job, action: AttemptFailed, now: float) -> None:
        guard, shared = self._context.guard, self._context.shared_losses
        verdict = guard.on_target_lost(now, action.target, (job.fingerprint,), shared)
        head = job.attempt.head
        incarnation = head.incarnation if head is not None else ""
        for fingerprint in verdict.reported:
            command = ReportCrash(fingerprint, action.target, incarnation)
            self._context.proposer.propose(command, _REPORT_S, lambda _result: None)
