"""Decides which requests a stopping router still sends to targets.

The router exits at a known time, and answers that have not ended by then are lost. A
caller whose request is refused at once, as not run, is served by another router
a few ms later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylnotch.entry.answer_times import LONGEST_FACTOR
from berylnotch.util.clock import boot_time

if TYPE_CHECKING:
    from berylnotch.entry.context import EntryContext
    from berylnotch.entry.model import Choice
    from berylnotch.entry.routed_request import RoutedRequest


def longest_answer_s(
    context: EntryContext,
    routed: RoutedRequest,
    choice: Choice,
    is_repeat: bool = False,
) -> float:
    """Return the longest time in seconds that the answer of a target may take.

    It follows from the recent answers of the route. A target that has been silent for
    longer than that is expected to stay silent for as long again. A repeat may take as
    long as the longest recent answer, since the request is lost without it.
    """
    route = routed.route
    first_event_s = choice.delay_ms / 1000 if routed.is_stream else 0.0
    rest_s = context.answer_times.longest_s(
        route.name,
        routed.caller.output_tokens,
        factor=1.0 if is_repeat else LONGEST_FACTOR,
    )
    if rest_s is None:
        rest_s = context.settings.slow_factor * route.target_latency_s
    longest_s = first_event_s + (rest_s or route.timeout_s)
    silent_s = choice.target.silent_s(boot_time())
    return longest_s if silent_s <= longest_s else longest_s + silent_s
