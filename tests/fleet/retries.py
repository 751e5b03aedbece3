"""The users' bound on the arrivals of requests that were sent again, and its load."""

from __future__ import annotations

import random
import time
from bisect import bisect_left
from collections.abc import Iterable, Sequence

from attrs import define, field, frozen

from tests.fleet.callers import CallerThreads
from tests.fleet.platform import StandInTarget
from tests.fleet.processes import FleetOfProcesses

#: In each window of this length, in seconds, a service gets at most this fraction of
#: the requests for it, and this many arrivals more, beyond the first of each request.
WINDOW_S, RATIO, SLACK = 10.0, 0.2, 50

N_CALLERS = 12


@frozen
class Window:
    """Arrivals beyond the first in one window, and the number that is allowed."""

    begin: float
    repeats: int
    allowed: float


def repeat_times(targets: Iterable[StandInTarget]) -> list[float]:
    """Return the times of all arrivals beyond the first of their request, sorted."""
    arrivals = sorted(
        pair
        for target in targets
        for pair in zip(target.arrivals, target.arrived_ids, strict=True)
    )
    seen, repeats = set(), []
    for arrived_at, request_id in arrivals:
        if request_id in seen:
            repeats.append(arrived_at)
        seen.add(request_id)
    return repeats


def fullest_window(sent: Sequence[float], repeats: Sequence[float]) -> Window:
    """Return the window in which the repeats exceed the allowed ones the most.

    The requests of a window are those sent in it, in the one before it, or in the one
    half a window earlier, whichever are most.
    """

    def count(times: Sequence[float], begin: float) -> int:
        return bisect_left(times, begin + WINDOW_S) - bisect_left(times, begin)

    windows = [
        Window(
            begin,
            count(repeats, begin),
            SLACK
            + RATIO
            * max(count(sent, begin - WINDOW_S * shift) for shift in (0.0, 0.5, 1.0)),
        )
        for begin in repeats
    ]
    return max(
        windows,
        key=lambda window: window.repeats - window.allowed,
        default=Window(0.0, 0, SLACK),
    )


@define(eq=False)
class RetryLoad:
    """Callers that send repeatable requests to random routers until they are stopped.

    Attributes
    ----------
    sent : list of float
        Times of the monotonic clock at which requests were sent, sorted when closed.
    statuses : list of int
        Status of each answer, 0 if the connection failed.
    """

    fleet: FleetOfProcesses
    requests_per_s: float
    sent: list[float] = field(factory=list)
    statuses: list[int] = field(factory=list)
    _callers: CallerThreads = field(init=False)

    def __attrs_post_init__(self) -> None:
        pause_s = N_CALLERS / self.requests_per_s
        self._callers = CallerThreads(
            N_CALLERS, self._send, lambda rng: pause_s * rng.uniform(0.8, 1.2)
        )

    def __enter__(self) -> RetryLoad:
        self._callers.start()
        return self

    def __exit__(self, *error: object) -> None:
        self._callers.close()
        self.sent.sort()

    def _send(self, rng: random.Random, caller: int, number: int) -> None:
        routers = rng.sample(self.fleet.routers, k=len(self.fleet.routers))
        self.sent.append(time.monotonic())
        for attempt, router in enumerate(routers):
            request_id = f"read-{caller}-{number}-{attempt}"
            answer = self.fleet.ask(router, "/read/x", request_id, "GET")
            if answer is not None:
                self.statuses.append(answer.status)
                return
        self.statuses.append(0)
