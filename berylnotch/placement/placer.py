"""Selection of targets for a router's requests by prefix chains and observed state."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.placement.chain import Scope, hash_chain
from berylnotch.placement.hints import CacheEvent, CacheHints
from berylnotch.placement.homes import HomeRing
from berylnotch.placement.hot import HotPrefixes
from berylnotch.placement.model import Candidate, Level, Query, Ranked
from berylnotch.placement.rank import rank

if TYPE_CHECKING:
    from berylnotch.fleet.model import Service
    from berylnotch.placement.settings import PlacementSettings


#: Priority of an organisation that uses exactly its share.
NEUTRAL_PRIORITY = 4


class Prompt:
    """A prompt and its chains, hashed once for each weights version.

    Parameters
    ----------
    organisation, service : str
        Organisation that sends the request, and service that the request addresses.
    data : bytes
        The prompt as the engine receives it.
    block_bytes : int
        Length of a block in bytes.
    """

    def __init__(
        self, organisation: str, service: str, data: bytes, block_bytes: int
    ) -> None:
        self._organisation = organisation
        self._service = service
        self._data = data
        self._block_bytes = block_bytes
        self._chains: dict[str, tuple[bytes, ...]] = {}

    @property
    def pieces(self) -> int:
        """Number of blocks of the prompt, including a partial last block."""
        return -(-len(self._data) // self._block_bytes)

    def chain(self, weights: str) -> tuple[bytes, ...]:
        """Return the chain of prefix hashes for a weights version."""
        chain = self._chains.get(weights)
        if chain is None:
            scope = Scope(self._organisation, self._service, weights)
            chain = hash_chain(scope, self._data, self._block_bytes)
            self._chains[weights] = chain
        return chain


@frozen
class PlacementRequest:
    """A request to be placed, with the constraints on its targets.

    Parameters
    ----------
    prompt : Prompt
        The prompt and its chains.
    failure_domain : str
        Failure domain in which the router runs.
    exclude : frozenset of str
        Targets that must not be used.
    weights : str
        Weights version that must be used, for instance to resume a stream; empty
        allows any version.
    stores : tuple of str
        KV stores from which the service's engines may import blocks.
    priority : int, default=4
        The organisation's priority from 0 (most urgent) to 9. Above 4 the organisation
        uses more than its share, and its prefixes get fewer homes.
    """

    prompt: Prompt
    failure_domain: str = ""
    exclude: frozenset[str] = frozenset()
    weights: str = ""
    stores: tuple[str, ...] = ()
    priority: int = NEUTRAL_PRIORITY


@frozen
class _CachedLevels:
    now: float
    chain: tuple[bytes, ...]
    levels: tuple[Level, ...]


class Placer:
    """Ranks targets by affinity and load, and by observed cache contents and rates.

    A new placer ranks by affinity and load alone, so its first decision needs no
    observations.

    Parameters
    ----------
    settings : PlacementSettings
        Costs, confidence factors and size limits.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._hints = CacheHints(settings.max_hints, settings.hint_ttl_s)
        self._hot = HotPrefixes(settings)
        self._rotation = 0
        self._cached_levels: _CachedLevels | None = None
        self._home_rings: dict[str, HomeRing] = {}

    def shortlist(
        self,
        now: float,
        request: PlacementRequest,
        service: Service,
        names: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the targets to be ranked; for a small service, all of them.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        request : PlacementRequest
            Request to be placed.
        service : Service
            Service that the request addresses.
        names : tuple of str
            All targets of the service, preferably the same object at each call.

        Returns
        -------
        tuple of str
            The homes (preferred targets) of the shallowest level that has at most
            ``max_candidates`` homes. Prompts without a full block get targets in
            rotation.
        """
        count = self._settings.max_candidates
        if len(names) <= count:
            return names
        ring = self._home_rings.get(service.name)
        if ring is None or ring.names != names:
            ring = HomeRing(names, count)
            self._home_rings[service.name] = ring
        chain = request.prompt.chain(request.weights or service.weights)
        if not chain:
            return self._rotate_names(names, count)
        levels = self._levels(now, chain, request.priority)
        if not levels:
            depth = min(len(chain), self._settings.default_home_depth)
            return ring.homes(chain[depth - 1])
        fitting_level = next((level for level in levels if level.homes <= count), None)
        if fitting_level is not None:
            return ring.homes(chain[fitting_level.depth - 1])
        # Even the whole prompt has more homes than one shortlist holds, so the
        # requests with this prompt rotate over several groups of homes.
        self._rotation += 1
        group = self._rotation % -(-levels[-1].homes // count)
        return ring.homes(chain[-1], group)

    def rank(
        self, now: float, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> tuple[Ranked, ...]:
        """Rank the candidates of all allowed weights versions, best first.

        An engine without a version is loading weights and is not ranked. During a
        rollout, engines of both versions serve. The chain depends on the version, so
        blocks of one version never count as cached for the other.
        """
        versions = {c.weights for c in candidates if c.weights and c.is_usable}
        if request.weights:
            versions &= {request.weights}
        ranked: list[Ranked] = []
        for weights in sorted(versions):
            query = self._query(now, request, weights)
            same_version = [c for c in candidates if c.weights == weights]
            ranked.extend(rank(self._settings, query, same_version, self._hints))
        ranked.sort(key=lambda item: (item.score_ms, item.name))
        return tuple(ranked)

    def record_sent(
        self, now: float, request: PlacementRequest, chosen: Ranked
    ) -> None:
        """Record that the request was sent to a ranked target."""
        chain = request.prompt.chain(chosen.weights)
        self._cached_levels = None
        self._hot.record_request(now, chain)
        self._hints.record_request(now, chosen.name, chosen.incarnation, chain)

    def cache_event(self, now: float, event: CacheEvent) -> None:
        """Apply a cache event of an engine."""
        self._hints.apply(now, event)

    def on_target_lost(self, target: str) -> None:
        """Drop the cached prefixes of an engine whose process was lost."""
        self._hints.forget(target)

    def _levels(
        self, now: float, chain: tuple[bytes, ...], priority: int
    ) -> tuple[Level, ...]:
        """Return the levels of a chain; a ranking reuses those of its shortlist."""
        cached = self._cached_levels
        if cached is None or cached.now != now or cached.chain is not chain:
            levels = self._hot.levels(now, chain, priority > NEUTRAL_PRIORITY)
            cached = _CachedLevels(now, chain, levels)
            self._cached_levels = cached
        return cached.levels

    def _rotate_names(self, names: tuple[str, ...], count: int) -> tuple[str, ...]:
        self._rotation += 1
        start = self._rotation * count % len(names)
        return (names + names)[start : start + count]

    def _query(self, now: float, request: PlacementRequest, weights: str) -> Query:
        chain = request.prompt.chain(weights)
        return Query(
            chain=chain,
            prompt_blocks=request.prompt.pieces,
            failure_domain=request.failure_domain,
            exclude=request.exclude,
            weights=weights,
            levels=self._levels(now, chain, request.priority),
            now=now,
            stores=request.stores,
        )
