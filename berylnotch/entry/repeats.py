"""Further attempts of one request: what allows them, and their budget."""

from __future__ import annotations

from collections.abc import Callable

from berylnotch.admission.retry import RetryDecision
from berylnotch.entry.context import EntryContext
from berylnotch.entry.records import Progress, note_not_repeated, note_retry
from berylnotch.entry.results import AttemptResult
from berylnotch.entry.retry_budgets import RETRY_WAIT_S
from berylnotch.entry.routed_request import RoutedRequest
from berylnotch.util.clock import boot_time


class Repeats:
    """Further attempts of one request.

    Parameters
    ----------
    context : EntryContext
        Shared state of the router.
    routed : RoutedRequest
        The request.
    service_name : str
        Service whose retry budget is charged.
    progress : Progress
        Attempts of the request so far.
    """

    def __init__(
        self,
        context: EntryContext,
        routed: RoutedRequest,
        service_name: str,
        progress: Progress,
    ) -> None:
        self._context = context
        self._routed = routed
        self._service_name = service_name
        self._progress = progress

    @property
    def has_budget(self) -> bool:
        """Whether the budget allows another attempt now."""
        return self._context.retries.has_room(boot_time(), self._service_name)

    @property
    def obstacle(self) -> RetryDecision | None:
        """Why the route allows no further run, None if it allows one."""
        route = self._routed.route
        if not route.is_retryable:
            return RetryDecision.NOT_IDEMPOTENT
        if self._progress.runs >= route.max_attempts:
            return RetryDecision.TOO_MANY_ATTEMPTS
        return None

    def spend(self) -> bool:
        """Charge another attempt to the budget; return whether it has room."""
        return self._context.retries.spend(boot_time(), self._service_name)

    def take(self, remaining_s: float, on_decision: Callable[[bool], None]) -> None:
        """Charge another attempt, and tell whether it may be made.

        Parameters
        ----------
        remaining_s : float
            Time until the request's deadline, in seconds. If it is too short to wait
            for a grant of the leader, the decision is made at once.
        on_decision : callable
            Called with whether the attempt was charged, perhaps before `take` returns.
        """
        if remaining_s > RETRY_WAIT_S:
            self._context.retries.take(boot_time(), self._service_name, on_decision)
        else:
            on_decision(self.spend())

    def note_denied(self, decision: RetryDecision) -> None:
        """Log and count why the request is not sent again."""
        note_not_repeated(
            self._context, self._routed, self._progress, self._service_name, decision
        )

    def note_taken(
        self, result: AttemptResult, reason: str, last_event: int | None
    ) -> None:
        """Log and count that the request is sent again after an attempt.

        ``last_event`` is the number of the last event that the caller received.
        """
        note_retry(
            self._context, self._routed, self._progress, result, reason, last_event
        )
