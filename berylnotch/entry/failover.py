"""Computes when a repeatable request goes to another target for lack of an answer."""

from __future__ import annotations

import math

from attrs import frozen

from berylnotch.entry.settings import EntrySettings
from berylnotch.routing.model import Route

#: Multiple of the route's longest allowed gap between events up to which a stream
#: counts as slow and not yet as stalled.
STALL_FACTOR = 3.0

#: Multiple of the delay that was expected when the target was chosen, and a margin in
#: seconds. The target counts as busy, not as stuck, until their sum has passed since
#: the request was sent.
EXPECTED_DELAY_FACTOR = 2.0
EXPECTED_DELAY_MARGIN_S = 1.0


@frozen
class PendingAnswer:
    """A request that waits for its answer or for the next event of its stream.

    Parameters
    ----------
    sent_at : float
        Boot time at which the request was sent.
    expected_s : float
        Time until the first event, as expected when the target was chosen.
    is_stream : bool
        Whether the request asks for a stream.
    has_head : bool
        Whether the head of the answer has arrived.
    last_event_at : float
        Boot time of the stream's last event, 0 if none has arrived.
    target_heard_at : float
        Boot time at which the target last sent part of an answer to any request.
    """

    sent_at: float
    expected_s: float
    is_stream: bool
    has_head: bool
    last_event_at: float
    target_heard_at: float


#: Fraction of the time that a stopping router has after the last sign of the target,
#: for which it waits for the next one. The rest is for the answer of another target.
STOPPING_WAIT_FRACTION = 0.5


def failover_at(
    settings: EntrySettings,
    route: Route,
    pending: PendingAnswer,
    answer_by: float = math.inf,
) -> float:
    """Return the boot time from which the request should go to another target.

    Parameters
    ----------
    settings : EntrySettings
        Time limits for the lack of an answer.
    route : Route
        Route of the request.
    pending : PendingAnswer
        What has arrived of the answer.
    answer_by : float, default=inf
        Boot time by which a stopping router must have the answer.
    """
    heard_at = pending.last_event_at or pending.sent_at
    wait_s = STOPPING_WAIT_FRACTION * max(0.0, answer_by - heard_at)
    if pending.last_event_at:
        wait_s = max(wait_s, route.max_gap_s)
    return min(_overdue_at(settings, route, pending), heard_at + wait_s)


def _overdue_at(settings: EntrySettings, route: Route, pending: PendingAnswer) -> float:
    if pending.last_event_at:
        stall_s = max(settings.stall_s, STALL_FACTOR * route.max_gap_s)
        return pending.last_event_at + stall_s
    due_at = pending.sent_at + settings.slow_factor * route.target_latency_s
    if pending.is_stream and not pending.has_head:
        # An engine that answers other requests or has a long prompt queue is busy, not
        # lost.
        expected_s = (
            EXPECTED_DELAY_FACTOR * pending.expected_s + EXPECTED_DELAY_MARGIN_S
        )
        presumed_live_until = pending.target_heard_at + settings.stall_s
        due_at = max(due_at, pending.sent_at + expected_s, presumed_live_until)
    return due_at
