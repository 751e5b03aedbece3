"""How long a repeatable request waits for the answer of one target."""

from __future__ import annotations

from attrs import frozen

from berylnotch.entry.settings import EntrySettings
from berylnotch.routing.model import Route

#: Multiple of the longest pause that is in time within which a stream is slow, not
#: stalled.
STALL_FACTOR = 3.0

#: Multiple of the delay expected at the choice, and seconds beside it, within which a
#: target is busy and not stuck.
EXPECTED_FACTOR = 2.0
EXPECTED_MARGIN_S = 1.0


@frozen
class Waiting:
    """A request that waits for its answer, or for its stream to go on.

    Parameters
    ----------
    sent_at : float
        Boot time at which it was sent.
    expected_s : float
        Time until the first event, as expected at the choice.
    is_stream : bool
        Whether the answer is to be a stream.
    has_head : bool
        Whether the head of the answer is there.
    stream_heard_at : float
        Boot time of the stream's last event, 0 if it has not begun.
    target_heard_at : float
        Boot time at which the target last answered anything.
    """

    sent_at: float
    expected_s: float
    is_stream: bool
    has_head: bool
    stream_heard_at: float
    target_heard_at: float


def overdue_at(settings: EntrySettings, route: Route, waiting: Waiting) -> float:
    """Return the boot time from which the request should go to another target."""
    if waiting.stream_heard_at:
        stall_s = max(settings.stall_s, STALL_FACTOR * route.max_gap_s)
        return waiting.stream_heard_at + stall_s
    overdue = waiting.sent_at + settings.slow_factor * route.target_latency_s
    if waiting.is_stream and not waiting.has_head:
        # An engine that answers others, or has much to read, is busy, not lost.
        expected_s = EXPECTED_FACTOR * waiting.expected_s + EXPECTED_MARGIN_S
        heard_until = waiting.target_heard_at + settings.stall_s
        overdue = max(overdue, waiting.sent_at + expected_s, heard_until)
    return overdue
