"""What a fleet configuration holds."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from berylnotch.net.reading import HttpLimits


class RouteKind(Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@frozen
class Split:
    """Share of a route's requests that goes to a service."""

    service: str
    weight: float


@frozen
class Route:
    """Requests of one host under one path prefix.

    Parameters
    ----------
    name : str
        Name for people.
    host : str
        Host name, in lower case.
    prefix : str
        Path prefix that begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    timeout_s : float
        Longest time for which a caller is kept waiting.
    target_latency_s : float
        Time for an answer, of a stream for its first event, to count in full.
    priority : int
        Rank; 0 is the most urgent.
    splits : tuple of Split
        Services and their weights.
    max_attempts : int
        Most targets that one request may be sent to.
    is_open : bool
        Whether requests need no key.
    is_resumable : bool
        Whether a stream may go on at another target.
    max_gap_s : float
        Longest pause between two events of a stream that is in time.
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
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@frozen
class EngineKind:
    """Engines of a model service.

    ``slots`` is how many requests an engine runs at once, ``cache_tokens`` the
    tokens that its memory holds, ``token_bytes`` the bytes of a token there, and
    ``link_mbps`` the bits that it takes over from others, in millions a second; 0 if
    that is not stated. ``moves_runs`` tells whether a run can go on at another one.
    """

    slots: int
    cache_tokens: int
    token_bytes: int
    models: tuple[str, ...]
    link_mbps: float = 0.0
    moves_runs: bool = False

    def tokens_per_ms(self, link_mbps: float) -> float:
        """Return the tokens that a link carries in a ms, 0 if that is not known."""
        bytes_per_ms = link_mbps * 1e6 / 8 / 1000
        return bytes_per_ms / self.token_bytes if self.token_bytes else 0.0


@frozen
class Service:
    """Targets of one kind.

    ``engine`` is set for model engines, ``store_address`` for a store of KV cache,
    with the tokens that it holds and the bits that its link carries, in millions a
    second; 0 if that is not stated.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: EngineKind | None = None
    store_address: str = ""
    failure_domain: str = ""
    store_tokens: int = 0
    store_link_mbps: float = 0.0


@frozen
class Organisation:
    """An organisation, its keys and its limit.

    ``rate`` is in tokens or requests a second, ``burst`` in tokens or requests; a
    rate of 0 is no limit. A request without token counts costs ``default_cost``.
    An isolated organisation shares no cache entry with others.
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
    """One version of the configuration; ``organisations`` is None without keys."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...] | None = None
    limits: HttpLimits = field(factory=HttpLimits)
