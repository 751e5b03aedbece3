"""How an exchange that doesn't complete is told to its caller."""

from __future__ import annotations

import json

from berylnotch.streams.actions import FailureCause, FinishReason

#: HTTP status of a refusal, by reason.
REFUSAL_STATUSES = {
    FinishReason.NO_TARGET: 503,
    FinishReason.TARGET_FAILED: 502,
    FinishReason.DEADLINE: 504,
    FinishReason.KEY_WITHDRAWN: 401,
    FinishReason.WEIGHTS_CHANGED: 409,
    FinishReason.CALLER_GONE: 499,
}
#: Statuses after which another target may answer better.
RETRY_STATUSES = frozenset((429, 500, 502, 503, 504))
#: Error statuses that don't tell whether the request was run.
UNKNOWN_STATUSES = frozenset((429, 502, 503, 504))


def reason_of(cause: FailureCause, not_run: bool) -> FinishReason:
    """Return why an exchange ends whose last attempt failed."""
    if cause is FailureCause.WEIGHTS:
        return FinishReason.WEIGHTS_CHANGED
    if cause is FailureCause.TIMEOUT:
        return FinishReason.DEADLINE
    return FinishReason.NO_TARGET if not_run else FinishReason.TARGET_FAILED


def reason_without_target(last_cause: FailureCause | None) -> FinishReason:
    """Return why an exchange ends for which there is no further target."""
    if last_cause is FailureCause.WEIGHTS:
        return FinishReason.WEIGHTS_CHANGED
    return FinishReason.NO_TARGET


def error_event(reason: FinishReason, message: str) -> bytes:
    """Return the event that tells a caller why its stream ends early."""
    error = {"message": message, "type": "stream_error", "code": reason.value}
    return b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
