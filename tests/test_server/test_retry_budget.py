"""Retry budgets of a router of berylnotchd."""

from types import SimpleNamespace

from berylnotch.admission.retry import RetrySettings
from berylnotch.server.judging import AttemptAccounting
from berylnotch.streams.actions import StartAttempt

SETTINGS = RetrySettings(ratio=0.1, reserve=10.0)
JOB = SimpleNamespace(service=SimpleNamespace(name="desk"))


def count_retries(accounting, n_requests):
    """Return the retries of requests that all fail."""
    retries = 0
    for _ in range(n_requests):
        accounting.can_attempt(JOB, StartAttempt(1, frozenset(), 0, ""))
        retries += accounting.can_attempt(JOB, StartAttempt(2, frozenset(), 0, ""))
    return retries


def test_router_that_starts_again_does_not_renew_its_retry_budget():
    """Each of 20 starts makes ten retries before a request has earned one."""
    context = SimpleNamespace(settings=SimpleNamespace(retry=SETTINGS))
    retries = sum(count_retries(AttemptAccounting(context), 15) for _ in range(20))
    assert retries <= SETTINGS.reserve + SETTINGS.ratio * 20 * 15
