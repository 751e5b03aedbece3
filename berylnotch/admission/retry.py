"""Decision whether a failed attempt may be retried on another target."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen
from attrs.validators import ge, gt

from berylnotch.streams.actions import RunStatus


class RetryDecision(Enum):
    """Decision to retry, or the reason not to retry."""

    RETRY = "retry"
    NOT_IDEMPOTENT = "not-idempotent"
    ALREADY_RAN = "already-ran"
    TOO_MANY_ATTEMPTS = "too-many-attempts"
    DEADLINE_TOO_NEAR = "deadline-too-near"
    NO_TARGET = "no-target"
    BUDGET_SPENT = "budget-spent"


@frozen
class RetrySettings:
    """Bounds of retries.

    Parameters
    ----------
    max_attempts : int, default=3
        Largest number of attempts of one request, including the first.
    ratio : float, default=0.1
        Retries that each first attempt adds to the budget of its service. A
        higher ratio hides more failures, but adds load in the same proportion
        while targets are overloaded.
    reserve : float, default=10.0
        Largest number of retries that a service can accumulate.
    """

    max_attempts: int = field(default=3, validator=ge(1))
    ratio: float = field(default=0.1, validator=ge(0))
    reserve: float = field(default=10.0, validator=gt(0))


@frozen
class FailedAttempt:
    """A failed attempt.

    Parameters
    ----------
    number : int
        1 for the first attempt.
    is_idempotent : bool
        Whether the request may run more than once.
    run_status : RunStatus
        Whether the target ran the request.
    deadline : float
        Monotonic time after which the caller no longer needs the answer.
    expected_s : float
        Expected time in seconds until another attempt gives a usable answer.
    """

    number: int
    is_idempotent: bool
    run_status: RunStatus
    deadline: float
    expected_s: float = 0.0


class RetryBudget:
    """Limits the retries of one service to a fraction of its first attempts.

    A budget that starts empty bounds the processes that follow each other in one place:
    in any window they make at most one reserve of retries beside those that first
    attempts earn.

    Parameters
    ----------
    settings : RetrySettings
        Ratio and reserve of the budget.
    balance : float, default=0.0
        Initial number of retries.
    """

    def __init__(self, settings: RetrySettings, balance: float = 0.0) -> None:
        self._settings = settings
        self._balance = balance
        self._idle = 0.0

    @property
    def idle(self) -> float:
        """Number of retries that first attempts earned and the reserve did not hold."""
        return self._idle

    @property
    def balance(self) -> float:
        """Number of retries that may be made now."""
        return self._balance

    @property
    def reserve(self) -> float:
        """Largest number of retries that can be accumulated."""
        return self._settings.reserve

    @property
    def has_room(self) -> bool:
        """Whether another retry may be made."""
        return self._balance >= 1

    def resize(self, settings: RetrySettings) -> None:
        """Apply changed settings; this never raises the balance."""
        self._settings = settings
        self._balance = min(self._balance, settings.reserve)

    def earn(self) -> None:
        """Count a first attempt."""
        earned = self._balance + self._settings.ratio
        self._balance = min(self._settings.reserve, earned)
        self._idle += earned - self._balance

    def spend(self) -> bool:
        """Take one retry from the budget; return whether the budget allowed it."""
        if not self.has_room:
            return False
        self._balance -= 1
        return True


def decide_retry(
    settings: RetrySettings, now: float, attempt: FailedAttempt, has_budget: bool
) -> RetryDecision:
    """Decide whether to make another attempt.

    A request that is not idempotent is repeated only if certainly no target ran the
    request. The calling code takes the retry from the budget after a
    `RetryDecision.RETRY`.
    """
    if attempt.run_status is RunStatus.RAN:
        return RetryDecision.ALREADY_RAN
    if attempt.run_status is RunStatus.UNKNOWN and not attempt.is_idempotent:
        return RetryDecision.NOT_IDEMPOTENT
    if attempt.number >= settings.max_attempts:
        return RetryDecision.TOO_MANY_ATTEMPTS
    if now + attempt.expected_s >= attempt.deadline:
        return RetryDecision.DEADLINE_TOO_NEAR
    if not has_budget:
        return RetryDecision.BUDGET_SPENT
    return RetryDecision.RETRY
