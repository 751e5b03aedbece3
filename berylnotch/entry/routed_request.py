"""Provides a caller's request after routing and authentication."""

from __future__ import annotations

import random
import zlib

from attrs import frozen

from berylnotch.net.messages import HttpRequest
from berylnotch.platform.requests import CallerRequest
from berylnotch.routing.model import Organisation, Route, RouteKind

#: Number of engine priorities for each priority of organisations. It equals the number
#: of route priorities.
PRIORITIES_PER_RANK = 3

#: Least urgent priority that engines support.
LEAST_URGENT_PRIORITY = 9

#: Engine priority below which a request counts as urgent.
URGENT_PRIORITY = PRIORITIES_PER_RANK


@frozen
class RoutedRequest:
    """A request with its route and its organisation.

    Parameters
    ----------
    request : HttpRequest
        Request received from the caller.
    caller : CallerRequest
        Decoded headers of the request.
    route : Route
        Matched route.
    organisation : Organisation or None
        Organisation that owns the caller's key, None if no key is required.
    """

    request: HttpRequest
    caller: CallerRequest
    route: Route
    organisation: Organisation | None

    @property
    def cost(self) -> int:
        """Tokens charged to the organisation's rate limit, 1 if it counts requests."""
        if self.organisation is None or not self.organisation.counts_tokens:
            return 1
        return self.caller.tokens or self.organisation.default_cost

    @property
    def is_stream(self) -> bool:
        """Whether the response is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def is_resumption(self) -> bool:
        """Whether the caller resumes a stream of which it has received the begin."""
        return self.is_stream and self.caller.is_resumption

    @property
    def priority(self) -> int:
        """Engine priority, 0 being the most urgent.

        The organisation's priority takes precedence over the route's. A stream that the
        caller resumes comes before the organisation's other requests: few targets may
        continue it, and new requests, which any target may serve, wait at these too.
        """
        rank = self.organisation.priority if self.organisation else 0
        route_priority = 0 if self.is_resumption else self.route.priority
        return min(LEAST_URGENT_PRIORITY, rank * PRIORITIES_PER_RANK + route_priority)

    @property
    def is_urgent(self) -> bool:
        """Whether engines admit the request before most other requests."""
        return self.priority < URGENT_PRIORITY

    @property
    def split_draw(self) -> float:
        """Number that selects a service, the same for all parts of a stream."""
        request_id = self.caller.resumes or self.caller.request_id
        if not request_id:
            return random.random()
        return zlib.crc32(request_id.encode()) / 2**32

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, empty on open routes."""
        return self.organisation.name if self.organisation else ""
