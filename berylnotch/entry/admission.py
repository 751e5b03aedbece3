"""Admission control for streams, based on the delay expected at the best target.

It guards against overload while few engines serve the traffic of the whole fleet, for
example while the other engines load weights, are lost, or restart with an empty prefix
cache. Without admission control, prompts queue until callers time out, and every prompt
that is processed for a disconnected caller delays the next prompt. A request whose
first event cannot arrive in time is refused at once, and the caller learns that the
request has not run.
"""

from __future__ import annotations

from attrs import frozen

from berylnotch.entry.model import Choice

#: Callers abandon a stream without an event after the longest of this time in seconds,
#: this multiple of the target latency, and this multiple of the longest pause that the
#: route allows between events.
ABANDON_S, ABANDON_LATENCY_FACTOR, ABANDON_GAP_FACTOR = 2.0, 4.0, 8.0

#: Largest admitted delay until the first event, as a part of the time after which
#: callers abandon the stream. The rest covers delay estimates that are too low.
MAX_DELAY_PART = 0.65

#: Fraction of an engine's slots from which the engine counts as busy. No request
#: is refused while its best engine is not busy and has no prompt queue.
BUSY_SLOT_FRACTION = 0.5

#: Unprocessed prompt tokens from which an engine counts as having a prompt queue.
MIN_QUEUE_TOKENS = 8 * 1024

#: Bounds, in seconds, of the retry delay that is sent to a refused caller.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 3.0


#: Fraction of a route's target latency for which a request may wait for tokens. The
#: rest is enough for the usual time to the first event.
TOKEN_WAIT_FRACTION = 0.6

#: Largest fraction of the time left for which a request may wait for tokens. Callers
#: come back within a third of the time that they have left after a refusal.
MAX_TOKEN_WAIT_FRACTION = 0.25


@frozen
class AdmissionDecision:
    """Decision to send or refuse a request, with the retry delay after a refusal."""

    is_admitted: bool
    retry_after_s: float = 0.0


def abandon_s(target_latency_s: float, max_gap_s: float) -> float:
    """Return the seconds after which callers abandon a stream without an event.

    Parameters
    ----------
    target_latency_s : float
        Time within which the first event should arrive, in seconds.
    max_gap_s : float
        Longest time between two events for which the second one is on time, in
        seconds.
    """
    return max(
        ABANDON_S,
        ABANDON_LATENCY_FACTOR * target_latency_s,
        ABANDON_GAP_FACTOR * max_gap_s,
    )


def decide_admission(
    choice: Choice, target_latency_s: float, remaining_s: float, max_gap_s: float = 0.0
) -> AdmissionDecision:
    """Decide whether a stream is sent to its best target or refused.

    A late first event is worth more to a caller than a refusal, as long as the caller
    still waits for it.

    Parameters
    ----------
    choice : Choice
        Best target and the expected delay until its first event.
    target_latency_s : float
        Time within which the first event should arrive, in seconds. With 0 every
        request is admitted.
    remaining_s : float
        Time until the request's deadline, in seconds.
    max_gap_s : float, default=0.0
        Longest time between two events for which the second one is on time, in
        seconds.

    Returns
    -------
    AdmissionDecision
        Decision with the retry delay in seconds if the request is refused.
    """
    target, delay_s = choice.target, choice.delay_ms / 1000
    max_delay_s = MAX_DELAY_PART * abandon_s(target_latency_s, max_gap_s)
    max_delay_s = min(remaining_s, max_delay_s)
    if not target_latency_s or delay_s <= max_delay_s:
        return AdmissionDecision(True)
    is_busy = target.load >= BUSY_SLOT_FRACTION * max(1, target.listed.slots)
    if not is_busy and target.total_unread < MIN_QUEUE_TOKENS:
        return AdmissionDecision(True)
    wait_s = delay_s - target_latency_s
    return AdmissionDecision(False, min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s)))


def token_wait_s(target_latency_s: float, remaining_s: float) -> float:
    """Return the seconds for which a request may wait for tokens of its limit.

    It answers the load after the loss of the quota owner, when no router gets tokens
    until the next leader grants some. An answer after such a wait is still in time,
    while a refused caller comes back later than that.

    Parameters
    ----------
    target_latency_s : float
        Time within which the answer should begin, in seconds.
    remaining_s : float
        Time until the request's deadline, in seconds.
    """
    wait_s = TOKEN_WAIT_FRACTION * target_latency_s
    return min(wait_s, MAX_TOKEN_WAIT_FRACTION * remaining_s)
