"""A request with its route and organisation."""

from __future__ import annotations

from attrs import frozen

from berylnotch.net.messages import HttpRequest
from berylnotch.platform.requests import CallerRequest
from berylnotch.routing.model import Organisation, Route, RouteKind

#: Engine priorities of one organisation's rank: as many as routes have ranks.
PRIORITIES_PER_RANK = 3

#: Lowest urgency that engines know.
LAST_PRIORITY = 9

#: Engine priority below which a request counts as urgent.
URGENT_PRIORITY = PRIORITIES_PER_RANK


@frozen
class Admitted:
    """A request with its route and organisation."""

    request: HttpRequest
    caller: CallerRequest
    route: Route
    organisation: Organisation | None

    @property
    def cost(self) -> int:
        """What the request counts against its organisation's limit."""
        if self.organisation is None or not self.organisation.counts_tokens:
            return 1
        return self.caller.tokens or self.organisation.default_cost

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def priority(self) -> int:
        """Urgency at engines, 0 first; the organisation's rank goes first."""
        rank = self.organisation.priority if self.organisation else 0
        return min(LAST_PRIORITY, rank * PRIORITIES_PER_RANK + self.route.priority)

    @property
    def is_urgent(self) -> bool:
        """Whether engines admit the request before most others."""
        return self.priority < URGENT_PRIORITY

    @property
    def organisation_name(self) -> str:
        """Name of the organisation, empty on open routes."""
        return self.organisation.name if self.organisation else ""
