"""Requests that wait at a router until an engine of their service has room.

Engines refuse requests beyond a number that they do not announce, and each refused
request costs a retry of the fleet's budget. So a router that knows the load at which
engines refuse does not send a request to an engine at this load. It keeps the request
for as long as an answer can still be in time, and sends the most urgent one first.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Collection

from attrs import define, field

from berylnotch.entry.targets import Target
from berylnotch.util.loop import Loop

#: Weight of the newest refusal in the average of the loads at which engines refuse.
REFUSAL_WEIGHT = 0.05

#: Refusals that are counted before the average is used. Single ones have other
#: reasons, for example an engine that loads weights.
MIN_REFUSALS = 5

#: Fraction of the load at which engines refuse, from which an engine gets no request.
#: The rest is for the requests that other routers send before this router knows.
FULL_FRACTION = 0.8

#: Seconds without a refusal after which the load at which engines refuse is forgotten.
#: The engines may have been replaced by larger ones.
REFUSAL_MEMORY_S = 30.0

#: Interval in seconds between two attempts to send the waiting requests.
CHECK_S = 0.02

#: Largest number of waiting requests of one service at a router. It bounds their
#: memory; further requests are sent at once.
MAX_WAITING = 64


@define
class _Service:
    """What a router knows of the room at the engines of one service."""

    refusals: int = 0
    full_load: float = math.inf
    refused_at: float = -math.inf
    #: Requests that may be sent until the next load update, while requests wait.
    sends_left: float = 0.0
    waiting: list[tuple[int, int, _Waiting]] = field(factory=list)


@define(eq=False)
class _Waiting:
    """A request that waits for room."""

    expires_at: float
    send: Callable[[], None]


class CapacityQueue:
    """Waiting requests of one router, by service.

    Parameters
    ----------
    loop : Loop
        Event loop of the router.
    now : callable
        Returns the boot time in seconds.
    router_count : callable
        Returns the number of routers that send requests to the same engines.
    draw : callable, optional
        Returns a random number between 0 and 1.
    on_full : callable, optional
        Called with a service and a load when the router learns that its engines have
        no room from this load on.
    """

    def __init__(
        self,
        loop: Loop,
        now: Callable[[], float],
        router_count: Callable[[], int],
        draw: Callable[[], float] = random.random,
        on_full: Callable[[str, float], None] = lambda service, load: None,
    ) -> None:
        self._loop = loop
        self._now = now
        self._router_count = router_count
        self._draw = draw
        self._on_full = on_full
        self._services: dict[str, _Service] = {}
        self._numbers = itertools.count()
        self._is_scheduled = False

    @property
    def waiting_count(self) -> int:
        """Number of waiting requests."""
        return sum(len(service.waiting) for service in self._services.values())

    def full_loads(self) -> dict[str, float]:
        """Return the loads from which engines get no request, by service, if known."""
        loads = {service: self.full_load(service) for service in self._services}
        return {service: load for service, load in loads.items() if load < math.inf}

    def full_load(self, service: str) -> float:
        """Return the load from which an engine gets no request, infinite if unknown."""
        known = self._services.get(service)
        if known is None or known.refusals < MIN_REFUSALS:
            return math.inf
        if self._now() - known.refused_at > REFUSAL_MEMORY_S:
            return math.inf
        return FULL_FRACTION * known.full_load

    def on_refused(self, target: Target) -> None:
        """Learn the load at which an engine refused a request as full.

        An engine that has free slots refuses for another reason.
        """
        load = target.load + 1
        if load <= max(1, target.listed.slots):
            return
        service = self._services.setdefault(target.listed.service, _Service())
        name, now = target.listed.service, self._now()
        if now - service.refused_at > REFUSAL_MEMORY_S:
            service.refusals, service.full_load = 0, float(load)
        service.refusals += 1
        service.refused_at = now
        service.full_load += REFUSAL_WEIGHT * (load - service.full_load)
        if service.refusals == MIN_REFUSALS:
            self._on_full(name, self.full_load(name))

    def on_loads(self, targets_of: Callable[[str], Collection[Target]]) -> None:
        """Let requests go on after an update of the engines' loads.

        The room is divided among the routers, which all get the update.
        """
        for name, service in self._services.items():
            if not service.waiting:
                continue
            full_load = self.full_load(name)
            room = sum(max(0.0, full_load - t.load) for t in targets_of(name))
            share = room / max(1, self._router_count())
            service.sends_left = math.floor(share + self._draw())

    def must_wait(self, target: Target) -> bool:
        """Return whether a request for a target has to wait for room."""
        service = self._services.get(target.listed.service)
        if service is None or len(service.waiting) >= MAX_WAITING:
            return False
        return target.load >= self.full_load(target.listed.service)

    def wait(
        self, service: str, priority: int, expires_at: float, send: Callable[[], None]
    ) -> None:
        """Call a function when there may be room, or at a boot time.

        Parameters
        ----------
        service : str
            Service of the request.
        priority : int
            Priority of the request; 0 is the most urgent.
        expires_at : float
            Boot time in seconds until which the request waits.
        send : callable
            Tries to send the request. It may wait again.
        """
        entry = (priority, next(self._numbers), _Waiting(expires_at, send))
        heapq.heappush(self._services[service].waiting, entry)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_later(CHECK_S, self._serve)

    def _serve(self) -> None:
        self._is_scheduled = False
        now = self._now()
        for service in self._services.values():
            entries, service.waiting = service.waiting, []
            kept = []
            for entry in sorted(entries):
                waiting = entry[2]
                if now >= waiting.expires_at:
                    waiting.send()
                elif service.sends_left >= 1:
                    service.sends_left -= 1
                    waiting.send()
                else:
                    kept.append(entry)
            for entry in kept:
                heapq.heappush(service.waiting, entry)
        if self.waiting_count:
            self._schedule()
