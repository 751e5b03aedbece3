"""Placement as one router does it: chains, ranking and what was learned."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from attrs import frozen

from berylnotch.placement.chain import Scope, hash_chain
from berylnotch.placement.hints import CacheEvent, CacheHints
from berylnotch.placement.homes import HomeTable
from berylnotch.placement.hot import HotPrefixes
from berylnotch.placement.model import Candidate, Level, Query, Ranked
from berylnotch.placement.rank import rank

if TYPE_CHECKING:
    from berylnotch.fleet.model import Service
    from berylnotch.placement.settings import PlacementSettings


#: Priority of an organisation that uses exactly its share.
EVEN_PRIORITY = 4


class Prompt:
    """A prompt and its chains, hashed once for each weights version.

    Parameters
    ----------
    organisation, service : str
        Whose request it is and what it asks.
    data : bytes
        The prompt as the engine will see it.
    piece_bytes : int
        Length of a piece.
    """

    def __init__(
        self, organisation: str, service: str, data: bytes, piece_bytes: int
    ) -> None:
        self._organisation = organisation
        self._service = service
        self._data = data
        self._piece_bytes = piece_bytes
        self._chains: dict[str, tuple[bytes, ...]] = {}

    @property
    def pieces(self) -> int:
        """Pieces of the prompt, a partial last one included."""
        return -(-len(self._data) // self._piece_bytes)

    def chain(self, weights: str) -> tuple[bytes, ...]:
        """Return the chain under a weights version."""
        found = self._chains.get(weights)
        if found is None:
            scope = Scope(self._organisation, self._service, weights)
            found = hash_chain(scope, self._data, self._piece_bytes)
            self._chains[weights] = found
        return found


@frozen
class PlacementRequest:
    """What to place, from where, and what to leave out.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    failure_domain : str
        Where the router runs.
    exclude : frozenset of str
        Targets that are left out.
    weights : str
        Weights version that must be used, as when a stream is resumed; any if
        empty.
    stores : tuple of str
        KV stores that the service's engines may import from.
    priority : int, default=4
        The organisation's priority, 0 (best) to 9; above 4 it uses more than its
        share and gets fewer homes.
    """

    prompt: Prompt
    failure_domain: str = ""
    exclude: frozenset[str] = frozenset()
    weights: str = ""
    stores: tuple[str, ...] = ()
    priority: int = EVEN_PRIORITY


@frozen
class _Levels:
    now: float
    chain: tuple[bytes, ...]
    levels: tuple[Level, ...]


class Placer:
    """Ranks targets, and learns from cache events and its own choices.

    A new placer ranks by affinity and load alone, so it has to learn nothing
    before its first decision.

    Parameters
    ----------
    settings : PlacementSettings
        Costs, widths and bounds.
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self._settings = settings
        self._hints = CacheHints(settings.hint_max, settings.hint_keep_s)
        self._hot = HotPrefixes(settings)
        self._turn = 0
        self._last: _Levels | None = None
        self._homes: dict[str, HomeTable] = {}

    def shortlist(
        self,
        now: float,
        request: PlacementRequest,
        service: Service,
        names: tuple[str, ...],
    ) -> tuple[str, ...]:
        """Return the targets that are worth a look; all of a small service.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        request : PlacementRequest
            What to place.
        service : Service
            The service that the request asks.
        names : tuple of str
            All its targets, best the same object each time.

        Returns
        -------
        tuple of str
            The homes of the shallowest level that has few enough of them.
            Prompts without a full piece get targets in turn.
        """
        count = self._settings.max_candidates
        if len(names) <= count:
            return names
        table = self._homes.get(service.name)
        if table is None or table.names != names:
            table = HomeTable(names, count)
            self._homes[service.name] = table
        chain = request.prompt.chain(request.weights or service.weights)
        if not chain:
            return self._next_names(names, count)
        levels = self._levels(now, chain, request.priority)
        if not levels:
            depth = min(len(chain), self._settings.cold_depth)
            return table.homes(chain[depth - 1])
        few = next((level for level in levels if level.homes <= count), None)
        if few is not None:
            return table.homes(chain[few.depth - 1])
        # Even the whole prompt is hot: its homes fill several lists.
        self._turn += 1
        turn = self._turn % -(-levels[-1].homes // count)
        return table.homes(chain[-1], turn)

    def rank(
        self, now: float, request: PlacementRequest, candidates: Sequence[Candidate]
    ) -> tuple[Ranked, ...]:
        """Rank the candidates of all allowed weights versions, best first.

        An engine without a version is loading and left out.
        While new weights roll out, engines of both versions serve. Each has its
        own chain, so neither is taken to hold the other's pieces.
        """
        versions = {c.weights for c in candidates if c.weights and c.is_usable}
        if request.weights:
            versions &= {request.weights}
        ranked: list[Ranked] = []
        for weights in sorted(versions):
            query = self._query(now, request, weights)
            same = [c for c in candidates if c.weights == weights]
            ranked.extend(rank(self._settings, query, same, self._hints))
        ranked.sort(key=lambda item: (item.score_ms, item.name))
        return tuple(ranked)

    def sent(self, now: float, request: PlacementRequest, chosen: Ranked) -> None:
        """Note that the request was sent to a ranked target."""
        chain = request.prompt.chain(chosen.weights)
        self._last = None
        self._hot.count(now, chain)
        self._hints.expect(now, chosen.name, chosen.incarnation, chain)

    def cache_event(self, now: float, event: CacheEvent) -> None:
        """Take an engine's cache event."""
        self._hints.apply(now, event)

    def target_lost(self, target: str) -> None:
        """Forget what is known of a lost engine's cache."""
        self._hints.forget(target)

    def _levels(
        self, now: float, chain: tuple[bytes, ...], priority: int
    ) -> tuple[Level, ...]:
        """Return the levels, kept from the shortlist for the ranking."""
        last = self._last
        if last is None or last.now != now or last.chain is not chain:
            levels = self._hot.levels(now, chain, priority > EVEN_PRIORITY)
            last = _Levels(now, chain, levels)
            self._last = last
        return last.levels

    def _next_names(self, names: tuple[str, ...], count: int) -> tuple[str, ...]:
        self._turn += 1
        start = self._turn * count % len(names)
        return (names + names)[start : start + count]

    def _query(self, now: float, request: PlacementRequest, weights: str) -> Query:
        chain = request.prompt.chain(weights)
        return Query(
            chain=chain,
            prompt_pieces=request.prompt.pieces,
            failure_domain=request.failure_domain,
            exclude=request.exclude,
            weights=weights,
            levels=self._levels(now, chain, request.priority),
            now=now,
            stores=request.stores,
        )
