"""Updates of target health, crash suspicions and retry budgets after attempts."""

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

#: Causes that indicate the loss of the target rather than a bad answer.
_LOSS_CAUSES = (FailureCause.LOST, FailureCause.EMPTY)
#: Causes that do not count as failures of the target.
_NEUTRAL_CAUSES = (
    FailureCause.REFUSED,
    FailureCause.WEIGHTS,
    FailureCause.NO_MEMORY,
)
#: Seconds for which the proposal of a crash report is retried.
_REPORT_TIMEOUT_S = 10.0


class AttemptAccounting:
    """Updates target health, crash suspicions and retry budgets after attempts.

    Parameters
    ----------
    context : Context
        Shared state.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._retry_budgets: dict[str, RetryBudget] = {}

    def is_refused(self, job: Job, now: float) -> bool:
        """Return whether losses forbid another attempt, and set ``is_poison``."""
        job.is_poison = self._context.crash_guard.is_refused(
            now, job.fingerprint, self._context.reported_losses
        )
        return job.is_poison

    def can_attempt(self, job: Job, action: StartAttempt) -> bool:
        """Return whether the retry budget allows the attempt.

        The budget limits retries to a fraction of the first attempts. The
        resumption of a stream that has begun is always allowed.
        """
        budget = self._retry_budgets.get(job.service.name)
        if budget is None:
            settings = self._context.settings.retry
            budget = RetryBudget(settings, settings.reserve)
            self._retry_budgets[job.service.name] = budget
        if action.number == 1:
            budget.earn()
            return True
        return bool(action.resume_after) or budget.spend()

    def on_head(self, attempt: Attempt) -> None:
        """Record the engine's incarnation from the head of an answer."""
        incarnation = attempt.head.incarnation
        if incarnation and self._context.health.observe(attempt.target, incarnation):
            self._context.placer.on_target_lost(attempt.target)

    def on_attempt_failed(self, job: Job, action: AttemptFailed) -> None:
        """Record a failed attempt."""
        now = time.monotonic()
        if action.cause in _NEUTRAL_CAUSES:
            self._context.health.record_abandoned(job.attempt.dispatch)
        else:
            self._context.health.record_end(now, job.attempt.dispatch, False)
        labels = Label("target", action.target), Label("cause", action.cause.value)
        self._context.metrics.count("berylnotch_attempts_failed_total", *labels)
        logger.info(
            "event=attempt_failed request={} organisation={} target={} cause={}",
            job.request.request_id,
            job.organisation_name,
            action.target,
            action.cause.value,
        )
        if action.cause in _LOSS_CAUSES:
            self._record_loss(job, action, now)
        self._context.crash_guard.on_request_ended(job.fingerprint, action.target)

    def on_exchange_finished(self, job: Job, action: Finish, now: float) -> None:
        """Record the end of a job's exchange."""
        attempt = job.attempt
        if attempt is None:
            return
        self._context.crash_guard.on_request_ended(job.fingerprint, attempt.target)
        if action.reason is FinishReason.COMPLETE:
            self._context.crash_guard.on_request_completed(job.fingerprint, now)
            self._context.health.record_end(now, attempt.dispatch, True)
        else:
            self._context.health.record_abandoned(attempt.dispatch)
        if action.reason is FinishReason.TARGET_FAILED:
            # The loss that ended the exchange may have been the second loss of a
            # target; after two losses the request is refused.
            self.is_refused(job, now)

    def _record_loss(self, job: Job, action: AttemptFailed, now: float) -> None:
        guard, reported_losses = (
            self._context.crash_guard,
            self._context.reported_losses,
        )
        verdict = guard.on_target_lost(
            now, action.target, (job.fingerprint,), reported_losses
        )
        head = job.attempt.head
        incarnation = head.incarnation if head is not None else ""
        if job.fingerprint in verdict.reported:
            job.lost_targets.add(action.target)
        for fingerprint in verdict.reported:
            command = ReportCrash(fingerprint, action.target, incarnation)
            self._context.proposer.propose(
                command, _REPORT_TIMEOUT_S, lambda _result: None
            )
