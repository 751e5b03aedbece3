"""Provides the services and versions that the judge of rollouts is measured with."""

from __future__ import annotations

import math

from attrs import evolve, frozen


@frozen
class Service:
    """Numbers of a service.

    Parameters
    ----------
    rates : dict of str to float
        Responses per second of the candidate while observing, by route.
    reference_factor : float
        Responses of the other versions for each of the candidate.
    engines : int
        Number of the candidate's engines in use.
    old_engines : int
        Number of engines of the other versions.
    is_stream : bool
        Whether responses have a pace.
    """

    rates: dict[str, float]
    reference_factor: float
    engines: int
    old_engines: int
    is_stream: bool


LANGUAGE = Service({"long": 14 / 8, "short": 160 / 8}, 17.0, 3, 45, True)
PLAIN = Service({"r1": 24 / 8, "r2": 16 / 8}, 19.0, 2, 4, False)
#: The plain service with its requests at three of the candidate's engines.
PLAIN_WIDE = evolve(PLAIN, engines=3)
SERVICES = {"language": LANGUAGE, "plain": PLAIN, "plain, 3 engines": PLAIN_WIDE}


@frozen
class Fault:
    """What is wrong with some responses.

    Parameters
    ----------
    failures : float
        Share of responses that fail.
    slow_share, slowdown : float
        Share of responses that are slower, and the factor.
    route : str
        Only route with the fault; empty for all. ``"first"`` and ``"last"`` stand for
        the service's routes.
    from_s, until_s : float
        Time in seconds of the fault.
    is_first_event_only : bool
        Whether the pace is as usual.
    """

    failures: float = 0.0
    slow_share: float = 0.0
    slowdown: float = 1.0
    route: str = ""
    from_s: float = 0.0
    until_s: float = math.inf
    is_first_event_only: bool = False

    def applies(self, now: float, route: str, routes: list[str]) -> bool:
        """Return whether the fault is present at a time and on a route."""
        wanted = {"first": routes[0], "last": routes[-1]}.get(self.route, route)
        return wanted == route and self.from_s <= now < self.until_s


@frozen
class Scenario:
    """Faults of the candidate, of its first engine, and of the other versions."""

    name: str
    is_good: bool
    candidate: Fault = Fault()
    grey_engine: Fault = Fault()
    reference: Fault = Fault()
    grey_reference: Fault = Fault()


FAILING_ENGINE, SLOW_ENGINE = Fault(0.4), Fault(0.0, 1.0, 8.0)
CRASHED_ENGINE = Fault(1.0, from_s=3.0, until_s=4.0)


def list_scenarios(service: Service) -> list[Scenario]:
    """Return the versions that a service is measured with."""
    five = Fault(0.05)
    cold = Fault(0.0, 0.8, 3.0, "first", until_s=4.0, is_first_event_only=True)
    scenarios = [
        Scenario("good", True),
        Scenario("one engine fails 0.4", True, grey_engine=FAILING_ENGINE),
        Scenario("one engine 8 times slower", True, grey_engine=SLOW_ENGINE),
        Scenario("one engine crashes for 1 s", True, grey_engine=CRASHED_ENGINE),
        Scenario("both versions fail 0.05", True, five, reference=five),
        Scenario("old engine fails 0.4", True, grey_reference=FAILING_ENGINE),
        Scenario("old engine 8 times slower", True, grey_reference=SLOW_ENGINE),
        Scenario("both fail 0.3", False, Fault(0.3), reference=Fault(0.3)),
    ]
    if service.is_stream:
        scenarios.append(Scenario("cold caches until 4 s", True, cold))
        slow_first = Fault(0.0, 1.0, 3.0, is_first_event_only=True)
        scenarios.append(
            Scenario("only first events 3 times slower", False, slow_first)
        )
    faults = [(f"fails {f}", Fault(f)) for f in (0.1, 0.3, 0.7)] + [
        (f"{by} times slower, {share}", Fault(0.0, share, float(by)))
        for by in (3, 5)
        for share in (0.3, 0.7, 1.0)
    ]
    for suffix, changes in (
        ("", {}),
        (", first route", {"route": "first"}),
        (", last route", {"route": "last"}),
        (", after 5 s", {"from_s": 5.0}),
        (", newest only", {"from_s": 7.8}),
    ):
        scenarios += [
            Scenario(name + suffix, False, evolve(fault, **changes))
            for name, fault in faults
        ]
    scenarios += [
        Scenario(
            f"{name}, old engine fails 0.4", False, fault, grey_reference=FAILING_ENGINE
        )
        for name, fault in faults[:3]
    ]
    return scenarios
