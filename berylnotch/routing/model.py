"""Data model of a fleet configuration."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from berylnotch.net.reading import HttpLimits


class RouteKind(Enum):
    """Type of a route, which determines whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@frozen
class Split:
    """Service that gets a share of a route's requests, with its relative weight."""

    service: str
    weight: float


@frozen
class Route:
    """Route for the requests to one host under one path prefix.

    Parameters
    ----------
    name : str
        Name of the route, for operators.
    host : str
        Host name, in lower case.
    prefix : str
        Path prefix; it begins and ends with a slash.
    kind : RouteKind
        Type of the route, which determines whether requests may be retried.
    timeout_s : float
        Longest time that a caller waits, in seconds.
    target_latency_s : float
        Latency target in seconds; a later answer is worth less to the caller. For a
        stream, it applies to the first event.
    priority : int
        Priority; 0 is the most urgent.
    splits : tuple of Split
        Services and their relative weights.
    max_attempts : int
        Maximum number of targets to which one request may be sent.
    is_open : bool
        Whether requests are accepted without a key.
    is_resumable : bool
        Whether a stream may be resumed at another target.
    max_gap_s : float
        Longest time between two events of a stream, in seconds, for which the second
        event is still on time.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    splits: tuple[Split, ...]
    max_attempts: int = 1
    is_open: bool = False
    is_resumable: bool = False
    max_gap_s: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Whether a request may be executed more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@frozen
class EngineProperties:
    """Properties of the engines of a model service.

    ``slots`` is the number of requests that an engine runs concurrently,
    ``cache_tokens`` the capacity of its KV cache in tokens, ``token_bytes`` the size of
    a cached token in bytes, and ``link_mbps`` the bandwidth of transfers from other
    engines in Mbit/s; 0 if not stated. ``supports_migration`` tells whether a running
    request can be migrated to another engine.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    models: tuple[str, ...]
    link_mbps: float = 0.0
    supports_migration: bool = False

    def tokens_per_ms(self, link_mbps: float) -> float:
        """Return the cached tokens per ms that a link transfers, 0 if unknown."""
        bytes_per_ms = link_mbps * 1e6 / 8 / 1000
        return bytes_per_ms / self.token_bytes if self.token_bytes else 0.0


@frozen
class Service:
    """Group of interchangeable targets.

    ``engine`` is set for model engines, ``store_address`` for a KV store. For a store,
    ``store_tokens`` is its capacity in tokens and ``store_link_mbps`` the bandwidth of
    its link in Mbit/s; 0 if not stated.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineProperties | None = None
    store_address: str = ""
    failure_domain: str = ""
    store_tokens: int = 0
    store_link_mbps: float = 0.0


@frozen
class Organisation:
    """Organisation with its keys and its rate limit.

    ``rate`` is in tokens or requests per second, ``burst`` in tokens or requests; a
    rate of 0 means no limit. A request without token counts costs ``default_cost``.
    An isolated organisation shares no cache entries with other organisations.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0
    counts_tokens: bool = False
    default_cost: int = 1
    is_isolated: bool = False


@frozen
class FleetConfiguration:
    """One version of the configuration.

    ``organisations`` is None if callers do not need keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] | None = None
    limits: HttpLimits = field(factory=HttpLimits)

    @property
    def longest_timeout_s(self) -> float:
        """Longest time-out of all routes in seconds, 0 without routes."""
        return max((route.timeout_s for route in self.routes), default=0.0)
