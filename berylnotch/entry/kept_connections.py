"""Number of connections without a request that a router keeps to one target."""

from __future__ import annotations

from berylnotch.entry.settings import EntrySettings

#: Fraction of the connections that a target accepts which all routers together keep
#: open without a request. The rest is for requests in flight and new connections.
KEPT_CONNECTIONS_FRACTION = 0.5


def max_idle_connections(
    settings: EntrySettings, max_connections: int, router_count: int
) -> int:
    """Return the number of connections that this router keeps to a target.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the request path.
    max_connections : int
        Number of connections that the target accepts, 0 without a limit.
    router_count : int
        Number of routers that share these connections.
    """
    usual = settings.max_idle_connections
    if not max_connections:
        return usual
    kept = max_connections * KEPT_CONNECTIONS_FRACTION
    return min(usual, int(kept / router_count))
