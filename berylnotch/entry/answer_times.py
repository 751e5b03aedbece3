"""Predicts how long an answer will take, from the recent answers of its route.

A stopping router must know this before it sends a request, because an answer that has
not ended when the process exits is lost.
"""

from __future__ import annotations

from collections import deque

#: Number of answers of a route that are remembered.
MAX_SAMPLES = 64

#: Multiple of the longest remembered answer up to which the next answer may last. A
#: refused caller loses a few ms, and a caller whose answer is cut all of its time, so
#: that answers which last longer than this have to be very rare.
LONGEST_FACTOR = 2.0

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
        self, route: str, output_tokens: int, factor: float = LONGEST_FACTOR
    ) -> float | None:
        """Return the longest duration to expect, None if the route has no answers yet.

        Parameters
        ----------
        route : str
            Name of the route.
        output_tokens : int
            Tokens that the request may generate, 0 if not stated.
        factor : float, default=LONGEST_FACTOR
            Multiple of the longest recent answer to expect.
        """
        durations = self._durations.get(route)
        if not durations:
            return None
        return factor * max(durations) * max(1, output_tokens) + MARGIN_S
