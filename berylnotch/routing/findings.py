"""Findings in a valid configuration that are probably not what its author wants."""

from __future__ import annotations

import re
from collections.abc import Iterator

from attrs import frozen

from berylnotch.net.reading import HttpLimits
from berylnotch.routing.model import (
    FleetConfiguration,
    Organisation,
    Route,
    RouteKind,
    Service,
)

#: Host names that a request can state. Letters are in lower case by then, the port is
#: not part of the name, and there are no wildcards.
_HOST = re.compile(r"[a-z0-9._-]+")

#: Prefixes that the path of a request can begin with: no query and no fragment.
_PREFIX = re.compile(r"[!-~]+")

#: Keys that the header of a request can carry; spaces at both ends are cut off.
_KEY = re.compile(r"[!-~](?:[ -~]*[!-~])?")

#: Bytes of the smallest header section of a caller: request line, host and key.
MIN_HEADER_BYTES = 256


@frozen
class Finding:
    """Something in a configuration that has no effect or contradicts itself.

    Parameters
    ----------
    subject : str
        Part of the configuration, such as ``route 'chat'``.
    message : str
        What is found, and what follows from it.
    """

    subject: str
    message: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.message}"


def find_problems(configuration: FleetConfiguration) -> tuple[Finding, ...]:
    """Return the findings in a configuration that has passed validation."""
    return tuple(Finding(subject, message) for subject, message in _find(configuration))


def _find(configuration: FleetConfiguration) -> Iterator[tuple[str, str]]:
    if not configuration.routes:
        yield "routes", "there is none, so every request is refused"
    for route in configuration.routes:
        subject = route_label(route)
        for message in (*_unreachable(route), *_contradictions_of_route(route)):
            yield subject, message
    weights: dict[str, float] = {}
    for route in configuration.routes:
        for split in route.splits:
            weights[split.service] = weights.get(split.service, 0.0) + split.weight
    for service in configuration.services:
        subject = f"service {service.name!r}"
        if not service.store_address and service.name not in weights:
            yield subject, "no route names it"
        elif weights.get(service.name) == 0:
            yield subject, "its weight is 0 on every route, so it gets no requests"
        for message in _contradictions_of_service(service):
            yield subject, message
    yield from _unusable_keys(configuration)
    for organisation in configuration.organisations or ():
        for message in _contradictions_of_organisation(organisation):
            yield f"organisation {organisation.name!r}", message
    for message in _contradictions_of_limits(configuration.limits):
        yield "limits", message


def route_label(route: Route) -> str:
    """Return the description of a route, which may have no name."""
    return f"route {route.name!r} ({route.host}{route.prefix})"


def _unreachable(route: Route) -> Iterator[str]:
    if ":" in route.host:
        yield "it never matches: hosts are compared without their port"
    elif not _HOST.fullmatch(route.host):
        yield f"it never matches: no request states the host {route.host!r}"
    if not _PREFIX.fullmatch(route.prefix) or re.search("[?#]", route.prefix):
        yield f"it never matches: no path begins with {route.prefix!r}"


def _contradictions_of_route(route: Route) -> Iterator[str]:
    if route.target_latency_s < 0:
        yield "the target latency is negative"
    if route.target_latency_s > route.timeout_s:
        yield (
            f"the timeout of {route.timeout_s:g} s ends a request before its target "
            f"latency of {route.target_latency_s:g} s"
        )
    if route.kind is RouteKind.STREAM and route.max_gap_s > route.timeout_s:
        yield (
            f"the timeout of {route.timeout_s:g} s is shorter than the longest gap "
            f"between events of {route.max_gap_s:g} s"
        )
    if route.is_resumable and route.kind is not RouteKind.STREAM:
        yield "resumable has no effect: it is no stream"


def _contradictions_of_service(service: Service) -> Iterator[str]:
    if service.max_connections < 0:
        yield "the number of connections is negative"
    if service.engine and service.engine.slots < 1:
        yield f"its engines have {service.engine.slots} slots, so they run no request"


def _unusable_keys(configuration: FleetConfiguration) -> Iterator[tuple[str, str]]:
    if configuration.organisations is None:
        return
    closed = [route for route in configuration.routes if not route.is_open]
    has_usable_key = False
    for organisation in configuration.organisations:
        subject = f"organisation {organisation.name!r}"
        usable = [key for key in organisation.keys if _KEY.fullmatch(key)]
        has_usable_key = has_usable_key or bool(usable)
        if not organisation.keys:
            yield subject, "it has no key, so none of its requests is recognised"
        elif len(usable) < len(organisation.keys):
            # Keys are secret: only their number is told.
            number = len(organisation.keys) - len(usable)
            yield subject, f"{number} of its keys cannot be sent in a header"
        if len(set(organisation.keys)) < len(organisation.keys):
            yield subject, "a key is listed twice"
        if usable and configuration.routes and not closed:
            yield subject, "its keys are never needed: every route is public"
    if not has_usable_key:
        for route in closed:
            yield route_label(route), "it refuses every caller: nobody has a usable key"


def _contradictions_of_organisation(organisation: Organisation) -> Iterator[str]:
    unit = "tokens" if organisation.counts_tokens else "requests"
    if organisation.rate < 0 or organisation.burst < 0:
        yield "its rate or burst is negative"
    elif organisation.rate == 0 and organisation.burst > 0:
        yield "its burst has no effect: a rate of 0 means no limit"
    elif 0 < organisation.rate and organisation.burst < organisation.default_cost:
        yield (
            f"its burst of {organisation.burst:g} {unit} is below the cost of one "
            f"request, {organisation.default_cost}"
        )
    if organisation.default_cost < 1:
        yield (
            f"a request without token counts costs {organisation.default_cost}, so it "
            "is not limited"
        )


def _contradictions_of_limits(limits: HttpLimits) -> Iterator[str]:
    if limits.body_bytes <= 0:
        yield f"bodies of {limits.body_bytes} bytes: every request with one is refused"
    if limits.header_bytes < MIN_HEADER_BYTES:
        yield (
            f"header sections of {limits.header_bytes} bytes: fewer than "
            f"{MIN_HEADER_BYTES} hold no host and key"
        )
    if limits.header_s <= 0:
        yield f"{limits.header_s:g} s for a header section leave no time for a request"
    if limits.idle_s <= 0:
        yield f"{limits.idle_s:g} s idle: connections are not kept for a second request"
