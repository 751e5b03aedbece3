"""Predicts how long an answer will take, from the recent answers of its route.

A stopping router must know this before it sends a request: an answer that has not ended
when the process exits is lost, and if the request must not be repeated, its caller
cannot send it again.
"""

from __future__ import annotations

from collections import deque

#: Number of answers of a route that are remembered.
MAX_SAMPLES = 64

#: Multiples of the longest remembered answer up to which the next answer may last. An
#: answer that may be repeated is lost only for now; any other is lost for good.
REPEATABLE_FACTOR = 1.25
UNREPEATABLE_FACTOR = 2.0

#: Seconds added to each expected time, for the delays of the network and the loop.
MARGIN_S = 0.1


class AnswerTimes:
    """Durations of recent answers, by route.

    The duration of a stream is counted from its first event and divided by the number
    of tokens that the request may generate. The duration of any other answer is counted
    from the time at which the request was sent.
    """

    def __init__(self) -> None:
        self._durations: dict[str, deque[float]] = {}

    def record(self, route: str, duration_s: float, output_tokens: int) -> None:
        """Record a complete answer.

        Parameters
        ----------
        route : str
            Name of the route.
        duration_s : float
            Duration in seconds, counted as described for the class.
        output_tokens : int
            Tokens that the request may generate, 0 if not stated.
        """
        durations = self._durations.setdefault(route, deque(maxlen=MAX_SAMPLES))
        durations.append(duration_s / max(1, output_tokens))

    def longest_s(
        self, route: str, output_tokens: int, is_repeatable: bool
    ) -> float | None:
        """Return the longest duration to expect, None if the route has no answers yet.

        Parameters
        ----------
        route : str
            Name of the route.
        output_tokens : int
            Tokens that the request may generate, 0 if not stated.
        is_repeatable : bool
            Whether the request may be sent again if its answer is lost.
        """
        durations = self._durations.get(route)
        if not durations:
            return None
        factor = REPEATABLE_FACTOR if is_repeatable else UNREPEATABLE_FACTOR
        return factor * max(durations) * max(1, output_tokens) + MARGIN_S
