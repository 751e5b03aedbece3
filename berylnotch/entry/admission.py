"""Whether a request is worth sending, or should come back later.

It answers the load of a few engines that must carry the traffic of many, as while
others load weights, are lost or start with empty memory. Prompts then queue until
callers give up, and each one that was read in vain delays the next. A request whose
first event can't come in time is refused at once, as not run.
"""

from __future__ import annotations

from attrs import frozen

from berylnotch.entry.model import Choice

#: Multiple of the target latency up to which a stream is still of use: callers
#: abandon it at four times, and the estimate may be short.
PATIENCE_FACTOR = 2.6

#: Part of an engine's slots that must be taken before a request is refused.
BUSY_PART = 0.5

#: Unread prompt tokens that count as a queue.
QUEUE_TOKENS = 8 * 1024

#: Bounds of the time after which a refused caller shall come back, in seconds.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 3.0


@frozen
class Verdict:
    """Whether to send, and if not, when the caller shall come back."""

    is_admitted: bool
    retry_after_s: float = 0.0


def judge(choice: Choice, target_latency_s: float, left_s: float) -> Verdict:
    """Judge the best choice for a stream.

    Parameters
    ----------
    choice : Choice
        Best target, and the delay expected there.
    target_latency_s : float
        Time in which the first event should come.
    left_s : float
        Time until the request's deadline.
    """
    target, delay_s = choice.target, choice.delay_ms / 1000
    patience_s = min(left_s, PATIENCE_FACTOR * target_latency_s)
    if not target_latency_s or delay_s <= patience_s:
        return Verdict(True)
    is_busy = target.load >= BUSY_PART * max(1, target.listed.slots)
    if not is_busy and target.total_unread < QUEUE_TOKENS:
        return Verdict(True)
    wait_s = delay_s - target_latency_s
    return Verdict(False, min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)))
