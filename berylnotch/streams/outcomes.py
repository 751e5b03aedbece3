"""Statuses, reasons and error events for exchanges that do not complete."""

from __future__ import annotations

import json

from berylnotch.streams.actions import FailureCause, FinishReason

#: HTTP status of a refusal, by finish reason.
REFUSAL_STATUSES = {
    FinishReason.NO_TARGET: 503,
    FinishReason.TARGET_FAILED: 502,
    FinishReason.DEADLINE: 504,
    FinishReason.KEY_WITHDRAWN: 401,
    FinishReason.KEYS_UNVERIFIED: 504,
    FinishReason.WEIGHTS_CHANGED: 409,
    FinishReason.CALLER_GONE: 499,
    FinishReason.STOPPING: 504,
}
#: Error statuses after which a retry at another target may succeed.
RETRY_STATUSES = frozenset((429, 500, 502, 503, 504))
#: Error statuses that leave open whether the target ran the request.
RUN_UNKNOWN_STATUSES = frozenset((429, 502, 503, 504))


def finish_reason_after_failure(cause: FailureCause, not_run: bool) -> FinishReason:
    """Return the finish reason after a failed attempt that is not retried."""
    if cause is FailureCause.WEIGHTS:
        return FinishReason.WEIGHTS_CHANGED
    if cause is FailureCause.TIMEOUT:
        return FinishReason.DEADLINE
    return FinishReason.NO_TARGET if not_run else FinishReason.TARGET_FAILED


def finish_reason_without_target(last_cause: FailureCause | None) -> FinishReason:
    """Return the finish reason of an exchange for which no target is available."""
    if last_cause is FailureCause.WEIGHTS:
        return FinishReason.WEIGHTS_CHANGED
    return FinishReason.NO_TARGET


def encode_error_event(reason: FinishReason, message: str) -> bytes:
    """Return the event that reports to the caller why its stream ends early."""
    error = {"message": message, "type": "stream_error", "code": reason.value}
    return b"data: " + json.dumps({"error": error}).encode() + b"\n\n"
